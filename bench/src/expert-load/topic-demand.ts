/**
Generates seeded demand for experts that moves in steps: every set of layers has a common popularity of experts, on which a mix
of topics is laid, and a step replaces the topics or the whole demand. Popularities follow Zipf's law.
*/

import {Random} from './random.js';

/** Shape of a group whose ranks split each expert's tokens evenly. */
export type EvenShareShape = {
	readonly ranks: number;
	readonly sets: number;
	readonly experts: number;
	readonly placesPerRank: number;
	readonly newPerRank: number;
};

/** What a step of demand replaces. */
export type DemandStep = 'topics' | 'everything';

/** Number of topics, Zipf exponent of experts and topics, and share of the demand that does not depend on the topics. */
const topicCount = 9;
const zipfExponent = 0.8;
const commonShare = 0.65;

/** The demand of one group. */
export class TopicDemand {
	readonly #random: Random;
	readonly #shape: EvenShareShape;
	#common: number[][];

	constructor(seed: number, shape: EvenShareShape) {
		this.#random = new Random(seed);
		this.#shape = shape;
		this.#common = this.#popularities(shape.sets);
	}

	/** The demand after a step: share of each expert in its set's tokens. */
	next(step: DemandStep): number[][] {
		if (step === 'everything') {
			this.#common = this.#popularities(this.#shape.sets);
		}

		const weights = zipfShares(topicCount);
		return this.#common.map(common => {
			const topics = this.#popularities(topicCount);
			return common.map((share, expert) => (commonShare * share) + ((1 - commonShare) * weightedSum(topics, weights, expert)));
		});
	}

	#popularities(count: number): number[][] {
		const shares = zipfShares(this.#shape.experts);
		return Array.from({length: count}, () => this.#random.permutation(this.#shape.experts).map(place => shares[place]));
	}
}

/** The map in which every expert has one replica and the ranks take experts in turn. */
export function roundRobinLists({ranks, sets, experts}: EvenShareShape): number[][][] {
	const perRank = Math.ceil(experts / ranks);
	return Array.from({length: sets}, () => Array.from({length: ranks}, (_, rank) =>
		Array.from({length: perRank}, (__, place) => (place * ranks) + rank).filter(expert => expert < experts)));
}

/**
Lower bound of the skew of any map of a set: the ranks' mean, or the largest share of an expert's tokens that one replica has to
take when the places are given to the experts with the most tokens per replica.
*/
export function skewLowerBound(loads: readonly number[], {ranks, placesPerRank}: EvenShareShape): number {
	const counts = loads.map(() => 1);
	const perReplica = [...loads];
	for (let spare = (ranks * placesPerRank) - loads.length; spare > 0; spare--) {
		const hottest = perReplica.indexOf(Math.max(...perReplica));
		counts[hottest] = Math.min(ranks, counts[hottest] + 1);
		perReplica[hottest] = loads[hottest] / counts[hottest];
	}

	const total = loads.reduce((sum, load) => sum + load, 0);
	return Math.max(1, Math.max(...perReplica) * ranks / total);
}

function zipfShares(length: number): number[] {
	const weights = Array.from({length}, (_, index) => (index + 1) ** -zipfExponent);
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map(weight => weight / total);
}

function weightedSum(topics: readonly number[][], weights: readonly number[], expert: number): number {
	return topics.reduce((sum, shares, topic) => sum + (weights[topic] * shares[expert]), 0);
}
