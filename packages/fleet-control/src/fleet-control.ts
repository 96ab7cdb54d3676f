/**
A control process: replicates the configuration document with its group, receives target reports, and publishes both to the daemons
that follow it. Every daemon follows a few control processes, and control processes follow each other: what one of them receives from a
target or a daemon, it broadcasts to its followers and to all others, and these pass it on to their own followers. A report is broadcast before it is
acknowledged, so reports need not be replicated.
*/

import {TrialGrants} from '@rattanspring/crash-evidence';
import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import type {DomainOrder, DomainRegister, DomainRequest} from '@rattanspring/domain-drain';
import {
	ControlLinks, type DocumentRequest, DocumentSender, type DownMessage, type JoinRequest, LinkServer, linkService, listen, type NodeCard, type NodeRole, type RankReply,
	type RankRequest, type TrialReply, type TrialRequest, type UpMessage, type LinkConnectionOptions,
} from '@rattanspring/fleet-link';
import type {FatalErrorHandler, FileSystem} from '@rattanspring/log-storage';
import {describeError, type Logger} from '@rattanspring/logger';
import {serverOptions} from '@rattanspring/protocol';
import {
	isSameState, type TargetHeartbeat, type TargetLifetime, type TargetReport, TargetTable, type TargetTableOptions,
} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import {
	type handleUnaryCall, type sendUnaryData, Server, type ServerDuplexStream, status, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {ControlGroup} from './control-group.js';
import {EvidenceStore} from './evidence-store.js';
import {DisklessGroup} from './diskless-group.js';
import {DocumentGroup} from './document-group.js';
import {DomainAnnouncements} from './domain-announcements.js';
import {type DomainOrderResult, DomainOrders} from './domain-orders.js';
import {FigureBatches} from './figure-batches.js';
import {Permits} from './permits.js';
import {RelayedFacts} from './relayed-facts.js';
import {UseRelay} from './use-relay.js';

const expireIntervalMs = 10_000;
const rankIntervalMs = 500;

export type FleetControlOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Address (`host:port`) at which other daemons reach this process. */
	readonly linkAddress: string;
	/** Limit of the connections of other daemons. */
	readonly linkConnections?: LinkConnectionOptions;
	/** Folder of the replicated log and the identity of its disk. A process without one does not vote. */
	readonly dataFolder?: string;
	/** The file system of that folder; that of the operating system by default. */
	readonly fileSystem?: FileSystem;
	/** Number of VMs whose loss at the same time has to be tolerated; 0 by default. */
	readonly faultTolerance?: number;
	/** Limit of the targets that are known at once. */
	readonly targetLimit?: TargetTableOptions;
	readonly seeds: () => readonly string[];
	readonly isFirstStart: boolean;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly fatalErrorHandler: FatalErrorHandler;
	/** Handles requests of coordinators that concern an engine; without it, they are refused. */
	readonly handleRankRequest?: (request: RankRequest) => Promise<RankReply>;
};

export class FleetControl {
	readonly #options: FleetControlOptions;
	readonly #group: ControlGroup;
	readonly #linkServer: LinkServer;
	readonly #controlLinks: ControlLinks;
	readonly #targets: TargetTable;
	readonly #documentSender = new DocumentSender();
	readonly #server: Server;
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #figures: FigureBatches;
	readonly #trials = new TrialGrants();
	readonly #facts: RelayedFacts;
	readonly #domains: DomainAnnouncements;
	readonly #domainOrders: DomainOrders;
	readonly #permits: Permits;
	readonly #uses: UseRelay;
	#isLeaving = false;
	/** As the other daemons were told. */
	#servesDocument: boolean;

