/** Member of a simulated group: a real replica with a simulated disk and its own clock. */

import type {Effect, ReplicaEventBody} from '../events.js';
import type {
	LogEntry, LogSnapshot, VoterId, VoteState,
} from '../log-entry.js';
import {type IndexedMembership, membershipsIn} from '../membership.js';
import type {Envelope} from '../messages.js';
import type {ReplicaOptions} from '../options.js';
import type {RecoveredLog} from '../ports.js';
import {createReplica, type ReplicaState} from '../replica-state.js';
import {step} from '../step.js';
import {commandId} from './command-id.js';
import type {Oracle} from './oracle.js';

type Disk = {voteState: VoteState; snapshot: LogSnapshot | undefined; entries: LogEntry[]};

type WriteEffect = Extract<Effect, {type: 'saveVoteState' | 'append' | 'saveSnapshot' | 'send'}>;

export type SimulatedMemberOptions = {
	readonly id: VoterId;
	readonly initial: RecoveredLog;
	readonly replica: Partial<ReplicaOptions>;
	readonly random: () => number;
	readonly oracle: Oracle;
	readonly send: (envelope: Envelope) => void;
};

/** A member that is running, stopped, or has permanently lost its disk. */
export class SimulatedMember {
	readonly id: VoterId;
	hasDisk = true;
	/** Rate of the member's clock relative to simulated time. */
	clockRate = 1;
	state: ReplicaState | undefined;
	readonly #options: SimulatedMemberOptions;
	readonly #disk: Disk;
	readonly #accepted = new Map<number, {readonly requestId: number; readonly term: number}>();
	#clockMs = 0;
	#pending: WriteEffect[] = [];
	#applied: number[] = [];
	#appliedIndex = 0;

	constructor(options: SimulatedMemberOptions) {
		this.#options = options;
		this.id = options.id;
		const {voteState, snapshot, entries} = options.initial;
		this.#disk = {voteState, snapshot, entries: [...entries]};
	}

	/** Ids of the applied commands, in order. */
	get applied(): readonly number[] {
		return this.#applied;
	}

	/** All memberships in memory and on disk. */
	get knownMemberships(): IndexedMembership[] {
		const {snapshot, entries} = this.#disk;
		const base = snapshot ? [{index: snapshot.lastIndex, voters: snapshot.voters, learners: snapshot.learners}] : [];
		return [...base, ...membershipsIn(entries), ...this.state?.memberships ?? []];
	}

	/** Starts the replica from the state on disk. */
	start(): void {
		const {voteState, snapshot, entries} = this.#disk;
		this.#accepted.clear();
		this.#pending = [];
		this.#applied = commandsOf(snapshot);
		this.#appliedIndex = snapshot?.lastIndex ?? 0;
		this.state = createReplica({
			id: this.id,
			recovered: {voteState, ...(snapshot && {snapshot}), entries: [...entries]},
			nowMs: this.#clockMs,
			random: this.#options.random(),
			options: this.#options.replica,
		});
	}

	/** Crashes the member; of its pending writes only the first `writesKept` have reached the disk. */
	crash(writesKept: number): void {
		for (const effect of this.#pending.filter(candidate => candidate.type !== 'send').slice(0, writesKept)) {
			this.#write(effect);
		}

		this.#pending = [];
		this.state = undefined;
	}

	/** Advances the member's own clock. */
	advance(realMs: number): void {
		this.#clockMs += realMs * this.clockRate;
		this.handle({type: 'tick'});
	}

	/** Completes all pending writes, then sends the messages that waited for them. */
	sync(): void {
		const batch = this.#pending;
		this.#pending = [];
		for (const effect of batch) {
			this.#write(effect);
		}

		for (const effect of batch) {
			if (effect.type === 'send') {
				this.#options.send(effect.envelope);
			}
		}

		const last = batch.findLast(effect => effect.type === 'append')?.entries.at(-1);
		if (last) {
			this.handle({type: 'synced', index: last.index, term: last.term});
		}
	}

	/** Takes a snapshot of the applied state, padded to `snapshotBytes`. */
	compact(snapshotBytes = 0): void {
		const state = new TextEncoder().encode(JSON.stringify(this.#applied).padEnd(snapshotBytes));
		this.handle({type: 'compact', index: this.#appliedIndex, state});
	}

	/** Passes an event to the replica and executes the effects. */
	handle(event: ReplicaEventBody): void {
		if (!this.state) {
			return;
		}

		const {effects} = step(this.state, {...event, nowMs: this.#clockMs, random: this.#options.random()});
		for (const effect of effects) {
			this.#execute(effect);
		}
	}

	#execute(effect: Effect): void {
		const {oracle, send} = this.#options;
		switch (effect.type) {
			case 'saveVoteState':
			case 'append':
			case 'saveSnapshot': {
				this.#pending.push(effect);
				break;
			}

			case 'send': {
				if (effect.afterSync && this.#pending.length > 0) {
					this.#pending.push(effect);
				} else {
					send(effect.envelope);
				}

				break;
			}

			case 'apply': {
				this.#apply(effect.entries);
				break;
			}

			case 'restore': {
				this.#applied = commandsOf(effect.snapshot);
				this.#appliedIndex = effect.snapshot.lastIndex;
				oracle.restored(this.id, effect.snapshot.lastIndex, this.#applied);
				break;
			}

			case 'accepted': {
				this.#accepted.set(effect.index, effect);
				break;
			}

			case 'readConfirmed': {
				oracle.readConfirmed(effect.requestId, this.#appliedIndex);
				break;
			}

			case 'roleChanged': {
				if (effect.role === 'leader') {
					oracle.elected(this.id, effect.term);
				} else {
					this.#accepted.clear();
				}

				break;
			}

			case 'refused': {
				oracle.refused(effect.requestId);
				break;
			}
		}
	}

	#apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#options.oracle.applied(this.id, this.#appliedIndex, entry);
			this.#appliedIndex = entry.index;
			if (entry.payload.kind === 'command') {
				this.#applied.push(commandId(entry.payload.command));
			}

			const accepted = this.#accepted.get(entry.index);
			if (accepted?.term === entry.term) {
				this.#options.oracle.acknowledged(entry.index);
			}
		}
	}

	#write(effect: WriteEffect): void {
		switch (effect.type) {
			case 'saveVoteState': {
				this.#disk.voteState = effect.voteState;
				break;
			}

			case 'append': {
				const {index} = effect.entries[0];
				this.#disk.entries = [...this.#disk.entries.filter(entry => entry.index < index), ...effect.entries];
				break;
			}

			case 'saveSnapshot': {
				this.#writeSnapshot(effect.snapshot);
				break;
			}

			case 'send': {
				break;
			}
		}
	}

	#writeSnapshot(snapshot: LogSnapshot): void {
		const {lastIndex, lastTerm} = snapshot;
		const covered = this.#disk.entries.find(entry => entry.index === lastIndex);
		const matchesSnapshot = covered?.term === lastTerm;
		this.#disk.snapshot = snapshot;
		this.#disk.entries = matchesSnapshot ? this.#disk.entries.filter(entry => entry.index > lastIndex) : [];
	}
}

function commandsOf(snapshot: LogSnapshot | undefined): number[] {
	return snapshot && snapshot.state.byteLength > 0 ? JSON.parse(new TextDecoder().decode(snapshot.state)) as number[] : [];
}
