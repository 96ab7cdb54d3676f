/**
When callers asked first. A caller that comes back has less time left than its kind of request usually has; the route's timeout alone does not
tell, as operators change it while callers keep their limits.
*/

/** A route, as far as this needs it. */
export type TimedRoute = {readonly name: string; readonly timeoutMs: number};

/** The longest time left that callers of each route came with. */
export class FirstTries {
	readonly #longestMs = new Map<string, number>();

	/** Time since the caller of a request asked first; 0 where that cannot be told. */
	sinceMs({name, timeoutMs}: TimedRoute, timeLeftMs: number | undefined): number {
		if (timeLeftMs === undefined) {
			return 0;
		}

		const longestMs = Math.max(this.#longestMs.get(name) ?? 0, timeLeftMs);
		this.#longestMs.set(name, longestMs);
		return Math.max(0, Math.min(timeoutMs, longestMs) - timeLeftMs);
	}
}
