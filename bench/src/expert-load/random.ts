/** Random distributions over one seeded generator. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Mean above which a Poisson draw is approximated by the normal distribution. */
const normalFromMean = 30;

/** Seeded random source. */
export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** A number uniformly from [0, 1). */
	uniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** An integer from `minimum` to `maximum`, both inclusive. */
	integer(minimum: number, maximum: number): number {
		return uniformInt(this.#generator, minimum, maximum);
	}

	/** A draw from the standard normal distribution. */
	normal(): number {
		return Math.sqrt(-2 * Math.log(1 - this.uniform())) * Math.cos(2 * Math.PI * this.uniform());
	}

	/** A draw from the Poisson distribution. */
	poisson(mean: number): number {
		if (mean > normalFromMean) {
			return Math.max(0, Math.round(mean + (Math.sqrt(mean) * this.normal())));
		}

		const limit = Math.exp(-mean);
		let count = 0;
		for (let product = this.uniform(); product > limit; product *= this.uniform()) {
			count++;
		}

		return count;
	}

	/** The integers below `length` in random order. */
	permutation(length: number): number[] {
		const order = Array.from({length}, (_, index) => index);
		for (let index = length - 1; index > 0; index--) {
			const other = this.integer(0, index);
			[order[index], order[other]] = [order[other], order[index]];
		}

		return order;
	}
}
