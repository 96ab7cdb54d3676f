/**
Runs a replica of the log: feeds it events, writes to its storage, sends its messages and answers its requests.

Writes that wait for the disk are merged, so that one sync carries all commands of the meantime.
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

/** Time between ticks of the replica, unless the options name another. */
const defaultTickIntervalMs = 20;

/** Why a request got no answer. After `lost` it may have been accepted or not. */
export type RequestFailure = Refusal | {readonly type: 'lost'; readonly message: string; readonly leaderAddress?: string};

/** Options of a driver. */
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
	/** Applied entries after which a snapshot is taken. */
	readonly snapshotEveryEntries: number;
	/** Called after entries were applied or a snapshot was restored. */
	readonly onApplied: () => void;
	readonly onRoleChanged: (role: ReplicaState['role'], term: number) => void;
};

type Settle<Value> = (result: Result<Value, RequestFailure>) => void;
type Waiting<Answer> = {readonly term: number; readonly settle: Settle<Answer | undefined>};

const lostFailure: RequestFailure = {type: 'lost', message: 'This voter lost its leadership; the request may or may not have been accepted.'};

/** One running replica. */
export class ReplicaDriver<Answer> {
	readonly #options: ReplicaDriverOptions<Answer>;
	readonly #writes: WriteQueue;
	readonly #requests = new Map<number, Settle<Answer | undefined>>();
	readonly #reads = new Map<number, Settle<number>>();
	readonly #accepted = new Map<number, Waiting<Answer>>();
	/** Addresses that senders named. */
	readonly #addresses = new Map<string, string>();
	readonly #state: ReplicaState;
	#proposals: Array<{requestId: number; command: Uint8Array}> = [];
	#nextRequestId = 1;
	#appliedIndex: number;
	#snapshotIndex: number;
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

		this.#writes = new WriteQueue({
			storage,
			send: envelope => {
				this.#send(envelope, transport);
			},
			onSynced: (index, term) => {
				this.#step({type: 'synced', index, term});
			},
		});
	}

	/** The replica's state, to be looked at only. */
	get state(): Readonly<ReplicaState> {
		return this.#state;
	}

	/** Index of the last applied entry. */
	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Starts the clock of the replica. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#step({type: 'tick'});
		}, this.#options.tickIntervalMs ?? defaultTickIntervalMs);
		this.#step({type: 'tick'});
	}

	/** Hands over a message from a peer. */
	receive(envelope: Envelope, fromAddress: string): void {
		if (fromAddress !== '') {
			this.#addresses.set(envelope.from, fromAddress);
		}

		this.#step({type: 'received', envelope});
	}

	/** Commits a command and returns the state machine's answer. */
	async propose(command: Uint8Array): Promise<Result<Answer, RequestFailure>> {
		const result = await new Promise<Result<Answer | undefined, RequestFailure>>(resolve => {
			const requestId = this.#newRequest(resolve);
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
		return new Promise(resolve => {
			this.#step({type: 'changeMembership', requestId: this.#newRequest(resolve), change});
		});
	}

	/** Resolves once a quorum confirmed that the applied state has everything accepted before the call. */
	async read(): Promise<Result<number, RequestFailure>> {
		return new Promise(resolve => {
			const requestId = this.#nextRequestId++;
			this.#reads.set(requestId, resolve);
			this.#step({type: 'read', requestId});
		});
	}

	/** Starts to pass leadership on. */
	transferLeadership(): void {
		this.#step({type: 'transferLeadership'});
	}

	/** Passes leadership on, and waits for another voter to take it; true at once where there is none. */
	async transferLeadershipAndWait(timeoutMs: number): Promise<boolean> {
		this.transferLeadership();
		return waitFor(() => this.#state.role !== 'leader' || currentMembership(this.#state).voters.length === 1, timeoutMs);
	}

	/** Waits until the entry at an index is applied here. */
	async waitForIndex(index: number, timeoutMs: number): Promise<boolean> {
		return waitFor(() => this.#appliedIndex >= index, timeoutMs);
	}

	/** Stops; open requests are lost. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#loseRequests();
		await this.#writes.finish();
	}

	#newRequest(settle: Settle<Answer | undefined>): number {
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
			this.#carryOut(effect);
		}

		this.#takeSnapshot();
	}

	#carryOut(effect: Effect): void {
		switch (effect.type) {
			case 'saveVoteState':
			case 'append':
			case 'saveSnapshot': {
				this.#writes.add(effect);
				break;
			}

			case 'send': {
				if (effect.afterSync) {
					this.#writes.add(effect);
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
				this.#options.onApplied();
				break;
			}

			case 'accepted': {
				const settle = take(this.#requests, effect.requestId);
				this.#accepted.set(effect.index, {term: effect.term, settle: settle!});
				break;
			}

			case 'refused': {
				const settle = take(this.#requests, effect.requestId) ?? take(this.#reads, effect.requestId);
				settle?.(err(effect.refusal));
				break;
			}

			case 'readConfirmed': {
				take(this.#reads, effect.requestId)?.(ok(effect.index));
				break;
			}

			case 'roleChanged': {
				this.#options.onRoleChanged(effect.role, effect.term);
				if (effect.role !== 'leader') {
					this.#loseRequests();
				}

				break;
			}
		}
	}

	#apply(entries: readonly LogEntry[]): void {
		for (const {index, term, payload} of entries) {
			const answer = payload.kind === 'command' ? this.#options.stateMachine.apply(payload.command) : undefined;
			this.#appliedIndex = index;
			const waiting = take(this.#accepted, index);
			waiting?.settle(waiting.term === term ? ok(answer) : err(lostFailure));
		}

		this.#options.onApplied();
	}

	#takeSnapshot(): void {
		if (this.#appliedIndex - this.#snapshotIndex < this.#options.snapshotEveryEntries) {
			return;
		}

		this.#snapshotIndex = this.#appliedIndex;
		this.#step({type: 'compact', index: this.#appliedIndex, state: this.#options.stateMachine.serialize()});
	}

	/** A learner learns the group's addresses from the log; until then it answers where a message came from. */
	#send(envelope: Envelope, transport: PeerTransport): void {
		const membership = currentMembership(this.#state);
		const toAddress = findMember(membership, envelope.to)?.address ?? this.#addresses.get(envelope.to);
		if (toAddress) {
			transport.send(envelope, toAddress, findMember(membership, this.#state.id)?.address ?? '');
		}
	}

	#loseRequests(): void {
		const settles = [...this.#reads.values(), ...[...this.#accepted.values()].map(waiting => waiting.settle)];
		this.#reads.clear();
		this.#accepted.clear();
		for (const settle of settles) {
			settle(err(lostFailure));
		}
	}
}

function take<Value>(map: Map<number, Value>, key: number): Value | undefined {
	const value = map.get(key);
	map.delete(key);
	return value;
}
