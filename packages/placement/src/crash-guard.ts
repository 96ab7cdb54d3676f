/**
Finds requests that crash the targets that run them. Such a request comes again, under other ids and at other entries;
it is told by what it asks. One crash says little, as many requests run at a target that dies; a request that was running
at three targets when they died is refused.
*/

/** A request that was running when its target died. */
export type Crash = {readonly fingerprint: string; readonly targetId: string; readonly bornMs: number};

/** Targets that died under a request before it is refused. */
const maxCrashes = 3;

/** Requests that are remembered. */
const maxSuspects = 5000;

/** Crashes seen by all entries. */
export class CrashGuard {
	readonly #targets = new Map<string, Set<string>>();

	/** Counts a crash; the same target's death counts once. */
	recordCrash({fingerprint, targetId, bornMs}: Crash): void {
		const targets = this.#targets.get(fingerprint) ?? new Set();
		targets.add(`${targetId} ${bornMs}`);
		this.#targets.delete(fingerprint);
		this.#targets.set(fingerprint, targets);
		if (this.#targets.size > maxSuspects) {
			this.#targets.delete(this.#targets.keys().next().value!);
		}
	}

	/** Whether the request was running at too many targets that died. */
	isRefused(fingerprint: string): boolean {
		return (this.#targets.get(fingerprint)?.size ?? 0) >= maxCrashes;
	}
}
