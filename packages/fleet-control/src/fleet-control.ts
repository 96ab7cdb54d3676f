/**
A control process: replicates the configuration document with its group, receives target reports, and publishes both to
every daemon that follows it. A report is broadcast before it is acknowledged, and every daemon follows every control
process, so reports need not be replicated between control processes.
*/

import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import {
	ControlLinks, type CrashReport, type DocumentRequest, DocumentSender, type DownMessage, type JoinRequest, LinkServer, linkService, listen, type NodeCard, type NodeRole, type UpMessage,
} from '@rattanspring/fleet-link';
import type {FatalErrorHandler} from '@rattanspring/log-storage';
import type {Logger} from '@rattanspring/logger';
import {serverOptions} from '@rattanspring/protocol';
import {type TargetLoad, type TargetReport, TargetTable} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import {
	type handleUnaryCall, type sendUnaryData, Server, type ServerDuplexStream, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {ControlGroup} from './control-group.js';
import {DisklessGroup} from './diskless-group.js';
import {DocumentGroup} from './document-group.js';

/** Load reports received within this time are broadcast in one message. */
const loadBatchMs = 50;

/** Interval at which reports without a significant change are broadcast; the others are broadcast at once. */
const reportBatchIntervalMs = 1000;

const expireIntervalMs = 10_000;

/** Number of most recent crash reports that are retained for entry daemons that connect later. */
const maxRetainedCrashes = 200;

export type FleetControlOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Address (`host:port`) at which other daemons reach this process. */
	readonly linkAddress: string;
	/** Folder of the replicated log and the identity of its disk. A process without one does not vote. */
	readonly dataFolder?: string;
	/** Number of VMs whose loss at the same time has to be tolerated; 0 by default. */
	readonly faultTolerance?: number;
	readonly seeds: () => readonly string[];
	readonly isFirstStart: boolean;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly fatalErrorHandler: FatalErrorHandler;
};

export class FleetControl {
	readonly #options: FleetControlOptions;
	readonly #group: ControlGroup;
	readonly #linkServer: LinkServer;
	readonly #controlLinks: ControlLinks;
	readonly #targets = new TargetTable();
	readonly #documentSender = new DocumentSender();
	readonly #server = new Server(serverOptions);
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #pendingLoads = new Map<string, TargetLoad>();
	#loadFlushTimer: NodeJS.Timeout | undefined;
	readonly #pendingReports = new Map<string, TargetReport>();
	readonly #crashes: CrashReport[] = [];
	#isLeaving = false;

