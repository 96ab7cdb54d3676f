/**
Tells refused callers to come back when there is room for them: a virtual clock for each service gives each refusal the next free place.

Load that this answers: bursts and lost targets, after which refused callers who all return at the same moment would be refused once more, and callers who
return early or often.

A return is worth most while it can still be on time, so the places of the clock go to callers who are on time there. They get a part of the expected slots: if all
were promised, new requests would be refused for the sake of older ones, until all are late. A caller for whom no place in time is left comes back late in any case; a late
answer is worth the same whenever it comes, and an early return would meet the same lack of room, so it is told a time near the longest that it waits, spread.
*/

import type {AdmissionRequest} from './admission-request.js';
import type {ExpectedRoom} from './expected-room.js';
import {
	FixedReturnTimes, type FixedReturnTimesOptions, type Refusal, ReturnTimes,
} from './return-times.js';

/** Part of the expected slots that is promised to callers who return on time. */
const promisedShare = 0.5;

/** Share of the time left up to which callers wait as told. */
const maxReturnShare = 1 / 3;

/** Share of the objective within which a return has to come: what is left of the on-time wait is for the way back and for the queue. */
const onTimeShare = 0.4;

/** Shortest delay: an earlier return would find what the refusal found. */
const minDelayMs = 20;

/** Random part of the delay, as a share of it. */
const spreadShare = 0.15;

/** Spread, as a share of the longest time, of the returns for which no place is left. */
const lateSpreadShare = 0.5;

export type RoomReturnTimesOptions = FixedReturnTimesOptions & {readonly room: ExpectedRoom};

/** Return times by expected room. Refusals for other reasons than missing slots get the fixed times. */
export class RoomReturnTimes extends ReturnTimes {
	readonly #options: RoomReturnTimesOptions;
	readonly #fixed: FixedReturnTimes;
	/** The next free place of each service, as a time. */
	readonly #nextPlaceAtMs = new Map<string, number>();

	constructor(options: RoomReturnTimesOptions) {
		super();
		this.#options = options;
		this.#fixed = new FixedReturnTimes(options);
	}

	retryAfterMs(refusal: Refusal): number {
		const {reason, request, nowMs, waitingCount} = refusal;
		const {service, deadlineAtMs, sinceFirstTryMs = 0} = request;
		const intervalMs = this.#options.room.intervalMs(service, nowMs);
		if ((reason !== 'full' && reason !== 'queueFull') || intervalMs === 0) {
			return this.#fixed.retryAfterMs(refusal);
		}

		const longestMs = Math.max(0, (deadlineAtMs - nowMs) * maxReturnShare);
		const stepMs = intervalMs / promisedShare;
		const placeMs = Math.max(minDelayMs + (waitingCount * intervalMs), (this.#nextPlaceAtMs.get(service) ?? nowMs) - nowMs);
		const random = this.#options.random();
		const delayMs = placeMs + (random * Math.max(stepMs / 2, placeMs * spreadShare));
		if (delayMs > Math.min(onTimeLeftMs(request, nowMs), longestMs)) {
			return longestMs * (1 - (lateSpreadShare * random));
		}

		// A caller that is known to have been refused before has its place.
		if (sinceFirstTryMs === 0) {
			this.#nextPlaceAtMs.set(service, nowMs + placeMs + stepMs);
		}

		return delayMs;
	}

	roomFound(service: string): void {
		this.#nextPlaceAtMs.delete(service);
	}

	placeFreed(service: string, nowMs: number): void {
		const nextAtMs = this.#nextPlaceAtMs.get(service);
		if (nextAtMs !== undefined) {
			this.#nextPlaceAtMs.set(service, nextAtMs - this.#options.room.intervalMs(service, nowMs));
		}
	}
}

function onTimeLeftMs({arrivedAtMs, objectiveMs, sinceFirstTryMs = 0}: AdmissionRequest, nowMs: number): number {
	return (objectiveMs * onTimeShare) - sinceFirstTryMs - (nowMs - arrivedAtMs);
}
