/** Which of the queued requests of an entry is served first. */

import type {AdmissionRequest} from './admission-request.js';

/** A queued request as far as its turn depends on it. */
export type QueuedCandidate = {
	readonly request: AdmissionRequest;
	/** Whether it can no longer meet its latency objective. */
	readonly isLate: boolean;
};

/** Orders queued requests. */
export abstract class QueueOrder {
	/** Negative if the left request goes first. */
	abstract compare(left: QueuedCandidate, right: QueuedCandidate, nowMs: number): number;
}

/** Requests that can be on time first, then by priority, then the account with fewer requests in progress at this entry, then the one that waits longest. */
export class InProgressOrder extends QueueOrder {
	readonly #inProgressOf: (accountName: string) => number;

	constructor(inProgressOf: (accountName: string) => number) {
		super();
		this.#inProgressOf = inProgressOf;
	}

	compare(left: QueuedCandidate, right: QueuedCandidate): number {
		return (Number(left.isLate) - Number(right.isLate))
			|| (left.request.priority - right.request.priority)
			|| (this.#inProgressOf(left.request.accountName) - this.#inProgressOf(right.request.accountName))
			|| (left.request.arrivedAtMs - right.request.arrivedAtMs);
	}
}
