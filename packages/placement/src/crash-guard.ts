/**
Finds requests that crash the targets that run them. Such a request is sent again under other ids and at other entries, so it is
identified by a fingerprint of its content. A single crash says little, as many requests run at a target that crashes; a request that was
running at three targets when they crashed is refused.
*/

/** A request that was running when its target crashed. */
export type Crash = {readonly fingerprint: string; readonly targetId: string; readonly bornMs: number};

/** Number of target crashes after which a request is refused. */
const maxCrashes = 3;

/** Maximum number of fingerprints kept; the one with the oldest crash is evicted first. */
const maxFingerprints = 5000;

/** Crashes reported by all entries. */
export class CrashGuard {
	readonly #targets = new Map<string, Set<string>>();

	/** Records a crash; several reports of the same crash of a target count once. */
	recordCrash({fingerprint, targetId, bornMs}: Crash): void {
		const targets = this.#targets.get(fingerprint) ?? new Set();
		targets.add(`${targetId} ${bornMs}`);
		this.#targets.delete(fingerprint);
		this.#targets.set(fingerprint, targets);
		if (this.#targets.size > maxFingerprints) {
			this.#targets.delete(this.#targets.keys().next().value!);
		}
	}

	/** Whether the request was running at too many targets that crashed. */
	isRefused(fingerprint: string): boolean {
		return (this.#targets.get(fingerprint)?.size ?? 0) >= maxCrashes;
	}
}
