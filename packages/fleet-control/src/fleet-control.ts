/**
One control process: it keeps the document with its group, takes reports of targets, and tells both to every daemon that
follows it. Reports are passed on before they are acknowledged, and every daemon follows every control process, so that a
report needs no way between control processes.
*/

import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import {
	ControlLinks, type CrashReport, type DownMessage, LinkServer, linkService, listen, type NodeCard, type NodeRole, type UpMessage,
} from '@rattanspring/fleet-link';
import type {FatalPort} from '@rattanspring/log-storage';
import type {Logger} from '@rattanspring/logger';
import {serverOptions} from '@rattanspring/protocol';
import {type TargetLoad, type TargetReport, TargetTable} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import {
	type handleUnaryCall, type sendUnaryData, Server, type ServerDuplexStream, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {DocumentGroup} from './document-group.js';

/** Load figures that come within this time are told together. */
const loadBatchMs = 50;

/** Time between batches of reports that change nothing but the time of the last one. */
const reportBatchIntervalMs = 1000;

const expireIntervalMs = 10_000;

/** Reports of crashes that new daemons are told. */
const maxRememberedCrashes = 200;

/** Options of a control process. */
export type FleetControlOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** `host:port` at which other daemons reach this process. */
	readonly linkAddress: string;
	/** Where the document is kept; without a folder the process only passes on. */
	readonly dataFolder: string;
	readonly seeds: () => readonly string[];
	readonly isFirstStart: boolean;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly fatal: FatalPort;
};

/** One control process. */
export class FleetControl {
	readonly #options: FleetControlOptions;
	readonly #group: DocumentGroup;
	readonly #links: LinkServer;
	readonly #others: ControlLinks;
	readonly #targets = new TargetTable();
	readonly #server = new Server(serverOptions);
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #waitingLoads = new Map<string, TargetLoad>();
	#loadsTimer: NodeJS.Timeout | undefined;
	readonly #waitingReports = new Map<string, TargetReport>();
	readonly #crashes: CrashReport[] = [];
	#isLeaving = false;

	constructor(options: FleetControlOptions) {
		this.#options = options;
		const nowMs = () => options.clock.monotonicMs();
		this.#links = new LinkServer({
			nowMs,
			ownCard: () => this.#card(),
			welcome: role => this.#welcome(role),
			onMessage: message => {
				this.#onMessage(message);
			},
		});
		this.#others = new ControlLinks({
			nowMs,
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage: message => {
				this.#onOtherControl(message);
			},
		});
		this.#group = new DocumentGroup({
			...options,
			others: () => this.#others.addresses,
			onDocument: document => {
				options.logger.log('info', 'documentInForce', {version: document.version, bytes: document.text.length});
				this.#links.broadcast({type: 'version', version: document.version}, ['entry', 'agent']);
			},
		});
	}

	/** Listens, then forms, recovers or joins the group. */
	async start(): Promise<void> {
		this.#server.addService(this.#group.service.definition, this.#group.service.implementation);
		this.#server.addService(controlMethods, this.#handlers());
		await listen(this.#server, this.#options.linkAddress);
		this.#every(reportBatchIntervalMs, () => {
			this.#flushReports();
		});
		this.#every(expireIntervalMs, () => {
			this.#targets.expire(this.#options.clock.monotonicMs());
		});
		await this.#group.start();
	}

	/** Whether this process counts in the group. */
	get isVoter(): boolean {
		return this.#group.isVoter;
	}

	/** Commits a document; undefined if it may or may not have been accepted. */
	async replace(document: StoredDocument): Promise<ReplaceOutcome | undefined> {
		const held = this.#group.document;
		if (held?.version === document.version && held.text === document.text) {
			return 'alreadyStored';
		}

		return this.#group.replace(document);
	}

	/** The newest accepted document, if a quorum confirms that it is. */
	async read(): Promise<{readonly isConfirmed: boolean; readonly document?: StoredDocument}> {
		return this.#group.read();
	}

	/** Takes what a target says of itself. */
	report(report: TargetReport): void {
		const before = this.#targets.get(report.targetId);
		if (!this.#targets.add(report, this.#options.clock.monotonicMs())) {
			return;
		}

		this.#waitingReports.set(report.targetId, report);
		if (!before || isChange(before, report)) {
			this.#options.logger.log('info', 'targetChanged', {
				targetId: report.targetId, state: report.state, bornMs: report.bornMs, sequence: report.sequence,
			});
			this.#flushReports();
		}
	}

	/** Takes it that a target has left. */
	depart(targetId: string): void {
		const report = this.#targets.goneReport(targetId);
		if (report) {
			this.report(report);
		}
	}

	/** Tells the others that this process is about to stop, and passes leadership on. */
	leave(): void {
		this.#isLeaving = true;
		this.#others.sayHello();
		this.#links.tellNodes();
		this.#group.passLeadershipOn();
	}

	/** Stops. */
	async stop(): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		clearTimeout(this.#loadsTimer);
		this.#others.close();
		this.#links.close();
		await this.#group.stop();
		this.#server.forceShutdown();
	}

	#every(intervalMs: number, work: () => void): void {
		this.#timers.push(setInterval(work, intervalMs));
	}

	#handlers(): UntypedServiceImplementation {
		return {
			follow: (call: ServerDuplexStream<UpMessage, DownMessage>) => {
				this.#links.accept(call);
			},
			document: unary(async ({heldVersion}: {heldVersion: number}) => {
				const {document} = this.#group;
				return document && document.version > heldVersion ? document : {};
			}),
			submit: unary(async (document: StoredDocument) => ({outcome: await this.#group.submit(document)})),
			join: unary(async (request: {voterId: string; address: string}) => this.#group.join(request)),
		};
	}

	#onMessage(message: UpMessage): void {
		if (message.type === 'load') {
			this.#waitingLoads.set(message.load.address, message.load);
			this.#loadsTimer ??= setTimeout(() => {
				this.#flushLoads();
			}, loadBatchMs);
		} else if (message.type === 'crash') {
			this.#crashes.push(message.crash);
			this.#crashes.splice(0, Math.max(0, this.#crashes.length - maxRememberedCrashes));
			this.#links.broadcast({type: 'crashes', crashes: [message.crash]}, ['entry']);
		}
	}

	/** What other control processes heard is kept for daemons that follow later; those that follow now heard it themselves. */
	#onOtherControl(message: DownMessage): void {
		if (message.type === 'targets') {
			for (const report of message.reports) {
				this.#targets.add(report, this.#options.clock.monotonicMs());
			}
		}
	}

	#welcome(role: NodeRole): DownMessage[] {
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
		this.#loadsTimer = undefined;
		this.#links.broadcast({type: 'loads', loads: [...this.#waitingLoads.values()]}, ['entry']);
		this.#waitingLoads.clear();
	}

	#flushReports(): void {
		if (this.#waitingReports.size > 0) {
			this.#links.broadcast({type: 'targets', reports: [...this.#waitingReports.values()]}, ['entry', 'control']);
			this.#waitingReports.clear();
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

/** Whether a report says more than that its target is still there. */
function isChange(before: TargetReport, after: TargetReport): boolean {
	return before.state !== after.state
		|| before.bornMs !== after.bornMs
		|| before.rankPlace?.epoch !== after.rankPlace?.epoch
		|| before.rankPlace?.isOpen !== after.rankPlace?.isOpen;
}
