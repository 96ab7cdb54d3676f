/**
When callers asked first. A caller that comes back has less time left than its kind of request usually has. The route's timeout alone does not
tell, as operators change it while callers keep their limits; and callers of one kind differ in their limits, so that a return after a
short time can't be told from a shorter limit.
*/

/** A route, as far as this needs it. */
export type TimedRoute = {readonly name: string; readonly timeoutMs: number};

/** Time since a caller asked first: what is sure, and what may be. */
export type SinceFirstTry = {readonly atLeastMs: number; readonly atMostMs: number};

/** Part of the longest limit by which the limits of callers of one kind differ: measured 0.15 on two sites. */
const limitSpread = 0.15;

/** The longest time left that callers of each route came with. */
export class FirstTries {
	readonly #longestMs = new Map<string, number>();

	/** Time since the caller of a request asked first; 0 where nothing tells. */
	since({name, timeoutMs}: TimedRoute, timeLeftMs: number | undefined): SinceFirstTry {
		if (timeLeftMs === undefined) {
			return {atLeastMs: 0, atMostMs: 0};
		}

		const longestMs = Math.max(this.#longestMs.get(name) ?? 0, timeLeftMs);
		this.#longestMs.set(name, longestMs);
		const usualMs = Math.min(timeoutMs, longestMs);
		return {atLeastMs: Math.max(0, (usualMs * (1 - limitSpread)) - timeLeftMs), atMostMs: Math.max(0, usualMs - timeLeftMs)};
	}
}
