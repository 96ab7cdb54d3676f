/**
Seeded open-loop workloads: requests arrive as a Poisson process and do not wait for earlier answers.
*/

import {createHash} from 'node:crypto';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number uniformly from [0, 1). */
export type Random = () => number;

/** Creates a random source from a seed. Hashing the seed keeps the sequences of adjacent seeds uncorrelated. */
export function seededRandom(seed: number): Random {
	const generator = xoroshiro128plus(createHash('sha256').update(String(seed)).digest().readInt32LE());
	return () => uniformFloat64(generator);
}

/** One request of a workload. */
export type LoadRequest = {
	/** Send time, relative to the start of the workload. */
	readonly atMs: number;
	readonly clientAccount: string;
	/** Unique within the workload, so that the engine runs of this request can be counted. */
	readonly prompt: string;
	readonly maxTokens: number;
	readonly deadlineMs: number;
};

/** Load that one client account offers. */
export type AccountLoad = {
	readonly clientAccount: string;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly deadlineMs: number;
	/** Returns the prompt and token limit of the n-th request. */
	readonly shape: (number: number) => {readonly prompt: string; readonly maxTokens: number};
};

/** Generates the requests of one account, with arrival times of a Poisson process. */
export function poissonRequests(load: AccountLoad, random: Random): LoadRequest[] {
	const requests: LoadRequest[] = [];
	let atMs = 0;
	for (let number = 0; ; number++) {
		atMs += -Math.log(1 - random()) * 1000 / load.requestsPerSecond;
		if (atMs > load.durationMs) {
			return requests;
		}

		requests.push({
			atMs, clientAccount: load.clientAccount, deadlineMs: load.deadlineMs, ...load.shape(number),
		});
	}
}

/** Draws an index from 0 to `count` - 1 with a Zipf distribution: index i has the weight 1 / (i + 1). */
export function skewedIndex(count: number, random: Random): number {
	const weights = Array.from({length: count}, (_, index) => 1 / (index + 1));
	let remainingWeight = random() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, weight] of weights.entries()) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return index;
		}
	}

	return count - 1;
}
