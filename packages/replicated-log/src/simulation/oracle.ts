/** Test oracle that checks the safety invariants of a group. Deliberately simple: it observes only what replicas apply and reply. */

import {FailureError} from '@rattanspring/types';
import type {LogEntry, VoterId} from '../log-entry.js';
import {type IndexedMembership, membershipsIn} from '../membership.js';
import {commandId} from './command-id.js';

/** A violated invariant. */
export type ViolationFailure = {
	readonly type: 'twoLeaders' | 'entryDiffers' | 'entryLost' | 'gap' | 'staleRead' | 'refusedButApplied' | 'noProgress';
	readonly message: string;
};

/** Checks the invariants of one group. */
export class Oracle {
	readonly #leaders = new Map<number, VoterId>();
	readonly #committed = new Map<number, {readonly term: number; readonly command: number | undefined}>();
	readonly #reads = new Map<number, number>();
	readonly #refused = new Set<number>();
	#acknowledgedIndex = 0;
	#committedMembership: IndexedMembership | undefined;
	#confirmedReads = 0;

	/** Number of reads confirmed so far. */
	get confirmedReads(): number {
		return this.#confirmedReads;
	}

	/** Highest index whose request was acknowledged to a caller. */
	get acknowledgedIndex(): number {
		return this.#acknowledgedIndex;
	}

	/** Number of terms that had a leader. */
	get electionCount(): number {
		return this.#leaders.size;
	}

	/** Number of committed entries. */
	get committedCount(): number {
		return this.#committed.size;
	}

	/** The latest membership known to be committed. */
	get committedMembership(): IndexedMembership | undefined {
		return this.#committedMembership;
	}

	/** Checks that there is at most one leader per term. */
	elected(id: VoterId, term: number): void {
		const other = this.#leaders.get(term);
		if (other !== undefined && other !== id) {
			reportViolation('twoLeaders', `${other} and ${id} lead in term ${term}`);
		}

		this.#leaders.set(term, id);
	}

	/** Checks that every replica applies the same entries in the same order without gaps. */
	applied(id: VoterId, previousIndex: number, entry: LogEntry): void {
		if (entry.index !== previousIndex + 1) {
			reportViolation('gap', `${id} applied ${entry.index} after ${previousIndex}`);
		}

		const command = entry.payload.kind === 'command' ? commandId(entry.payload.command) : undefined;
		const known = this.#committed.get(entry.index);
		if (known && (known.term !== entry.term || known.command !== command)) {
			reportViolation('entryDiffers', `${id} applied command ${command} of term ${entry.term} at ${entry.index}, another applied ${known.command} of term ${known.term}`);
		}

		if (command !== undefined && this.#refused.has(command)) {
			reportViolation('refusedButApplied', `command ${command} was refused and is applied at ${entry.index}`);
		}

		this.#committed.set(entry.index, {term: entry.term, command});
		const membership = membershipsIn([entry]).at(0);
		if (membership && membership.index > (this.#committedMembership?.index ?? 0)) {
			this.#committedMembership = membership;
		}
	}

	/** Checks that a snapshot contains exactly the commands committed up to its position. */
	restored(id: VoterId, lastIndex: number, commands: readonly number[]): void {
		const expected: number[] = [];
		for (let index = 1; index <= lastIndex; index++) {
			const command = this.#committed.get(index)?.command;
			if (command !== undefined) {
				expected.push(command);
			}
		}

		if (JSON.stringify(expected) !== JSON.stringify(commands)) {
			reportViolation('entryLost', `${id} restored ${commands.length} commands up to ${lastIndex}, expected ${expected.length}`);
		}
	}

	/** Records that the entry at `index` was acknowledged to its caller. */
	acknowledged(index: number): void {
		this.#acknowledgedIndex = Math.max(this.#acknowledgedIndex, index);
	}

	/** Records a refusal, which guarantees that nothing was appended. */
	refused(requestId: number): void {
		this.#reads.delete(requestId);
		this.#refused.add(requestId);
	}

	/** Records the start of a read; it must observe everything acknowledged so far. */
	readStarted(requestId: number): void {
		this.#reads.set(requestId, this.#acknowledgedIndex);
	}

	/** Checks that a read served from the state at `appliedIndex` is not stale. */
	readConfirmed(requestId: number, appliedIndex: number): void {
		const needed = this.#reads.get(requestId);
		this.#reads.delete(requestId);
		this.#confirmedReads++;
		if (needed !== undefined && appliedIndex < needed) {
			reportViolation('staleRead', `read ${requestId} saw ${appliedIndex}, but ${needed} was acknowledged before it started`);
		}
	}
}

/** Throws a violated invariant. */
export function reportViolation(type: ViolationFailure['type'], message: string): never {
	throw new FailureError<ViolationFailure>({type, message});
}
