/** Versions of expert maps, taken from the wall clock, so that agents that forgot give none out twice. */

/** 1 January 2026, from which versions are counted, and their unit. */
const epochMs = 1_767_225_600_000;
const unitMs = 100;

/** Gives out rising versions. */
export class MapVersions {
	readonly #wallMs: () => number;
	#last = 0;

	constructor(wallMs: () => number) {
		this.#wallMs = wallMs;
	}

	/** A version above all that were given out or noted here. */
	next(): number {
		this.#last = Math.max(this.#last + 1, Math.floor((this.#wallMs() - epochMs) / unitMs));
		return this.#last;
	}

	/** Notes a version that is in use somewhere. */
	note(version: number | undefined): void {
		this.#last = Math.max(this.#last, version ?? 0);
	}
}
