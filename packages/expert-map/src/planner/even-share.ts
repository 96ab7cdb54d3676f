/**
Plans a map for engines that split each expert's tokens evenly among the ranks that hold it. The plan balances time rather
than tokens, because a slow rank takes longer for the same tokens. Starting from the map in use, it repeatedly applies the
change with the largest gain in balance per copied expert, as long as the gain justifies the copies.
*/

import {EvenSharePlacement} from './even-share-placement.js';
import {EvenShareSearch} from './even-share-search.js';

/** Experts of each rank, by set and rank. */
export type RankLists = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** Input of a plan. */
export type EvenSharePlanInput = {
	readonly current: RankLists;
	/** Tokens routed to each expert, by set. */
	readonly loads: ReadonlyArray<readonly number[]>;
	/** Number of experts of a set that a rank can hold. */
	readonly placesPerRank: number;
	/** Largest number of experts of a set that a rank may receive in one plan. */
	readonly newPerRank: number;
	/** Time that each rank takes per token, relative to the published time; 1 for all by default. */
	readonly rankPaces?: readonly number[];
	/** Smallest decrease of a set's peak load, as a share of its mean load, that justifies one copy. */
	readonly minGainPerCopy: number;
};

/** A planned map and its effect. */
export type EvenSharePlan = {
	readonly lists: RankLists;
	/** Longest time of a rank over the mean time at the published pace, averaged over the sets. */
	readonly skewBefore: number;
	readonly skewAfter: number;
	readonly copies: number;
};

/** Computes a plan; the caller may pause it at every `yield`. */
export function * planEvenShares(input: EvenSharePlanInput): Generator<undefined, EvenSharePlan> {
	const lists: number[][][] = [];
	let before = 0;
	let after = 0;
	let copies = 0;
	for (const [set, current] of input.current.entries()) {
		const placement = new EvenSharePlacement({current, tokens: input.loads[set], paces: current.map((_, rank) => input.rankPaces?.[rank] ?? 1)});
		before += placement.skew;
		yield * balance(placement, input);
		after += placement.skew;
		copies += placement.copies;
		lists.push(placement.lists);
	}

	const sets = Math.max(1, input.current.length);
	return {
		lists, skewBefore: before / sets, skewAfter: after / sets, copies,
	};
}

/** Peak load over mean load of the ranks, averaged over the sets. */
export function evenShareSkew(lists: RankLists, loads: ReadonlyArray<readonly number[]>): number {
	const skews = lists.map((ranks, set) => peakOverMean(rankLoads(ranks, loads[set])));
	return skews.reduce((sum, skew) => sum + skew, 0) / Math.max(1, skews.length);
}

/** Applies changes to a placement while their gain per copy is large enough. */
function * balance(placement: EvenSharePlacement, input: EvenSharePlanInput): Generator<undefined, void> {
	const search = new EvenShareSearch(placement, input);
	for (;;) {
		const best = search.bestChange();
		if (!best || best.gainPerCopy <= input.minGainPerCopy) {
			return;
		}

		placement.apply(best.change);
		yield;
	}
}

function rankLoads(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[]): number[] {
	const holders = loads.map((_, expert) => ranks.filter(experts => experts.includes(expert)).length);
	return ranks.map(experts => experts.reduce((sum, expert) => sum + (loads[expert] / holders[expert]), 0));
}

function peakOverMean(loads: readonly number[]): number {
	const total = loads.reduce((sum, load) => sum + load, 0);
	return total === 0 ? 1 : Math.max(...loads) * loads.length / total;
}
