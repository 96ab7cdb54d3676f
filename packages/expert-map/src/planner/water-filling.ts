/**
Water-filling: computes the common time (the level) at which ranks with existing loads finish when a further load is
distributed over them. Ranks that finish later than this anyway receive nothing. An instance is reused, because a plan
computes millions of levels.
*/

/** Collects ranks and computes their level. */
export class WaterFilling {
	readonly #loads: Float64Array;
	readonly #speeds: Float64Array;
	#count = 0;

	constructor(capacity: number) {
		this.#loads = new Float64Array(capacity);
		this.#speeds = new Float64Array(capacity);
	}

	/** Removes all ranks. */
	clear(): void {
		this.#count = 0;
	}

	add(load: number, speed: number): void {
		this.#loads[this.#count] = load;
		this.#speeds[this.#count] = speed;
		this.#count++;
	}

	/** The level after `amount` is distributed over the ranks. Removes the ranks that receive nothing. */
	level(amount: number): number {
		let level = this.#meanLevel(amount);
		while (this.#removeAbove(level)) {
			level = this.#meanLevel(amount);
		}

		return level;
	}

	#meanLevel(amount: number): number {
		let load = amount;
		let speed = 0;
		for (let index = 0; index < this.#count; index++) {
			load += this.#loads[index];
			speed += this.#speeds[index];
		}

		return speed === 0 ? Number.POSITIVE_INFINITY : load / speed;
	}

	#removeAbove(level: number): boolean {
		const before = this.#count;
		for (let index = this.#count - 1; index >= 0; index--) {
			if (this.#loads[index] > level * this.#speeds[index] * (1 + Number.EPSILON)) {
				this.#count--;
				this.#loads[index] = this.#loads[this.#count];
				this.#speeds[index] = this.#speeds[this.#count];
			}
		}

		return this.#count < before;
	}
}
