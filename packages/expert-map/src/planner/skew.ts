/** Step-time skew of one layer: the slowest rank's time over the mean time. */

import type {LayerMap, RankProfile} from '../expert-map.js';

/** Time of each rank for the given tokens per expert, in units of a nominal rank's time per token. */
export function rankTimes(layer: LayerMap, tokens: ArrayLike<number>, ranks: readonly RankProfile[]): Float64Array {
	const times = new Float64Array(ranks.length);
	for (const {expert, rank, share} of layer.replicas) {
		times[rank] += share * tokens[expert] / ranks[rank].speed;
	}

	return times;
}

/** Slowest rank's time over the mean time; 1 is perfectly balanced. */
export function skewOf(times: Float64Array): number {
	let slowest = 0;
	let total = 0;
	for (const time of times) {
		slowest = Math.max(slowest, time);
		total += time;
	}

	return total === 0 ? 1 : slowest * times.length / total;
}

/** A lower bound for the skew of any placement: the hottest expert's load per replica with as many replicas as possible, over the mean. */
export function skewLowerBound(tokens: Float64Array, ranks: readonly RankProfile[]): number {
	let slots = 0;
	let speed = 0;
	for (const rank of ranks) {
		slots += rank.slotsPerLayer;
		speed += rank.speed;
	}

	let hottest = 0;
	let total = 0;
	for (const token of tokens) {
		hottest = Math.max(hottest, token);
		total += token;
	}

	const replicas = Math.min(ranks.length, slots - tokens.length + 1);
	const fastest = Math.max(...ranks.map(rank => rank.speed));
	return total === 0 ? 1 : Math.max(1, (hottest / (replicas * fastest)) / (total / speed));
}