	constructor(options: FleetControlOptions) {
		this.#options = options;
		this.#targets = new TargetTable(options.targetLimit);
		const {interceptor} = options.linkConnections?.messages ?? {};
		this.#server = new Server({...serverOptions, interceptors: interceptor ? [interceptor] : []});
		this.#servesDocument = options.dataFolder !== undefined;
		const nowMs = () => options.clock.monotonicMs();
		this.#linkServer = new LinkServer({
			nowMs,
			maxAllWaitingBytes: options.linkConnections?.maxUnreadBytes,
			onUnread: options.linkConnections?.onUnread,
			onCardRefused: options.linkConnections?.onCardRefused,
			ownCard: () => this.#controlLinks.card,
			relayedCards: () => this.#controlLinks.nodes.values(),
			initialMessages: role => this.#initialMessages(role),
			onMessage: message => {
				this.#onFollowerMessage(message);
			},
		});
		this.#figures = new FigureBatches((message, receivers) => {
			this.#linkServer.broadcast(message, receivers);
		});
		this.#controlLinks = new ControlLinks({
			nowMs,
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage: message => {
				this.#onControlMessage(message);
			},
			onNodes: () => {
				this.#linkServer.scheduleNodesUpdate();
			},
		});
		this.#uses = new UseRelay({
			nodeId: options.nodeId,
			nowMs,
			broadcast: (message, receivers) => {
				this.#linkServer.broadcast(message, receivers);
			},
		});
		const {dataFolder, fileSystem, logger} = options;
		this.#permits = new Permits({
			nowMs, ownAddress: options.linkAddress, seeds: options.seeds, nodes: () => this.#controlLinks.nodes.values(), isLeaving: () => this.#isLeaving,
		});
		this.#facts = new RelayedFacts({
			targets: this.#targets,
			nowMs,
			...(dataFolder !== undefined && {evidenceStore: new EvidenceStore({folder: dataFolder, logger, ...(fileSystem && {fileSystem})})}),
			broadcast: (message, receivers) => {
				this.#linkServer.broadcast(message, receivers);
			},
			logger,
		});
		this.#domains = new DomainAnnouncements({
			broadcast: (message, receivers) => {
				this.#linkServer.broadcast(message, receivers);
			},
			logger,
		});
		this.#group = this.#createGroup();
		this.#domainOrders = new DomainOrders({
			nowMs,
			readRegister: async () => this.#group.readRegister(),
			orderDomain: async order => this.#group.orderDomain(order),
		});
	}

	/** Starts the server, then recovers, forms or joins the group. */
	async start(): Promise<void> {
		this.#server.addService(this.#group.service.definition, this.#group.service.implementation);
		this.#server.addService(linkService, this.#handlers());
		await this.#facts.load();
		await listen(this.#server, this.#options.linkAddress, this.#options.linkConnections);
		this.#figures.start();
		this.#uses.start();
		this.#addInterval(expireIntervalMs, () => {
			this.#targets.expire(this.#options.clock.monotonicMs());
		});
		this.#addInterval(rankIntervalMs, () => {
			this.#permits.refreshRank();
			this.#refreshCard();
		});
		await this.#group.start();
	}

	/** Whether this process is a voter of the group. */
	get isVoter(): boolean {
		return this.#group.isVoter;
	}

	/** Whether this process is a voter that leads, or hears from the leader. */
	get isSettledVoter(): boolean {
		return this.#group.isSettledVoter;
	}

	/** Whether this process believes that it leads the group. */
	get isLeader(): boolean {
		return this.#group.isLeader;
	}

	/** Commits a document. Returns undefined if the outcome is unknown. */
	async replace(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		const current = this.#group.document;
		if (current?.version === document.version && current.text === document.text) {
			return 'alreadyStored';
		}

		return this.#group.replace(document);
	}

	/** Linearizable read of the document; `isConfirmed` is false if no quorum confirmed it. */
	async read(): Promise<{readonly isConfirmed: boolean; readonly document?: StoredDocument}> {
		return this.#group.read();
	}

	/** Failure domains of the daemons and targets that this process knows, and those that were ever ordered about. */
	get failureDomains(): Set<string> {
		const known = [this.#card(), ...this.#controlLinks.nodes.values(), ...this.#targets.all()].map(({failureDomain}) => failureDomain);
		return new Set([...known, ...this.#group.register?.domains.map(({domain}) => domain) ?? []]);
	}

	/** Linearizable read of the register of drained failure domains; undefined if no quorum confirmed it. */
	async readDomains(): Promise<DomainRegister | undefined> {
		return this.#group.readRegister();
	}

	/**
	Drains or restores a failure domain. It is committed on the ground of a read that is confirmed now, and only if the caller is still connected after this read.
	Returns undefined if the outcome is unknown: the order may still take effect.
	*/
	async orderDomain(request: DomainRequest, isCallerConnected: () => boolean): Promise<DomainOrderResult | undefined> {
		return this.#domainOrders.order(request, isCallerConnected);
	}

	/** Records a target's report of its own state and broadcasts it. */
	report(report: TargetReport): void {
		const nowMs = this.#options.clock.monotonicMs();
		const previous = this.#targets.current(report.targetId, nowMs);
		if (!this.#targets.add(report, nowMs)) {
			return;
		}

		if (previous && isSameState(previous, report)) {
			this.#figures.addHeartbeat(heartbeatOf(report), 'direct');
			return;
		}

		this.#options.logger.log('info', 'targetChanged', {
			targetId: report.targetId, state: report.state, bornMs: report.bornMs, sequence: report.sequence,
		});
		this.#linkServer.broadcast({type: 'targets', reports: [report]}, {roles: ['entry', 'control']});
	}

	/**
	Marks a lifetime of a target as gone and broadcasts that. The call may arrive after the target has started again, which it doesn't concern, and before the first report of its
	lifetime, which then gets no work. Without a lifetime it concerns the known one; if none is known, nothing is recorded, and false returned.
	*/
	deregister(target: Pick<TargetLifetime, 'targetId'> & Partial<TargetLifetime>): boolean {
		const {targetId, bornMs} = target;
		const knownBornMs = this.#targets.get(targetId)?.bornMs;
		const report = this.#targets.goneReport(target);
		this.#options.logger.log('info', 'targetDeregistered', {
			targetId, bornMs, knownBornMs, isKnown: report !== undefined,
		});
		if (report) {
			this.report(report);
		} else if (bornMs !== undefined) {
			this.#facts.recordLeaving([{targetId, bornMs}], ['entry', 'control']);
		}

		return report !== undefined || bornMs !== undefined;
	}

	/** Announces that this process is about to stop, and transfers leadership to another voter. */
	leave(): void {
		this.#isLeaving = true;
		this.#controlLinks.sendHello();
		this.#linkServer.scheduleNodesUpdate();
		this.#group.transferLeadership();
	}

	async stop(): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#facts.close();
		this.#figures.stop();
		this.#uses.stop();
		this.#controlLinks.close();
		this.#linkServer.close();
		await this.#group.stop();
		this.#server.forceShutdown();
	}

	#createGroup(): ControlGroup {
		const {dataFolder, faultTolerance = 0, seeds, ...options} = this.#options;
		const {linkAddress, logger} = options;
		if (dataFolder === undefined) {
			const addresses = () => [...new Set([...seeds(), ...this.#controlLinks.addresses])].filter(address => address !== linkAddress);
			return new DisklessGroup({linkAddress, addresses, logger});
		}

		return new DocumentGroup({
			...options,
			dataFolder,
			faultTolerance,
			seeds,
			otherAddresses: () => this.#controlLinks.addresses,
			failureDomainOf: address => this.#failureDomainOf(address),
			onRegister: register => {
				this.#domains.applied(register);
			},
			onDocument: document => {
				logger.log('info', 'documentInForce', {
					version: document.version, bytes: document.text.length, isLeader: this.isLeader, isVoter: this.isVoter, followers: this.#linkServer.cards.length - 1,
				});
				this.#documentSender.publish(document);
				this.#linkServer.broadcast({type: 'version', version: document.version}, {roles: ['entry', 'agent']});
			},
		});
	}

	/** Tells the other daemons when this process begins or ends to serve the document. */
	#refreshCard(): void {
		const {servesDocument} = this.#group;
		if (servesDocument !== this.#servesDocument) {
			this.#servesDocument = servesDocument;
			this.#options.logger.log('info', 'servesDocument', {servesDocument, isVoter: this.isVoter});
			this.#controlLinks.sendHello();
			this.#linkServer.scheduleNodesUpdate();
		}
	}

	#failureDomainOf(address: string): string | undefined {
		const {linkAddress, failureDomain} = this.#options;
		return address === linkAddress ? failureDomain : [...this.#controlLinks.nodes.values()].find(card => card.linkAddress === address)?.failureDomain;
	}

	#addInterval(intervalMs: number, work: () => void): void {
		this.#timers.push(setInterval(work, intervalMs));
	}

	#handlers(): UntypedServiceImplementation {
		return {
			follow: (call: ServerDuplexStream<UpMessage, DownMessage>) => {
				this.#linkServer.accept(call);
			},
			document: this.#unary('document', async (request: DocumentRequest) => this.#documentSender.reply(request)),
			submit: this.#unary('submit', async (document: StoredDocument) => ({outcome: await this.#group.submit(document)})),
			readDomains: this.#unary('readDomains', async () => this.#group.isLeader ? {register: await this.#group.readRegister()} : {}),
			orderDomain: this.#unary('orderDomain', async (order: DomainOrder) => this.#group.isLeader ? {outcome: await this.#group.orderDomain(order)} : {}),
			trial: this.#unary('trial', async (request: TrialRequest) => this.#grantTrial(request)),
			permit: this.#unary('permit', async (request: unknown) => this.#permits.take(request)),
			rank: this.#unary('rank', async (request: RankRequest) => this.#options.handleRankRequest?.(request) ?? {answer: 'refused'}),
			join: this.#unary('join', async (request: JoinRequest) => this.#group.join(request)),
		};
	}

	/** Handles calls of one method. A call whose handling throws gets an error, and the others go on. */
	#unary<Request, Reply>(method: string, answer: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
		const respond = async (request: Request, done: sendUnaryData<Reply>): Promise<void> => {
			try {
				done(null, await answer(request));
			} catch (error) {
				this.#options.logger.log('error', 'callFailed', {method, ...describeError(error)});
				done({code: status.INTERNAL});
			}
		};

		return (call, done) => {
			void respond(call.request, done);
		};
	}

	#onFollowerMessage(message: UpMessage): void {
		switch (message.type) {
			case 'load': {
				this.#figures.addLoad(message.load, 'direct');
				break;
			}

			case 'leaving': {
				this.#facts.recordLeaving([message.target], ['entry', 'control']);
				break;
			}

			case 'limits': {
				this.#facts.recordLimits(message, ['entry', 'control']);
				break;
			}

			case 'accusations': {
				this.#facts.recordAccusations(message.accusations, ['entry', 'control']);
				break;
			}

			case 'evidence': {
				this.#facts.recordEvidence(message.records, ['entry', 'control']);
				break;
			}

			case 'use': {
				this.#uses.recordEntry(message.nodeId, message.uses);
				break;
			}

			case 'beat':
			case 'hello': {
				break;
			}
		}
	}

	/** Passes on to the own followers what another control process has received. It never goes to a third control process. */
	#onControlMessage(message: DownMessage): void {
		const nowMs = this.#options.clock.monotonicMs();
		switch (message.type) {
			case 'targets': {
				const reports = message.reports.filter(report => this.#targets.add(report, nowMs));
				if (reports.length > 0) {
					this.#linkServer.broadcast({type: 'targets', reports}, {roles: ['entry']});
				}

				break;
			}

			case 'heartbeats': {
				for (const heartbeat of message.targets.filter(heartbeat => this.#targets.touch(heartbeat, nowMs))) {
					this.#figures.addHeartbeat(heartbeat, 'relayed');
				}

				break;
			}

			case 'loads': {
				for (const load of message.loads) {
					this.#figures.addLoad(load, 'relayed');
				}

				break;
			}

			case 'leaving': {
				this.#facts.recordLeaving(message.targets, ['entry']);
				break;
			}

			case 'limits': {
				this.#facts.recordLimits(message, ['entry']);
				break;
			}

			case 'accusations': {
				this.#facts.recordAccusations(message.accusations, ['entry']);
				break;
			}

			case 'evidence': {
				this.#facts.recordEvidence(message.records, ['entry']);
				break;
			}

			case 'use': {
				this.#uses.recordControl(message.nodeId, message.uses);
				break;
			}

			case 'domains': {
				this.#domains.received(message.register);
				break;
			}

			case 'beat':
			case 'nodes':
			case 'nodesChanged':
			case 'useTotals':
			case 'version': {
				break;
			}
		}
	}

	#grantTrial({component}: TrialRequest): TrialReply {
		const isGranted = this.#trials.grant(component, this.#options.clock.monotonicMs());
		if (isGranted) {
			this.#options.logger.log('info', 'trialGranted', {component});
		}

		return {isGranted};
	}

	#initialMessages(role: NodeRole): DownMessage[] {
		const {document} = this.#group;
		const messages: DownMessage[] = role === 'agent' ? [] : [{type: 'targets', reports: this.#targets.allCurrent(this.#options.clock.monotonicMs())}];
		if (role !== 'agent') {
			// Before the version: an entry begins to serve once it has the document.
			messages.push(...this.#facts.messages, ...this.#domains.messages);
		}

		if (document) {
			messages.push({type: 'version', version: document.version});
		}

		return messages;
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, linkAddress} = this.#options;
		return {
			nodeId, role: 'control', failureDomain, linkAddress, isLeaving: this.#isLeaving, servesDocument: this.#servesDocument,
		};
	}
}

function heartbeatOf({targetId, bornMs, sequence}: TargetReport): TargetHeartbeat {
	return {targetId, bornMs, sequence};
}
