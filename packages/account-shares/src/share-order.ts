/**
Order of an entry's queue: requests that can be on time first, then by priority, then accounts that ask for no more than their share before the others, then the one whose
first attempt was earliest. An account that asks for more is behind the others only while these wait, and a request that has waited for long enough goes by its arrival alone.
*/

import {FirstAttemptOrder, type QueuedCandidate} from '@rattanspring/placement';
import type {ShareTable} from './share-table.js';

/** A request that has waited this long counts as one whose account is within its share, so that none waits for ever. */
const agingMs = 500;

/** What the order goes by. */
export type Shares = Pick<ShareTable, 'excessOf' | 'reserveOf'>;

/** Orders by shares. */
export class ShareOrder extends FirstAttemptOrder {
	readonly #shares: Shares;

	constructor(shares: Shares) {
		super();
		this.#shares = shares;
	}

	override reserveFor(candidate: QueuedCandidate, nowMs: number): number {
		return this.#excessOf(candidate, nowMs) > 0 ? this.#shares.reserveOf(candidate.request.service) : 0;
	}

	override accountRankOf(candidate: QueuedCandidate, nowMs: number): number {
		return this.#excessOf(candidate, nowMs);
	}

	/** What the account was admitted as a multiple of its share; 0 if it asks for no more than that. */
	#excessOf({request: {service, accountName, arrivedAtMs}}: QueuedCandidate, nowMs: number): number {
		return nowMs - arrivedAtMs >= agingMs ? 0 : this.#shares.excessOf(service, accountName);
	}
}
