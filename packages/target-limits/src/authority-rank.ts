/**
Whether a control process may act as the first one for a subject, in the order that the entries use.

Load this answers: links between control processes break, and each side forgets the other one. A process that only looked at those it knows now would rank first on both
sides, and both would give the whole limit. So a process that was known is remembered for a time after it is lost, unless it said that it leaves.
*/

import {rankByRendezvous} from '@rattanspring/directory';

/** Time for which a control process that is lost still counts as one that entries may ask. */
const rememberLostMs = 60_000;

/** Time after its start, and after the first of the others is known, in which a process doesn't count as first: its list may be incomplete. */
const settleMs = 3000;

/** Options of a rank. */
export type AuthorityRankOptions = {
	readonly ownAddress: string;
	/** Addresses at which other control processes were configured to be. */
	readonly seeds: () => readonly string[];
	readonly startedAtMs: number;
};

/** Another control process. */
export type OtherControl = {readonly address: string; readonly isLeaving: boolean};

/** The rank of one control process among all of them. */
export class AuthorityRank {
	readonly #options: AuthorityRankOptions;
	readonly #seenAtMs = new Map<string, number>();
	#settledAtMs: number;
	#hasMetOthers = false;

	constructor(options: AuthorityRankOptions) {
		this.#options = options;
		this.#settledAtMs = options.startedAtMs + settleMs;
	}

	/** Records which other control processes are known now. */
	update(others: readonly OtherControl[], nowMs: number): void {
		if (!this.#hasMetOthers && others.length > 0) {
			this.#hasMetOthers = true;
			this.#settledAtMs = nowMs + settleMs;
		}

		for (const {address, isLeaving} of others) {
			if (isLeaving) {
				this.#seenAtMs.delete(address);
			} else {
				this.#seenAtMs.set(address, nowMs);
			}
		}

		for (const [address, seenAtMs] of this.#seenAtMs) {
			if (nowMs - seenAtMs > rememberLostMs) {
				this.#seenAtMs.delete(address);
			}
		}
	}

	/** Whether no other control process can be first for the subject. */
	isFirst(subject: string, nowMs: number): boolean {
		const {ownAddress, seeds} = this.#options;
		if (nowMs < this.#settledAtMs || (!this.#hasMetOthers && seeds().some(address => address !== ownAddress))) {
			return false;
		}

		return rankByRendezvous(subject, [ownAddress, ...this.#seenAtMs.keys()])[0] === ownAddress;
	}
}
