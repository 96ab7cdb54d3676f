/**
The agent role: the only door to the targets of its VM. It announces them, admits or refuses work and
holds the answers' streams.
*/

import {GrpcClientPool} from '@rattanspring/control-client';
import type {
	sendUnaryData, ServerUnaryCall, ServerDuplexStream,
} from '@grpc/grpc-js';
import {effectiveValue} from '@rattanspring/fleet-state';
import type {Logger} from '@rattanspring/logger';
import {
	agentProtocol, announcementToMessage, directoryProtocol, exchangeProtocol, type KeyMaterial, ordersProtocol,
} from '@rattanspring/protocol';
import type {AgentSettings, TargetSettings} from '@rattanspring/settings';
import type {
	Clock, Execution, TargetAnnouncement, TargetState,
} from '@rattanspring/types';
import {type FrameReader, serveExchange} from '../../adapters/exchange/agent-exchange.js';
import {GrpcListener} from '../../adapters/grpc-listener.js';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {Role} from '../../ports/role.js';
import {
	attemptKey, AttemptTable, failureOf, refusalOf, type Attempt, type AttemptQuestion,
} from './attempt-table.js';
import {FrameSender, sendFailure, type AttemptReader} from './frame-sender.js';
import {makeIncarnation} from './incarnation.js';
import {Orders, ranksOf} from './orders.js';
import {StreamMemory} from './stream-memory.js';
import {TargetRun} from './target-run.js';
import {TargetWork} from './target-work.js';

/** How long a finished answer is kept for a reader that comes back. */
const keepFinishedMs = 30_000;

/** How long the answer of a claimed attempt is kept, so that a resend can still record it. */
const keepClaimedMs = 600_000;

/** Longest wait for work in progress at shutdown. */
const drainLimitMs = 600_000;

/** Pause between looks at the work in progress at shutdown. */
const drainPollMs = 50;

/** Time for calls in progress when the listener closes. */
const stopGraceMs = 2000;

/** How long an attempt goes on without a reader, so that its caller may resume. */
const abandonGraceMs = 5000;

type ExchangeCall = ServerDuplexStream<exchangeProtocol.ExchangeUp, exchangeProtocol.ExchangeDown>;

/** Options of the role. */
export type AgentRoleOptions = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly settings: AgentSettings;
	readonly inForce: InForceConfiguration;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Admits work to the targets of one VM. */
export class AgentRole extends Role {
	readonly #options: AgentRoleOptions;
	readonly #listener: GrpcListener;
	readonly #directoryClients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly #table: AttemptTable;
	readonly #memory: StreamMemory;
	readonly #runs = new Map<string, TargetRun>();
	/** Readers of each attempt. */
	readonly #readers = new Map<string, number>();
	readonly #work = new Map<string, TargetWork>();
	readonly #orders: Orders;
	#sequence = 0;
	#state: TargetState = 'serving';
	#announceTimer: NodeJS.Timeout | undefined;

	constructor(options: AgentRoleOptions) {
		super();
		this.#options = options;
		this.#memory = new StreamMemory(options.settings.streamBufferBytes);
		const incarnation = makeIncarnation(options.clock.wallMs());
		this.#orders = new Orders({incarnation, ranks: ranksOf(options.settings.targets)});
		this.#table = new AttemptTable({incarnation, memory: this.#memory});
		for (const target of options.settings.targets) {
			this.#work.set(target.targetId, new TargetWork({target, clock: options.clock}));
		}

		this.#listener = new GrpcListener({listen: options.settings.listen, keys: options.keys});
		this.#directoryClients = new GrpcClientPool({clientClass: directoryProtocol.DirectoryClient, keys: options.keys});
	}

	get name(): string {
		return 'agent';
	}

