/** Allocates versions of expert maps from the wall clock, so that an agent that restarted without its state does not allocate one twice. */

/** Versions count units of time since 1 January 2026. */
const epochMs = 1_767_225_600_000;
const versionUnitMs = 100;

/** Allocates increasing versions. */
export class MapVersionAllocator {
	readonly #wallMs: () => number;
	#last = 0;

	constructor(wallMs: () => number) {
		this.#wallMs = wallMs;
	}

	/** A version greater than all versions allocated or observed here. */
	next(): number {
		this.#last = Math.max(this.#last + 1, Math.floor((this.#wallMs() - epochMs) / versionUnitMs));
		return this.#last;
	}

	/** Records a version that is in use in the fleet. */
	observe(version: number | undefined): void {
		this.#last = Math.max(this.#last, version ?? 0);
	}
}
