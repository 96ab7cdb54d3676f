/**
How fresh a daemon's configuration is, and whether it may take new work with it.

A confirmation says that at some moment no revision newer than the one it names had been accepted. Its moment is on
the monotonic clock of this process. It counts once that revision is held.
*/

import type {Revision} from '@rattanspring/types';

/** A confirmation by a quorum, on this process's monotonic clock. */
export type Confirmation = {readonly revision: Revision; readonly confirmedAtMs: number};

/**
What is known of the quorum.
- `held`: a voter in reach has a leader.
- `lost`: most relays are in reach, and no voter in reach of theirs has a leader.
- `unreachable`: neither is known.
*/
export type QuorumState = 'held' | 'lost' | 'unreachable';

/** What a daemon past the limit does with new work while the quorum is lost. */
export type WithoutQuorum = 'serve' | 'refuse';

/** Limits from the configuration in force. */
export type FreshnessLimits = {readonly limitMs: number; readonly withoutQuorum: WithoutQuorum};

/** Why new work is refused. */
export type RefusalType = 'neverConfirmed' | 'isolated' | 'behind' | 'quorumLost';

/** Whether a daemon may take new work. */
export type ServingDecision
	= | {readonly kind: 'serve'; readonly basis: 'confirmed' | 'quorumLost'}
		| {readonly kind: 'refuse'; readonly type: RefusalType};

/** Keeps the confirmations and what they mean for the revision held. */
export class FreshnessTracker {
	#revision: Revision = 0;
	#newest: Confirmation | undefined;
	#confirmedAtMs: number | undefined;
	#quorum: QuorumState = 'unreachable';
	#quorumReportedAtMs = Number.NEGATIVE_INFINITY;

	/** The newest confirmation, whether its revision is held or not. */
	get latestConfirmation(): Confirmation | undefined {
		return this.#newest;
	}

	/** Takes in that a revision is held now. */
	setRevision(revision: Revision): void {
		this.#revision = Math.max(this.#revision, revision);
		this.#settle();
	}

	/** Takes in a confirmation; an older one than known changes nothing. */
	confirm(confirmation: Confirmation): void {
		if (!this.#newest || confirmation.confirmedAtMs > this.#newest.confirmedAtMs) {
			this.#newest = confirmation;
			this.#settle();
		}
	}

	/** Takes in what was reported of the quorum. */
	reportQuorum(quorum: QuorumState, nowMs: number): void {
		this.#quorum = quorum;
		this.#quorumReportedAtMs = nowMs;
	}

	/** Time since the revision held was last known to be the newest; infinite if it never was. */
	ageMs(nowMs: number): number {
		return this.#confirmedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs - this.#confirmedAtMs;
	}

	/** Decides whether new work may be taken. */
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
		return this.#newest !== undefined && this.#newest.revision > this.#revision;
	}

	#settle(): void {
		if (this.#newest && !this.#isBehind()) {
			this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? Number.NEGATIVE_INFINITY, this.#newest.confirmedAtMs);
		}
	}
}