	async start(): Promise<void> {
		this.#listener.addService(agentProtocol.AgentService, {
			seal: this.#seal.bind(this),
			cancel: this.#cancel.bind(this),
		});
		this.#listener.addService(exchangeProtocol.ExchangeService, {open: this.#openExchange.bind(this)});
		this.#listener.addService(ordersProtocol.OrdersService, this.#orders.service);
		await this.#listener.start();
		this.#orders.start();
		this.#announce();
		this.#announceTimer = setInterval(() => {
			this.#refreshLoad();
			this.#announce();
		}, this.#options.settings.announceIntervalMs);
	}

	isReady(): boolean {
		return this.#state === 'serving';
	}

	async drain(): Promise<void> {
		this.#state = 'leaving';
		this.#table.leave();
		this.#announce();
		const deadline = this.#options.clock.monotonicMs() + drainLimitMs;
		while (this.#isBusy() && this.#options.clock.monotonicMs() < deadline) {
			await new Promise(resolve => {
				setTimeout(resolve, drainPollMs);
			});
		}
	}

	async stop(): Promise<void> {
		this.#orders.stop();
		clearInterval(this.#announceTimer);
		await this.#listener.stop(stopGraceMs);
		this.#directoryClients.close();
	}

	/** Whether a target works, or an answer is being read. */
	#isBusy(): boolean {
		return this.#runs.size > 0 || this.#readers.size > 0;
	}

	#announce(): void {
		this.#sequence++;
		const present = this.#options.settings.targets.filter(target => !this.#workOf(target).isGone);
		const announcements = present.map(target => announcementToMessage(this.#announcementOf(target)));
		for (const address of this.#options.settings.relayAddresses) {
			this.#directoryClients.clientFor(address).announce({announcements, entries: []}, error => {
				if (error) {
					this.#options.logger.log('debug', 'announceFailed', {relay: address, reason: error.message});
				}
			});
		}
	}

	#announcementOf(target: TargetSettings): TargetAnnouncement {
		const {vm, failureDomain, settings} = this.#options;
		const {listen} = settings;
		return {
			targetId: target.targetId,
			incarnation: this.#table.incarnation,
			sequence: this.#sequence,
			vm,
			failureDomain,
			agentAddress: settings.advertisedAddress ?? `${listen.host}:${listen.port}`,
			kind: target.kind,
			services: target.services,
			groupId: target.groupId,
			state: this.#state === 'serving' && !this.#admitsWork(target.targetId) ? 'drained' : this.#state,
			load: this.#workOf(target).load,
			leaseMs: settings.leaseMs,
		};
	}

	/** Whether the configuration lets the target take new work. */
	#admitsWork(target: string): boolean {
		const {inForce, failureDomain, clock} = this.#options;
		return effectiveValue(inForce.configuration, 'target.admitsWork', {target, failureDomain}, clock.wallMs())?.value !== false;
	}

	#workOf(target: TargetSettings): TargetWork {
		return this.#work.get(target.targetId)!;
	}

	#refreshLoad(): void {
		for (const work of this.#work.values()) {
			void work.refresh();
		}
	}

	#openExchange(call: ExchangeCall): void {
		serveExchange(call, {
			execute: reader => {
				this.#execute(reader);
			},
			resume: reader => {
				this.#resume(reader);
			},
		});
	}

	#execute(reader: FrameReader<agentProtocol.ExecuteRequest>): void {
		const {request} = reader;
		const decision = this.#table.dispatch(request);
		switch (decision.kind) {
			case 'notOwner':
			case 'gone': {
				sendFailure(reader, reader, noSuchAnswer);
				return;
			}

			case 'otherIncarnation': {
				sendFailure(reader, reader, failureOf('outcomeUnknown', 'The agent has restarted since the attempt was planned.'));
				return;
			}

			case 'admitted': {
				this.#admit(decision.attempt);
				break;
			}

			case 'refused': {
				this.#dropLater(decision.attempt);
				break;
			}

			case 'known': {
				break;
			}
		}

		this.#read(reader, decision.attempt, 0);
	}

	/** Decides whether a new attempt gets its turn. */
	#admit(attempt: Attempt): void {
		const target = this.#options.settings.targets.find(candidate => candidate.targetId === attempt.request.targetId);
		const refusal = this.#refusalOf(target);
		if (target && !refusal) {
			this.#queue(target, attempt);
		} else {
			this.#refuse(attempt, refusal ?? refusalOf('noTarget', 'This agent has no such target.'));
		}
	}

	/** Queues an attempt until its turn; it is refused, sealed, or handed over. */
	#queue(target: TargetSettings, attempt: Attempt): void {
		const {clientAccount, costTokens, prefillTokens, remainingMs, alone, fairShare} = attempt.request;
		this.#workOf(target).queue.offer({
			clientAccount,
			costTokens: Math.max(1, costTokens),
			deadlineMs: this.#options.clock.monotonicMs() + remainingMs,
			alone,
			prefillTokens,
			fairShare: fairShare > 0 ? fairShare : 1,
			start: async onFirstByte => this.#run(target, attempt, onFirstByte),
			refuse: ({type, message, retryAfterMs = 0}) => {
				this.#refuse(attempt, {...refusalOf(type, message), retryAfterMs});
			},
		});
	}

	#refuse(attempt: Attempt, refusal: agentProtocol.Refusal): void {
		this.#table.refuse(attempt, refusal);
		this.#dropLater(attempt);
	}

	#refusalOf(target: TargetSettings | undefined): agentProtocol.Refusal | undefined {
		if (target && !this.#admitsWork(target.targetId)) {
			return refusalOf('draining', 'An operator drains the target.');
		}

		if (!this.#memory.hasRoom()) {
			return refusalOf('overloaded', 'The agent holds too many answers that were not read.');
		}

		if (target && this.#workOf(target).isGone) {
			return refusalOf('noTarget', 'Nothing listens at the target.');
		}

		return undefined;
	}

	/** Runs an attempt at its turn; returns whether the answer was whole. */
	async #run(target: TargetSettings, attempt: Attempt, onFirstByte: () => void): Promise<boolean> {
		if (!this.#table.handOver(attempt)) {
			this.#dropLater(attempt);
			return false;
		}

		const run = new TargetRun({
			target, attempt, memory: this.#memory, onFirstByte,
		});
		this.#runs.set(attempt.key, run);
		const isWhole = await run.run();
		this.#runs.delete(attempt.key);
		this.#table.finish(attempt);
		this.#dropLater(attempt);
		return isWhole;
	}

	#dropLater(attempt: Attempt): void {
		const keepMs = attempt.request.claimed ? keepClaimedMs : keepFinishedMs;
		setTimeout(() => {
			this.#table.drop(attempt);
		}, keepMs).unref();
	}

	#resume(reader: FrameReader<agentProtocol.ResumeRequest>): void {
		const attempt = this.#table.attemptOf(reader.request);
		if (!attempt) {
			sendFailure(reader, reader, noSuchAnswer);
			return;
		}

		this.#read(reader, attempt, reader.request.fromSequence);
	}

	#read(reader: AttemptReader, attempt: Attempt, fromSequence: number): void {
		this.#readers.set(attempt.key, (this.#readers.get(attempt.key) ?? 0) + 1);
		const onClosed = (): void => {
			this.#lostReader(attempt);
		};

		const sender = new FrameSender({
			reader, attempt, fromSequence, onClosed,
		});
		sender.start();
	}

	/** Stops an attempt whose last reader went away, unless one comes back or a claim has to run to its end. */
	#lostReader(attempt: Attempt): void {
		const readers = (this.#readers.get(attempt.key) ?? 1) - 1;
		if (readers > 0) {
			this.#readers.set(attempt.key, readers);
			return;
		}

		this.#readers.delete(attempt.key);
		if (attempt.request.claimed || attempt.buffer.isEnded) {
			return;
		}

		setTimeout(() => {
			if (!this.#readers.has(attempt.key)) {
				this.#cancelAttempt(attempt.request);
			}
		}, abandonGraceMs).unref();
	}

	#cancelAttempt(question: AttemptQuestion): Execution {
		const {execution, abort} = this.#table.cancel(question);
		if (abort) {
			this.#runs.get(attemptKey(question))?.abort('cancelled', 'The request was cancelled.');
		}

		return execution;
	}

	#seal(call: ServerUnaryCall<agentProtocol.SealRequest, agentProtocol.SealReply>, done: sendUnaryData<agentProtocol.SealReply>): void {
		const outcome = this.#table.seal(call.request, call.request.incarnation);
		done(null, {outcome, incarnation: this.#table.incarnation});
	}

	#cancel(call: ServerUnaryCall<agentProtocol.CancelRequest, agentProtocol.CancelReply>, done: sendUnaryData<agentProtocol.CancelReply>): void {
		done(null, {execution: this.#cancelAttempt(call.request)});
	}
}

const noSuchAnswer = failureOf('unknownRequest', 'This agent holds no such answer.');
