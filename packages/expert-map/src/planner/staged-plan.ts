/**
Plans the next switch of a map towards an even one. The copies of all sets share the links of the ranks, so the change with the largest
gain per copy is applied first, whatever its set, and no rank copies more than the others need to. The number of copies that
are made before the switch follows from what they and the switch cost.
*/

import {
	defaultGoalSkew, type EvenSharePlan, type EvenSharePlanInput, type RankLists,
} from './even-share.js';
import {SetSearch} from './set-search.js';
import {chooseFirstLevel, type PlanLevel, type StageCosts} from './stage-choice.js';

/** Input of a staged plan. */
export type StagedPlanInput = EvenSharePlanInput & {readonly costs: StageCosts};

/** The plan of the next switch. */
export type StagedPlan = EvenSharePlan & {
	/** Largest number of experts that one rank has to copy for it. */
	readonly copiesPerRank: number;
	/** Peak over mean that further switches can reach under the same demand, as far as the plan looked ahead. */
	readonly reachableSkew: number;
};

/** A level, and for each set the number of changes that lead to it. */
type Level = PlanLevel & {readonly changeCounts: readonly number[]};

/** Number of levels beyond the chosen one after which no further ones are computed: levels that are still later hardly change the choice. */
const levelsBeyondChoice = 3;

/** Computes a plan; the caller may pause it at every `yield`. */
export function * planStage(input: StagedPlanInput): Generator<undefined, StagedPlan> {
	const search = new StageSearch(input);
	const mostCopies = mostCopiesPerRank(input);
	const skewPerCopy = input.minGainPerCopy / Math.max(1, input.current.length * input.current[0].length);
	const levels = [search.level()];
	let chosen = 0;
	for (let copiesPerRank = 0; copiesPerRank <= mostCopies && !search.isEven && levels.length - chosen <= levelsBeyondChoice; copiesPerRank++) {
		yield * search.improve(copiesPerRank);
		const level = search.level();
		if (level.skew < levels.at(-1)!.skew) {
			levels.push(level);
			chosen = chooseFirstLevel(levels, input.costs, skewPerCopy);
		}
	}

	const {changeCounts, skew, copies, copiesPerRank} = levels[chosen];
	return {
		lists: search.listsAfter(changeCounts), skewBefore: levels[0].skew, skewAfter: skew, copies, copiesPerRank, reachableSkew: levels.at(-1)!.skew,
	};
}

/** A rank copies no more than the engine accepts, and nothing that would arrive after the horizon. */
function mostCopiesPerRank({newPerRank, current, costs: {copyMs, horizonMs}}: StagedPlanInput): number {
	return Math.min(newPerRank * current.length, Math.ceil(horizonMs / Math.max(1, copyMs)));
}

/** The searches of all sets, which share the number of copies that a rank may make. */
class StageSearch {
	readonly #sets: SetSearch[];
	#copiesPerRank = 0;
	/** Number of experts that each rank has to copy, over all sets. */
	#copies: number[] = [];

	constructor(input: StagedPlanInput) {
		this.#sets = input.current.map((current, set) => new SetSearch({
			current,
			tokens: input.loads[set],
			paces: current.map((_, rank) => input.rankPaces?.[rank] ?? 1),
			goalSkew: input.goalSkew ?? defaultGoalSkew,
			costPerCopy: input.minGainPerCopy / current.length,
			limits: {
				placesPerRank: input.placesPerRank,
				newPerRank: input.newPerRank,
				mayCopy: (rank, copies) => this.#copies[rank] + copies <= this.#copiesPerRank,
			},
		}));
		this.#countCopies();
	}

	/** Whether every set is even. */
	get isEven(): boolean {
		return this.#sets.every(set => set.isEven);
	}

	/** Applies changes, those with the largest gain per copy first, as long as no rank has to copy more experts than given. */
	* improve(copiesPerRank: number): Generator<undefined, void> {
		this.#copiesPerRank = copiesPerRank;
		for (const set of this.#sets) {
			set.search();
			yield;
		}

		for (let set = this.#mostUrgent; set; set = this.#mostUrgent) {
			set.applyNext();
			this.#countCopies();
			set.search();
			yield;
		}
	}

	/** The best state reached so far, set by set. */
	level(): Level {
		const perRank = this.#sets[0]?.best.newPerRank.map((_, rank) => this.#sets.reduce((sum, {best}) => sum + best.newPerRank[rank], 0)) ?? [];
		return {
			changeCounts: this.#sets.map(({best}) => best.changeCount),
			skew: this.#sets.reduce((sum, {best}) => sum + best.skew, 0) / Math.max(1, this.#sets.length),
			copies: perRank.reduce((sum, copies) => sum + copies, 0),
			copiesPerRank: Math.max(0, ...perRank),
		};
	}

	/** The lists of the ranks, by set, after a number of changes of each set. */
	listsAfter(changeCounts: readonly number[]): RankLists {
		return this.#sets.map((set, index) => set.listsAfter(changeCounts[index]));
	}

	/**
	The set whose next change gains most per copy. A change that the copies of other sets have made impossible is replaced only once it is the best: its
	replacement can't gain more.
	*/
	get #mostUrgent(): SetSearch | undefined {
		for (;;) {
			let best: SetSearch | undefined;
			for (const set of this.#sets) {
				best = gainOf(set) > gainOf(best) ? set : best;
			}

			if (!best || best.isNextAllowed) {
				return best;
			}

			best.search();
		}
	}

	#countCopies(): void {
		const [first] = this.#sets;
		this.#copies = first?.placement.lists.map((_, rank) => this.#sets.reduce((sum, {placement}) => sum + placement.newCount(rank), 0)) ?? [];
	}
}

function gainOf(set: SetSearch | undefined): number {
	return set?.next?.gainPerCopy ?? 0;
}
