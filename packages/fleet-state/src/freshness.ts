/**
Tracks how stale a daemon's configuration may be, and decides whether the daemon accepts new work.

A confirmation states that no revision newer than the named one had been accepted at a given time on the monotonic
clock of this process. It takes effect once the daemon has that revision.
*/

import type {Revision} from '@rattanspring/types';

/** A confirmation by a quorum; the time is on this process's monotonic clock. */
export type Confirmation = {readonly revision: Revision; readonly confirmedAtMs: number};

/**
What is known about the voters' quorum.
- `held`: a reachable voter has a leader.
- `lost`: most relays are reachable, and none of the voters they can reach has a leader.
- `unreachable`: neither could be established.
*/
export type QuorumState = 'held' | 'lost' | 'unreachable';

/** Policy for new work when the staleness limit is exceeded and the quorum is lost. */
export type WithoutQuorum = 'serve' | 'refuse';

/** Limits from the effective configuration. */
export type FreshnessLimits = {readonly limitMs: number; readonly withoutQuorum: WithoutQuorum};

/** Why new work is refused. */
export type RefusalType = 'neverConfirmed' | 'isolated' | 'behind' | 'quorumLost';

/** Whether a daemon accepts new work. */
export type ServingDecision
	= | {readonly kind: 'serve'; readonly basis: 'confirmed' | 'quorumLost'}
		| {readonly kind: 'refuse'; readonly type: RefusalType};

/** Tracks the confirmations of the daemon's current revision. */
export class FreshnessTracker {
	#revision: Revision = 0;
	#latestConfirmation: Confirmation | undefined;
	#confirmedAtMs: number | undefined;
	#quorum: QuorumState = 'unreachable';
	#quorumReportedAtMs = Number.NEGATIVE_INFINITY;

	/** The latest confirmation, even if the daemon does not have its revision yet. */
	get latestConfirmation(): Confirmation | undefined {
		return this.#latestConfirmation;
	}

	/** Records the daemon's current revision; an older one than already recorded is ignored. */
	setRevision(revision: Revision): void {
		this.#revision = Math.max(this.#revision, revision);
		this.#settle();
	}

	/** Records a confirmation; an older one than already recorded is ignored. */
	confirm(confirmation: Confirmation): void {
		if (!this.#latestConfirmation || confirmation.confirmedAtMs > this.#latestConfirmation.confirmedAtMs) {
			this.#latestConfirmation = confirmation;
			this.#settle();
		}
	}

	/** Records a reported quorum state. */
	reportQuorum(quorum: QuorumState, nowMs: number): void {
		this.#quorum = quorum;
		this.#quorumReportedAtMs = nowMs;
	}

	/** Time since the current revision was last confirmed to be the newest; infinite if it never was. */
	ageMs(nowMs: number): number {
		return this.#confirmedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs - this.#confirmedAtMs;
	}

	/** Decides whether the daemon accepts new work. */
	decide(limits: FreshnessLimits, nowMs: number): ServingDecision {
		if (this.#confirmedAtMs === undefined) {
			return {kind: 'refuse', type: 'neverConfirmed'};
		}

		if (this.ageMs(nowMs) <= limits.limitMs) {
			return {kind: 'serve', basis: 'confirmed'};
		}

		if (this.#isBehind()) {
			return {kind: 'refuse', type: 'behind'};
		}

		const isQuorumLost = this.#quorum === 'lost' && nowMs - this.#quorumReportedAtMs <= limits.limitMs;
		if (!isQuorumLost) {
			return {kind: 'refuse', type: 'isolated'};
		}

		return limits.withoutQuorum === 'serve' ? {kind: 'serve', basis: 'quorumLost'} : {kind: 'refuse', type: 'quorumLost'};
	}

	#isBehind(): boolean {
		return this.#latestConfirmation !== undefined && this.#latestConfirmation.revision > this.#revision;
	}

	#settle(): void {
		if (this.#latestConfirmation && !this.#isBehind()) {
			this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? Number.NEGATIVE_INFINITY, this.#latestConfirmation.confirmedAtMs);
		}
	}
}