	constructor(options: FleetControlOptions) {
		this.#options = options;
		const nowMs = () => options.clock.monotonicMs();
		this.#linkServer = new LinkServer({
			nowMs,
			ownCard: () => this.#controlLinks.card,
			initialMessages: role => this.#initialMessages(role),
			onMessage: message => {
				this.#onFollowerMessage(message);
			},
		});
		this.#controlLinks = new ControlLinks({
			nowMs,
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage: message => {
				this.#onControlMessage(message);
			},
		});
		this.#group = this.#createGroup();
	}

	/** Starts the server, then recovers, forms or joins the group. */
	async start(): Promise<void> {
		this.#server.addService(this.#group.service.definition, this.#group.service.implementation);
		this.#server.addService(controlMethods, this.#handlers());
		await listen(this.#server, this.#options.linkAddress);
		this.#addInterval(reportBatchIntervalMs, () => {
			this.#flushReports();
		});
		this.#addInterval(expireIntervalMs, () => {
			this.#targets.expire(this.#options.clock.monotonicMs());
		});
		await this.#group.start();
	}

	/** Whether this process is a voter of the group. */
	get isVoter(): boolean {
		return this.#group.isVoter;
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

	/** Records a target's report of its own state and broadcasts it. */
	report(report: TargetReport): void {
		const previous = this.#targets.get(report.targetId);
		if (!this.#targets.add(report, this.#options.clock.monotonicMs())) {
			return;
		}

		this.#pendingReports.set(report.targetId, report);
		if (!previous || isSignificantChange(previous, report)) {
			this.#options.logger.log('info', 'targetChanged', {
				targetId: report.targetId, state: report.state, bornMs: report.bornMs, sequence: report.sequence,
			});
			this.#flushReports();
		}
	}

	/** Marks a target as gone and broadcasts that. */
	deregister(targetId: string): void {
		const report = this.#targets.goneReport(targetId);
		if (report) {
			this.report(report);
		}
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

		clearTimeout(this.#loadFlushTimer);
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
			onDocument: document => {
				logger.log('info', 'documentInForce', {version: document.version, bytes: document.text.length});
				this.#documentSender.publish(document);
				this.#linkServer.broadcast({type: 'version', version: document.version}, ['entry', 'agent']);
			},
		});
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
			document: unary(async (request: DocumentRequest) => this.#documentSender.reply(request)),
			submit: unary(async (document: StoredDocument) => ({outcome: await this.#group.submit(document)})),
			join: unary(async (request: JoinRequest) => this.#group.join(request)),
		};
	}

	#onFollowerMessage(message: UpMessage): void {
		if (message.type === 'load') {
			this.#pendingLoads.set(message.load.address, message.load);
			this.#loadFlushTimer ??= setTimeout(() => {
				this.#flushLoads();
			}, loadBatchMs);
		} else if (message.type === 'crash') {
			this.#crashes.push(message.crash);
			this.#crashes.splice(0, Math.max(0, this.#crashes.length - maxRetainedCrashes));
			this.#linkServer.broadcast({type: 'crashes', crashes: [message.crash]}, ['entry']);
		}
	}

	/** Stores target reports from other control processes for daemons that connect later. Daemons that are connected now received them directly. */
	#onControlMessage(message: DownMessage): void {
		if (message.type === 'targets') {
			for (const report of message.reports) {
				this.#targets.add(report, this.#options.clock.monotonicMs());
			}
		}
	}

	#initialMessages(role: NodeRole): DownMessage[] {
		const {document} = this.#group;
		const messages: DownMessage[] = role === 'agent' ? [] : [{type: 'targets', reports: this.#targets.all()}];
		if (document) {
			messages.push({type: 'version', version: document.version});
		}

		if (role === 'entry' && this.#crashes.length > 0) {
			messages.push({type: 'crashes', crashes: this.#crashes});
		}

		return messages;
	}

	#flushLoads(): void {
		this.#loadFlushTimer = undefined;
		this.#linkServer.broadcast({type: 'loads', loads: [...this.#pendingLoads.values()]}, ['entry']);
		this.#pendingLoads.clear();
	}

	#flushReports(): void {
		if (this.#pendingReports.size > 0) {
			this.#linkServer.broadcast({type: 'targets', reports: [...this.#pendingReports.values()]}, ['entry', 'control']);
			this.#pendingReports.clear();
		}
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, linkAddress} = this.#options;
		return {
			nodeId, role: 'control', failureDomain, linkAddress, isLeaving: this.#isLeaving,
		};
	}
}

const {rank: _rank, ...controlMethods} = linkService;

function unary<Request, Reply>(answer: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
	return (call, done) => {
		void respond(answer, call.request, done);
	};
}

async function respond<Request, Reply>(answer: (request: Request) => Promise<Reply>, request: Request, done: sendUnaryData<Reply>): Promise<void> {
	done(null, await answer(request));
}

/** Whether a report changes anything other than the time of the target's last report. */
function isSignificantChange(previous: TargetReport, current: TargetReport): boolean {
	return previous.state !== current.state
		|| previous.bornMs !== current.bornMs
		|| previous.rankPlace?.epoch !== current.rankPlace?.epoch
		|| previous.rankPlace?.isOpen !== current.rankPlace?.isOpen;
}
