/**
The agent role: all requests to the targets of a VM pass through its agent. The agent announces the targets, admits or
refuses requests and buffers the response streams.
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
	attemptKey, AttemptTable, createFailure, createRefusal, type Attempt, type AttemptQuery,
} from './attempt-table.js';
import {FrameSender, sendFailure, type AttemptStream} from './frame-sender.js';
import {createIncarnation} from './incarnation.js';
import {Orders, localRanks} from './orders.js';
import {StreamMemory} from './stream-memory.js';
import {TargetRun} from './target-run.js';
import {TargetScheduler} from './target-scheduler.js';

/** How long a finished response is kept so that a disconnected reader can resume. */
const finishedRetentionMs = 30_000;

/** How long the response of a claimed attempt is kept, so that a retransmission can still record it in the ledger. */
const claimedRetentionMs = 600_000;

/** Maximum wait for requests in progress at shutdown. */
const drainTimeoutMs = 600_000;

/** Interval between checks for requests in progress at shutdown. */
const drainPollIntervalMs = 50;

/** Grace period for open calls when the listener closes. */
const shutdownGraceMs = 2000;

/** How long an attempt continues without a reader, so that its caller can resume. */
const resumeGraceMs = 5000;

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

/** Admits requests to the targets of one VM. */
export class AgentRole extends Role {
	readonly #options: AgentRoleOptions;
	readonly #listener: GrpcListener;
	readonly #directoryClients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly #attempts: AttemptTable;
	readonly #streamMemory: StreamMemory;
	readonly #runs = new Map<string, TargetRun>();
	/** Number of open readers by attempt key. */
	readonly #readerCounts = new Map<string, number>();
	readonly #schedulers = new Map<string, TargetScheduler>();
	readonly #orders: Orders;
	#sequence = 0;
	#state: TargetState = 'serving';
	#announceTimer: NodeJS.Timeout | undefined;

	constructor(options: AgentRoleOptions) {
		super();
		this.#options = options;
		this.#streamMemory = new StreamMemory(options.settings.streamBufferBytes);
		const incarnation = createIncarnation(options.clock.wallMs());
		this.#orders = new Orders({incarnation, ranks: localRanks(options.settings.targets)});
		this.#attempts = new AttemptTable({incarnation, memory: this.#streamMemory});
		for (const target of options.settings.targets) {
			this.#schedulers.set(target.targetId, new TargetScheduler({target, clock: options.clock}));
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
		this.#attempts.startDraining();
		this.#announce();
		const deadline = this.#options.clock.monotonicMs() + drainTimeoutMs;
		while (this.#isBusy() && this.#options.clock.monotonicMs() < deadline) {
			await new Promise(resolve => {
				setTimeout(resolve, drainPollIntervalMs);
			});
		}
	}

	async stop(): Promise<void> {
		this.#orders.stop();
		clearInterval(this.#announceTimer);
		await this.#listener.stop(shutdownGraceMs);
		this.#directoryClients.close();
	}

	/** Whether a request is running or a response is being read. */
	#isBusy(): boolean {
		return this.#runs.size > 0 || this.#readerCounts.size > 0;
	}

	#announce(): void {
		this.#sequence++;
		const reachable = this.#options.settings.targets.filter(target => !this.#schedulerOf(target).isUnreachable);
		const announcements = reachable.map(target => announcementToMessage(this.#announcementOf(target)));
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
			incarnation: this.#attempts.incarnation,
			sequence: this.#sequence,
			vm,
			failureDomain,
			agentAddress: settings.advertisedAddress ?? `${listen.host}:${listen.port}`,
			kind: target.kind,
			services: target.services,
			groupId: target.groupId,
			state: this.#state === 'serving' && !this.#admitsWork(target.targetId) ? 'drained' : this.#state,
			load: this.#schedulerOf(target).load,
			leaseMs: settings.leaseMs,
		};
	}

	/** Whether the configuration allows new requests to the target. */
	#admitsWork(target: string): boolean {
		const {inForce, failureDomain, clock} = this.#options;
		return effectiveValue(inForce.configuration, 'target.admitsWork', {target, failureDomain}, clock.wallMs())?.value !== false;
	}

