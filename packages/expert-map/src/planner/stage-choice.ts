/**
Chooses how much of a plan is copied before the first switch. A rank copies one expert after another, and the old map stays in use
until the last copy has arrived: many copies in one switch lower the peak further but later. The choice minimises the computation time of
the steps over the time for which the demand is expected to last, for a first switch and one that completes the plan.
*/

import {copySlowdown} from '@rattanspring/types';

/** A state that a plan can reach. */
export type PlanLevel = {
	/** Longest time of a rank over the mean time, averaged over the sets. */
	readonly skew: number;
	/** Largest number of experts that one rank has to copy. */
	readonly copiesPerRank: number;
	/** Number of experts that all ranks have to copy. */
	readonly copies: number;
};

/** What a switch and its copies cost. */
export type StageCosts = {
	/** Time that a rank takes to copy one expert. */
	readonly copyMs: number;
	/** Time of a switch in addition to its copies. */
	readonly switchMs: number;
	/** Time for which the demand is expected to stay as it is. */
	readonly horizonMs: number;
	/** Duration of a step, relative to one without experts, at a skew of 0. */
	readonly fixedStepTime: number;
	/** Additional duration of a step for each unit of skew. */
	readonly stepTimePerSkew: number;
};

/** Index of the level that the first switch should reach; 0 if staying at the first level is best. The first level is the present state. A copy has to lower the skew by `skewPerCopy`. */
export function chooseFirstLevel(levels: readonly PlanLevel[], costs: StageCosts, skewPerCopy: number): number {
	let best = {index: 0, cost: costOf([levels[0]], costs, skewPerCopy)};
	for (let index = 1; index < levels.length; index++) {
		for (let last = index; last < levels.length; last++) {
			const path = last === index ? [levels[0], levels[index]] : [levels[0], levels[index], levels[last]];
			const cost = costOf(path, costs, skewPerCopy);
			best = cost < best.cost ? {index, cost} : best;
		}
	}

	return best.index;
}

/** Time lost to steps over the horizon if the levels are reached one after another. */
function costOf(path: readonly PlanLevel[], costs: StageCosts, skewPerCopy: number): number {
	let leftMs = costs.horizonMs;
	let cost = 0;
	for (const [index, next] of path.slice(1).entries()) {
		const current = path[index];
		const copyingMs = Math.min(leftMs, (next.copiesPerRank - current.copiesPerRank) * costs.copyMs);
		const switchingMs = Math.min(leftMs - copyingMs, costs.switchMs);
		cost += stepTimeAt(current, costs) * ((copyingMs * copySlowdown) + switchingMs);
		leftMs -= copyingMs + switchingMs;
	}

	const last = path.at(-1)!;
	return cost + (stepTimeAt(last, costs) * leftMs) + (last.copies * skewPerCopy * costs.stepTimePerSkew * costs.horizonMs);
}

function stepTimeAt({skew}: PlanLevel, {fixedStepTime, stepTimePerSkew}: StageCosts): number {
	return fixedStepTime + (stepTimePerSkew * skew);
}
