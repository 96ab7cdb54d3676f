/**
Estimates how long ago a caller first sent a request, from the time that it has left: a caller that retries has less time left than is
usual for its route.
*/

/** The parts of a route that the estimate needs. */
export type RouteTimeout = {readonly name: string; readonly timeoutMs: number};

/** Lower and upper bound of the time since a caller's first attempt. */
export type TimeSinceFirstAttempt = {readonly atLeastMs: number; readonly atMostMs: number};

/** Share of the longest timeout by which the timeouts of callers of one route differ, so that an early retry can't be told from a shorter timeout: 0.15 at two sites. */
const timeoutSpread = 0.15;

/**
Records the longest remaining time seen on each route. The route's timeout alone is not a reliable reference, as operators change it
while callers keep their own timeouts.
*/
export class FirstAttemptEstimator {
	readonly #longestTimeLeftMs = new Map<string, number>();

	/** Estimates the time since the caller's first attempt; 0 if the remaining time is unknown. */
	estimate({name, timeoutMs}: RouteTimeout, timeLeftMs: number | undefined): TimeSinceFirstAttempt {
		if (timeLeftMs === undefined) {
			return {atLeastMs: 0, atMostMs: 0};
		}

		const longestMs = Math.max(this.#longestTimeLeftMs.get(name) ?? 0, timeLeftMs);
		this.#longestTimeLeftMs.set(name, longestMs);
		const usualMs = Math.min(timeoutMs, longestMs);
		return {atLeastMs: Math.max(0, (usualMs * (1 - timeoutSpread)) - timeLeftMs), atMostMs: Math.max(0, usualMs - timeLeftMs)};
	}
}
