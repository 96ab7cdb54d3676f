/**
Rejects orders to an engine that carry a stale fencing number. An agent has one gate per lease subject.
*/

import type {FencingNumber} from '@rattanspring/types';

/** Why an order is rejected. */
export type FencingRefusal = {readonly type: 'fencingNumberUnknown' | 'fencingNumberOld'; readonly message: string};

/**
Tracks the smallest valid fencing number of one lease subject. The gate is authoritative, since only some engines check fencing numbers
themselves. After a restart it has no number and rejects every order until it has learned the smallest valid one from a read confirmed
by a majority.
*/
export class FencingGate {
	#smallestValid: FencingNumber | undefined;

	/** Records the smallest valid number as confirmed by a majority; a smaller one than already recorded is ignored. */
	learn(smallest: FencingNumber): void {
		this.#smallestValid = Math.max(this.#smallestValid ?? 0, smallest);
	}

	/** Returns why an order with this number is rejected, or undefined if it is valid; smaller numbers are rejected from then on. */
	check(fencingNumber: FencingNumber): FencingRefusal | undefined {
		if (this.#smallestValid === undefined) {
			return {type: 'fencingNumberUnknown', message: 'No majority has confirmed the current fencing number since the start.'};
		}

		if (fencingNumber < this.#smallestValid) {
			return {type: 'fencingNumberOld', message: `The order has fencing number ${fencingNumber}; ${this.#smallestValid} or greater is needed.`};
		}

		this.#smallestValid = fencingNumber;
		return undefined;
	}
}