	#schedulerOf(target: TargetSettings): TargetScheduler {
		return this.#schedulers.get(target.targetId)!;
	}

	#refreshLoad(): void {
		for (const scheduler of this.#schedulers.values()) {
			void scheduler.refreshLoad();
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
		const decision = this.#attempts.dispatch(request);
		switch (decision.kind) {
			case 'notOwner':
			case 'gone': {
				sendFailure(reader, reader, unknownAttemptFailure);
				return;
			}

			case 'otherIncarnation': {
				sendFailure(reader, reader, createFailure('outcomeUnknown', 'The agent has restarted since the target was selected; the attempt may have run before the restart.'));
				return;
			}

			case 'admitted': {
				this.#admitOrRefuse(decision.attempt);
				break;
			}

			case 'refused': {
				this.#scheduleDrop(decision.attempt);
				break;
			}

			case 'known': {
				break;
			}
		}

		this.#read(reader, decision.attempt, 0);
	}

	/** Queues a new attempt, or refuses it if its target is missing, drained or unreachable, or if stream memory is full. */
	#admitOrRefuse(attempt: Attempt): void {
		const target = this.#options.settings.targets.find(candidate => candidate.targetId === attempt.request.targetId);
		const refusal = this.#refusalOf(target);
		if (target && !refusal) {
			this.#enqueue(target, attempt);
		} else {
			this.#refuse(attempt, refusal ?? createRefusal('noTarget', 'This agent does not serve the requested target.'));
		}
	}

	/** Queues an attempt until it is handed over to the target, refused, or sealed. */
	#enqueue(target: TargetSettings, attempt: Attempt): void {
		const {clientAccount, costTokens, prefillTokens, remainingMs, alone, fairShare} = attempt.request;
		this.#schedulerOf(target).queue.offer({
			clientAccount,
			costTokens: Math.max(1, costTokens),
			deadlineMs: this.#options.clock.monotonicMs() + remainingMs,
			alone,
			prefillTokens,
			fairShare: fairShare > 0 ? fairShare : 1,
			start: async onFirstByte => this.#run(target, attempt, onFirstByte),
			refuse: ({type, message, retryAfterMs = 0}) => {
				this.#refuse(attempt, {...createRefusal(type, message), retryAfterMs});
			},
		});
	}

	#refuse(attempt: Attempt, refusal: agentProtocol.Refusal): void {
		this.#attempts.refuse(attempt, refusal);
		this.#scheduleDrop(attempt);
	}

	#refusalOf(target: TargetSettings | undefined): agentProtocol.Refusal | undefined {
		if (target && !this.#admitsWork(target.targetId)) {
			return createRefusal('draining', 'The target is being drained by an operator.');
		}

		if (!this.#streamMemory.hasCapacity()) {
			return createRefusal('overloaded', 'The agent\'s stream buffer is full of unread responses.');
		}

		if (target && this.#schedulerOf(target).isUnreachable) {
			return createRefusal('noTarget', 'The target refuses connections.');
		}

		return undefined;
	}

	/** Runs an attempt taken from the queue; resolves to whether the response was complete. */
	async #run(target: TargetSettings, attempt: Attempt, onFirstByte: () => void): Promise<boolean> {
		if (!this.#attempts.handOver(attempt)) {
			this.#scheduleDrop(attempt);
			return false;
		}

		const run = new TargetRun({
			target, attempt, memory: this.#streamMemory, onFirstByte,
		});
		this.#runs.set(attempt.key, run);
		const isWhole = await run.run();
		this.#runs.delete(attempt.key);
		this.#attempts.finish(attempt);
		this.#scheduleDrop(attempt);
		return isWhole;
	}

	#scheduleDrop(attempt: Attempt): void {
		const retentionMs = attempt.request.claimed ? claimedRetentionMs : finishedRetentionMs;
		setTimeout(() => {
			this.#attempts.drop(attempt);
		}, retentionMs).unref();
	}

	#resume(reader: FrameReader<agentProtocol.ResumeRequest>): void {
		const attempt = this.#attempts.findAttempt(reader.request);
		if (!attempt) {
			sendFailure(reader, reader, unknownAttemptFailure);
			return;
		}

		this.#read(reader, attempt, reader.request.fromSequence);
	}

	#read(reader: AttemptStream, attempt: Attempt, fromSequence: number): void {
		this.#readerCounts.set(attempt.key, (this.#readerCounts.get(attempt.key) ?? 0) + 1);
		const onClosed = (): void => {
			this.#onReaderClosed(attempt);
		};

		const sender = new FrameSender({
			reader, attempt, fromSequence, onClosed,
		});
		sender.start();
	}

	/** Cancels an attempt that has lost its last reader and has none after the grace period. A claimed attempt runs to its end. */
	#onReaderClosed(attempt: Attempt): void {
		const readers = (this.#readerCounts.get(attempt.key) ?? 1) - 1;
		if (readers > 0) {
			this.#readerCounts.set(attempt.key, readers);
			return;
		}

		this.#readerCounts.delete(attempt.key);
		if (attempt.request.claimed || attempt.buffer.isEnded) {
			return;
		}

		setTimeout(() => {
			if (!this.#readerCounts.has(attempt.key)) {
				this.#cancelAttempt(attempt.request);
			}
		}, resumeGraceMs).unref();
	}

	#cancelAttempt(query: AttemptQuery): Execution {
		const {execution, abort} = this.#attempts.cancel(query);
		if (abort) {
			this.#runs.get(attemptKey(query))?.abort('cancelled', 'The request was cancelled.');
		}

		return execution;
	}

	#seal(call: ServerUnaryCall<agentProtocol.SealRequest, agentProtocol.SealReply>, done: sendUnaryData<agentProtocol.SealReply>): void {
		const outcome = this.#attempts.seal(call.request, call.request.incarnation);
		done(null, {outcome, incarnation: this.#attempts.incarnation});
	}

	#cancel(call: ServerUnaryCall<agentProtocol.CancelRequest, agentProtocol.CancelReply>, done: sendUnaryData<agentProtocol.CancelReply>): void {
		done(null, {execution: this.#cancelAttempt(call.request)});
	}
}

const unknownAttemptFailure = createFailure('unknownRequest', 'This agent holds no response for the attempt.');
