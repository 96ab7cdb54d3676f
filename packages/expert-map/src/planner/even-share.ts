/**
Plans a map for engines that split each expert's tokens evenly among the ranks that hold it. The plan balances time rather
than tokens, because a slow rank takes longer for the same tokens. Starting from the map in use, it repeatedly applies the
change with the largest gain in balance per copied expert, and keeps as many of the changes as justify their copies.
*/

import {SetSearch, type SetState} from './set-search.js';

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
	/**
	Smallest gain that justifies one copy: decrease of a set's peak load, as a share of its mean load, summed over the ranks. All
	ranks wait for the slowest one, while a copy occupies only the rank that receives it.
	*/
	readonly minGainPerCopy: number;
	/** Peak load of a set, as a multiple of its mean load, at which the set counts as even. */
	readonly goalSkew?: number;
};

/** A planned map and its effect. */
export type EvenSharePlan = {
	readonly lists: RankLists;
	/** Longest time of a rank over the mean time at the published pace, averaged over the sets. */
	readonly skewBefore: number;
	readonly skewAfter: number;
	readonly copies: number;
};

/** Peak over mean that is even enough: forecasts from short samples are no more precise. */
export const defaultGoalSkew = 1.05;

/** Computes a plan; the caller may pause it at every `yield`. */
export function * planEvenShares(input: EvenSharePlanInput): Generator<undefined, EvenSharePlan> {
	const lists: number[][][] = [];
	let before = 0;
	let after = 0;
	let copies = 0;
	for (const [set, current] of input.current.entries()) {
		const {placesPerRank, newPerRank} = input;
		const search = new SetSearch({
			current,
			tokens: input.loads[set],
			paces: current.map((_, rank) => input.rankPaces?.[rank] ?? 1),
			goalSkew: input.goalSkew ?? defaultGoalSkew,
			costPerCopy: input.minGainPerCopy / current.length,
			limits: {placesPerRank, newPerRank},
		});
		before += search.best.skew;
		const state = yield * balance(search);
		after += state.skew;
		copies += state.newPerRank.reduce((sum, count) => sum + count, 0);
		lists.push(search.listsAfter(state.changeCount));
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

/** Applies changes to the placement of a set as long as they can still pay for their copies, and returns the best state. */
function * balance(search: SetSearch): Generator<undefined, SetState> {
	search.search();
	while (search.next && search.canStillGain) {
		search.applyNext();
		search.search();
		yield;
	}

	return search.best;
}

function rankLoads(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[]): number[] {
	const holders = loads.map(() => 0);
	for (const expert of ranks.flat()) {
		holders[expert]++;
	}

	return ranks.map(experts => experts.reduce((sum, expert) => sum + (loads[expert] / holders[expert]), 0));
}

function peakOverMean(loads: readonly number[]): number {
	const total = loads.reduce((sum, load) => sum + load, 0);
	return total === 0 ? 1 : Math.max(...loads) * loads.length / total;
}
