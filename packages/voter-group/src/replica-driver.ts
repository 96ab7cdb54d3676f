/**
Runs a replica of the log: passes events to the consensus core and executes the resulting effects.

Writes that queue up while the disk is busy are batched, so that one sync covers all of their commands.
*/

import {
	createReplica, currentMembership, type Effect, type Envelope, findMember, type LogEntry, type LogStorage, type MembershipChange, type PeerTransport,
	type RecoveredLog, type Refusal, type ReplicaEventBody, type ReplicaOptions, type ReplicaState, type StateMachine, step,
} from '@rattanspring/replicated-log';
import {
	type Clock, err, ok, type Result,
} from '@rattanspring/types';
import {waitFor} from './wait-for.js';
import {WriteQueue} from './write-queue.js';

const defaultTickIntervalMs = 20;

/** Why a request failed. After `lost` the outcome is unknown: the command may or may not have been committed. */
export type RequestFailure = Refusal | {readonly type: 'lost'; readonly message: string; readonly leaderAddress?: string};

export type ReplicaDriverOptions<Answer> = {
	readonly voterId: string;
	readonly storage: LogStorage;
	readonly transport: PeerTransport;
	readonly stateMachine: StateMachine<Answer>;
	readonly clock: Clock;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly replica?: Partial<ReplicaOptions>;
	readonly tickIntervalMs?: number;
	/** Number of applied entries between snapshots. */
	readonly snapshotEveryEntries: number;
	/** Size of the applied commands after which a snapshot is due before that; none by default. */
	readonly snapshotEveryBytes?: number;
	/** Called after entries have been applied or a snapshot has been restored. */
	readonly onApplied: () => void;
	readonly onRoleChanged: (role: ReplicaState['role'], term: number) => void;
};

type ResultCallback<Value> = (result: Result<Value, RequestFailure>) => void;
type PendingRequest<Answer> = {readonly term: number; readonly settle: ResultCallback<Answer | undefined>};

const leadershipLostFailure: RequestFailure = {type: 'lost', message: 'This voter lost its leadership; the request may or may not have been accepted.'};

/** Nothing was appended for the request. */
const stoppedFailure: RequestFailure = {type: 'notLeader', message: 'This voter has stopped.'};

