/**
Allocates versions of expert maps from the wall clock, with a random part: an agent that restarted without its state, one whose clock went back, and two agents at once
do not allocate the same one. Ranks take a version that they have for the map that was sent under it first.
*/

import {randomInt} from 'node:crypto';

/** Versions count units of time since 1 January 2026. */
const epochMs = 1_767_225_600_000;
const versionUnitMs = 100;

/** Versions in a unit of time, or after the last one that is known, from which one is taken at random. */
const versionsPerUnit = 1000;

/** Allocates increasing versions. */
export class MapVersionAllocator {
	readonly #wallMs: () => number;
	readonly #randomBelow: (limit: number) => number;
	#last = 0;

	constructor(wallMs: () => number, randomBelow: (limit: number) => number = limit => randomInt(limit)) {
		this.#wallMs = wallMs;
		this.#randomBelow = randomBelow;
	}

	/** A version greater than all versions allocated or observed here. */
	next(): number {
		const lowest = Math.max(this.#last + 1, Math.floor((this.#wallMs() - epochMs) / versionUnitMs) * versionsPerUnit);
		this.#last = lowest + this.#randomBelow(versionsPerUnit);
		return this.#last;
	}

	/** Records a version that is in use in the fleet. */
	observe(version: number | undefined): void {
		this.#last = Math.max(this.#last, version ?? 0);
	}
}
