/** When refused callers may come back. */

import type {AdmissionRequest} from './admission-request.js';

/**
Why a request is refused: no free slot within the wait, no target, too many queued requests, all targets have asked for a pause, all name limits that are
used up, all are in failure domains that an operator has drained, or the request exceeds the memory of any target.
*/
export type RefusalReason = 'full' | 'noTarget' | 'queueFull' | 'paused' | 'limited' | 'drained' | 'tooLarge';

/** A refusal to be given a time. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly request: AdmissionRequest;
	readonly nowMs: number;
	/** Requests that are queued at this entry. */
	readonly waitingCount: number;
	/** End of the first pause, if all targets pause. */
	readonly pausedUntilMs?: number;
};

/** Chooses the time after which the caller of a refused request may come back. */
export abstract class ReturnTimes {
	/** Milliseconds from now. */
	abstract retryAfterMs(refusal: Refusal): number;

	/** Called when a request of the service found much free room. */
	abstract roomFound(service: string): void;

	/** Called when a queued request of the service left the queue without a slot, since its caller left. */
	abstract placeFreed(service: string, nowMs: number): void;
}

/** Minimum of the retry delay given to a refused caller, and its random part. */
const minRetryAfterMs = 80;
const retryAfterJitterMs = 120;

/** Retry delay if a service has no target: it takes seconds until one has reported. The time that the request has waited for one counts. */
const noTargetRetryAfterMs = 1200;
const noTargetRetryAfterJitterMs = 1200;

/** Random part of the retry delay while all targets pause, as a share of the pause, so that the callers' return is no peak. */
const pauseSpreadShare = 0.25;

/** Options of return times that do not depend on the load. */
export type FixedReturnTimesOptions = {
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	/** Wait for a permit behind a number of other requests, in milliseconds. */
	readonly permitWaitMs: (waitingCount: number, nowMs: number) => number;
};

/** Return times with a fixed and a random part for each reason, so that retries do not arrive all at once. */
export class FixedReturnTimes extends ReturnTimes {
	readonly #options: FixedReturnTimesOptions;

	constructor(options: FixedReturnTimesOptions) {
		super();
		this.#options = options;
	}

	retryAfterMs({reason, request, nowMs, waitingCount, pausedUntilMs = nowMs}: Refusal): number {
		const random = this.#options.random();
		switch (reason) {
			case 'paused': {
				const pauseLeftMs = pausedUntilMs - nowMs;
				return pauseLeftMs + (Math.max(retryAfterJitterMs, pauseLeftMs * pauseSpreadShare) * random);
			}

			case 'limited': {
				const waitMs = this.#options.permitWaitMs(waitingCount, nowMs);
				return waitMs + (Math.max(retryAfterJitterMs, waitMs) * random);
			}

			case 'noTarget':
			case 'tooLarge':
			case 'drained': {
				const waitedMs = nowMs - request.arrivedAtMs;
				return Math.max(minRetryAfterMs, noTargetRetryAfterMs - waitedMs) + (random * noTargetRetryAfterJitterMs);
			}

			case 'full':
			case 'queueFull': {
				return minRetryAfterMs + (random * retryAfterJitterMs);
			}
		}
	}

	roomFound(): void {
		// The times do not depend on the room.
	}

	placeFreed(): void {
		// Refusals take no places.
	}
}