export class ReplicaDriver<Answer> {
	readonly #options: ReplicaDriverOptions<Answer>;
	readonly #writeQueue: WriteQueue;
	readonly #requests = new Map<number, ResultCallback<Answer | undefined>>();
	readonly #reads = new Map<number, ResultCallback<number>>();
	readonly #acceptedRequests = new Map<number, PendingRequest<Answer>>();
	/** Addresses that senders reported in their messages. */
	readonly #addresses = new Map<string, string>();
	readonly #state: ReplicaState;
	#proposals: Array<{requestId: number; command: Uint8Array}> = [];
	#nextRequestId = 1;
	#appliedIndex: number;
	#snapshotIndex: number;
	#bytesSinceSnapshot = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: ReplicaDriverOptions<Answer>, recovered: RecoveredLog) {
		this.#options = options;
		const {voterId, clock, random, storage, transport, stateMachine} = options;
		this.#state = createReplica({
			id: voterId, recovered, nowMs: clock.monotonicMs(), random: random(), options: options.replica,
		});
		this.#appliedIndex = this.#state.commitIndex;
		this.#snapshotIndex = this.#state.commitIndex;
		if (recovered.snapshot && recovered.snapshot.state.byteLength > 0) {
			stateMachine.restore(recovered.snapshot.state);
		}

		this.#writeQueue = new WriteQueue({
			storage,
			send: envelope => {
				this.#send(envelope, transport);
			},
			onSynced: (index, term) => {
				this.#step({type: 'synced', index, term});
			},
		});
	}

	/** Read-only view of the replica's state. */
	get state(): Readonly<ReplicaState> {
		return this.#state;
	}

	/** Index of the last applied entry. */
	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Starts the periodic ticks of the replica. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#step({type: 'tick'});
		}, this.#options.tickIntervalMs ?? defaultTickIntervalMs);
		this.#step({type: 'tick'});
	}

	/** Processes a message from a peer. */
	receive(envelope: Envelope, fromAddress: string): void {
		if (fromAddress !== '') {
			this.#addresses.set(envelope.from, fromAddress);
		}

		this.#step({type: 'received', envelope});
	}

	/** Commits a command and returns the state machine's result. */
	async propose(command: Uint8Array): Promise<Result<Answer, RequestFailure>> {
		const result = await new Promise<Result<Answer | undefined, RequestFailure>>(resolve => {
			if (this.#isStopped) {
				resolve(err(stoppedFailure));
				return;
			}

			const requestId = this.#registerRequest(resolve);
			this.#proposals.push({requestId, command});
			if (this.#proposals.length === 1) {
				setImmediate(() => {
					this.#propose();
				});
			}
		});
		return result as Result<Answer, RequestFailure>;
	}

	/** Commits a membership change. */
	async changeMembership(change: MembershipChange): Promise<Result<unknown, RequestFailure>> {
		return this.#isStopped
			? err(stoppedFailure)
			: new Promise(resolve => {
				this.#step({type: 'changeMembership', requestId: this.#registerRequest(resolve), change});
			});
	}

	/** Linearizable read: resolves once a quorum has confirmed that the applied state includes every command committed before the call. */
	async read(): Promise<Result<number, RequestFailure>> {
		return this.#isStopped
			? err(stoppedFailure)
			: new Promise(resolve => {
				const requestId = this.#nextRequestId++;
				this.#reads.set(requestId, resolve);
				this.#step({type: 'read', requestId});
			});
	}

	/** Starts a leadership transfer. */
	transferLeadership(): void {
		this.#step({type: 'transferLeadership'});
	}

	/** Transfers leadership and waits until this replica is no longer the leader. Returns true at once if there is no other voter. */
	async transferLeadershipAndWait(timeoutMs: number): Promise<boolean> {
		this.transferLeadership();
		return waitFor(() => this.#state.role !== 'leader' || currentMembership(this.#state).voters.length === 1, timeoutMs);
	}

	/** Waits until the entry at an index has been applied locally; returns false on timeout. */
	async waitForIndex(index: number, timeoutMs: number): Promise<boolean> {
		return waitFor(() => this.#appliedIndex >= index, timeoutMs);
	}

	/** Stops the replica; accepted requests and reads fail as `lost`, and what was not appended is refused. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#failPendingRequests();
		for (const settle of this.#requests.values()) {
			settle(err(stoppedFailure));
		}

		this.#requests.clear();
		await this.#writeQueue.finish();
	}

	#registerRequest(settle: ResultCallback<Answer | undefined>): number {
		const requestId = this.#nextRequestId++;
		this.#requests.set(requestId, settle);
		return requestId;
	}

	#propose(): void {
		const proposals = this.#proposals;
		this.#proposals = [];
		this.#step({type: 'propose', proposals});
	}

	#step(event: ReplicaEventBody): void {
		if (this.#isStopped) {
			return;
		}

		const {clock, random} = this.#options;
		const {effects} = step(this.#state, {...event, nowMs: clock.monotonicMs(), random: random()});
		for (const effect of effects) {
			this.#execute(effect);
		}

		this.#snapshotIfDue();
	}

	#execute(effect: Effect): void {
		switch (effect.type) {
			case 'saveVoteState':
			case 'append':
			case 'saveSnapshot': {
				this.#writeQueue.add(effect);
				break;
			}

			case 'send': {
				if (effect.afterSync) {
					this.#writeQueue.add(effect);
				} else {
					this.#send(effect.envelope, this.#options.transport);
				}

				break;
			}

			case 'apply': {
				this.#apply(effect.entries);
				break;
			}

			case 'restore': {
				this.#options.stateMachine.restore(effect.snapshot.state);
				this.#appliedIndex = effect.snapshot.lastIndex;
				this.#snapshotIndex = effect.snapshot.lastIndex;
				this.#bytesSinceSnapshot = 0;
				this.#options.onApplied();
				break;
			}

			case 'accepted': {
				const settle = getAndDelete(this.#requests, effect.requestId);
				this.#acceptedRequests.set(effect.index, {term: effect.term, settle: settle!});
				break;
			}

			case 'refused': {
				const settle = getAndDelete(this.#requests, effect.requestId) ?? getAndDelete(this.#reads, effect.requestId);
				settle?.(err(effect.refusal));
				break;
			}

			case 'readConfirmed': {
				getAndDelete(this.#reads, effect.requestId)?.(ok(effect.index));
				break;
			}

			case 'roleChanged': {
				this.#options.onRoleChanged(effect.role, effect.term);
				if (effect.role !== 'leader') {
					this.#failPendingRequests();
				}

				break;
			}
		}
	}

	#apply(entries: readonly LogEntry[]): void {
		for (const {index, term, payload} of entries) {
			const answer = payload.kind === 'command' ? this.#options.stateMachine.apply(payload.command) : undefined;
			this.#bytesSinceSnapshot += payload.kind === 'command' ? payload.command.byteLength : 0;
			this.#appliedIndex = index;
			const request = getAndDelete(this.#acceptedRequests, index);
			request?.settle(request.term === term ? ok(answer) : err(leadershipLostFailure));
		}

		this.#options.onApplied();
	}

	#snapshotIfDue(): void {
		const {snapshotEveryEntries, snapshotEveryBytes = Number.POSITIVE_INFINITY} = this.#options;
		if (this.#appliedIndex - this.#snapshotIndex < snapshotEveryEntries && this.#bytesSinceSnapshot < snapshotEveryBytes) {
			return;
		}

		this.#snapshotIndex = this.#appliedIndex;
		this.#bytesSinceSnapshot = 0;
		this.#step({type: 'compact', index: this.#appliedIndex, state: this.#options.stateMachine.serialize()});
	}

	/** A learner receives the group's addresses through the log; until then it replies to the address that the sender reported. */
	#send(envelope: Envelope, transport: PeerTransport): void {
		const membership = currentMembership(this.#state);
		const toAddress = findMember(membership, envelope.to)?.address ?? this.#addresses.get(envelope.to);
		if (toAddress) {
			transport.send(envelope, toAddress, findMember(membership, this.#state.id)?.address ?? '');
		}
	}

	#failPendingRequests(): void {
		const callbacks = [...this.#reads.values(), ...[...this.#acceptedRequests.values()].map(request => request.settle)];
		this.#reads.clear();
		this.#acceptedRequests.clear();
		for (const settle of callbacks) {
			settle(err(leadershipLostFailure));
		}
	}
}

function getAndDelete<Value>(map: Map<number, Value>, key: number): Value | undefined {
	const value = map.get(key);
	map.delete(key);
	return value;
}
