/**
Plans a map for engines that split each expert's tokens evenly among the ranks that hold it. The plan balances time rather
than tokens, because a slow rank takes longer for the same tokens. Starting from the map in use, it repeatedly applies the
change with the largest gain in balance per copied expert, as long as the gain justifies the copies.
*/

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

/** Exponent of the imbalance score. A high one makes the most loaded ranks dominate, but still rewards relieving the next ones. */
const peakExponent = 8;

type Change = {readonly to: number; readonly add: number; readonly drop?: number; readonly from?: number};

/** Computes a plan; the caller may pause it at every `yield`. */
export function * planEvenShares(input: EvenSharePlanInput): Generator<undefined, EvenSharePlan> {
	const lists: number[][][] = [];
	let before = 0;
	let after = 0;
	let copies = 0;
	for (const [set, current] of input.current.entries()) {
		const placement = new SetPlacement(current, input.loads[set], input);
		before += placement.skew;
		while (placement.improve()) {
			yield;
		}

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

/** Mutable placement of one set. */
class SetPlacement {
	readonly lists: number[][];
	copies = 0;
	readonly #loads: readonly number[];
	readonly #input: EvenSharePlanInput;
	readonly #original: ReadonlyArray<ReadonlySet<number>>;
	readonly #holderCounts: number[];
	readonly #rankLoads: number[];
	readonly #paces: readonly number[];
	readonly #mean: number;

	constructor(current: ReadonlyArray<readonly number[]>, loads: readonly number[], input: EvenSharePlanInput) {
		this.lists = current.map(experts => [...experts]);
		this.#loads = loads;
		this.#input = input;
		this.#original = current.map(experts => new Set(experts));
		this.#holderCounts = loads.map((_, expert) => current.filter(experts => experts.includes(expert)).length);
		this.#rankLoads = rankLoads(this.lists, loads);
		this.#paces = current.map((_, rank) => input.rankPaces?.[rank] ?? 1);
		this.#mean = Math.max(1e-9, loads.reduce((sum, load) => sum + load, 0) / current.length);
	}

	get skew(): number {
		return Math.max(...this.#times(this.#rankLoads)) / this.#mean;
	}

	/** Applies the best change that relieves the slowest rank; false if no gain is large enough. */
	improve(): boolean {
		const times = this.#times(this.#rankLoads);
		const peak = times.indexOf(Math.max(...times));
		const score = this.#score(this.#rankLoads);
		let best: Change | undefined;
		let bestGain = this.#input.minGainPerCopy;
		for (const change of this.#changes(peak)) {
			const newCopies = this.#newCopies(change);
			const gain = (score - this.#score(this.#loadsAfter(change))) / Math.max(1, newCopies);
			if (gain > bestGain) {
				best = change;
				bestGain = gain;
			}
		}

		if (!best) {
			return false;
		}

		this.#applyChange(best);
		return true;
	}

	/** Yields ways to copy an expert of the slowest rank to another rank: into a free place, over a redundant replica, or in exchange for an expert. */
	* #changes(peak: number): Generator<Change> {
		const {placesPerRank} = this.#input;
		for (const add of this.lists[peak]) {
			for (const [to, experts] of this.lists.entries()) {
				if (to === peak || experts.includes(add) || !this.#canAdd(to, add)) {
					continue;
				}

				if (experts.length < placesPerRank) {
					yield {to, add};
				}

				for (const drop of experts) {
					if (this.#holderCounts[drop] > 1) {
						yield {to, add, drop};
					} else if (!this.lists[peak].includes(drop) && this.#canAdd(peak, drop)) {
						yield {
							to, add, drop, from: peak,
						};
					}
				}
			}
		}
	}

	#canAdd(rank: number, expert: number): boolean {
		const original = this.#original[rank];
		return original.has(expert) || this.lists[rank].filter(held => !original.has(held)).length < this.#input.newPerRank;
	}

	#newCopies({to, add, drop, from}: Change): number {
		const added = this.#original[to].has(add) ? 0 : 1;
		const exchanged = from === undefined || drop === undefined || this.#original[from].has(drop) ? 0 : 1;
		return added + exchanged;
	}

	#loadsAfter(change: Change): number[] {
		const loads = [...this.#rankLoads];
		const {to, add, drop, from} = change;
		if (from !== undefined && drop !== undefined) {
			const addShare = this.#loads[add] / this.#holderCounts[add];
			const dropShare = this.#loads[drop];
			loads[from] += dropShare - addShare;
			loads[to] += addShare - dropShare;
			return loads;
		}

		this.#updateHolderLoads(loads, add, this.#holderCounts[add], this.#holderCounts[add] + 1);
		loads[to] += this.#loads[add] / (this.#holderCounts[add] + 1);
		if (drop !== undefined) {
			loads[to] -= this.#loads[drop] / this.#holderCounts[drop];
			this.#updateHolderLoads(loads, drop, this.#holderCounts[drop], this.#holderCounts[drop] - 1, to);
		}

		return loads;
	}

	/** Adjusts the loads of an expert's holders when their number changes. */
	#updateHolderLoads(loads: number[], expert: number, before: number, after: number, except?: number): void {
		const difference = this.#loads[expert] * ((1 / after) - (1 / before));
		for (const [rank, experts] of this.lists.entries()) {
			if (rank !== except && experts.includes(expert)) {
				loads[rank] += difference;
			}
		}
	}

	#applyChange(change: Change): void {
		const after = this.#loadsAfter(change);
		this.copies += this.#newCopies(change);
		const {to, add, drop, from} = change;
		if (from !== undefined && drop !== undefined) {
			replace(this.lists[to], drop, add);
			replace(this.lists[from], add, drop);
		} else {
			if (drop !== undefined) {
				this.lists[to].splice(this.lists[to].indexOf(drop), 1);
				this.#holderCounts[drop]--;
			}

			this.lists[to].push(add);
			this.#holderCounts[add]++;
		}

		for (const [rank, load] of after.entries()) {
			this.#rankLoads[rank] = load;
		}
	}

	#times(loads: readonly number[]): number[] {
		return loads.map((load, rank) => load * this.#paces[rank]);
	}

	#score(loads: readonly number[]): number {
		const sum = this.#times(loads).reduce((total, time) => total + ((time / this.#mean) ** peakExponent), 0);
		return (sum / loads.length) ** (1 / peakExponent);
	}
}

function replace(list: number[], old: number, next: number): void {
	list[list.indexOf(old)] = next;
}

function rankLoads(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[]): number[] {
	const holders = loads.map((_, expert) => ranks.filter(experts => experts.includes(expert)).length);
	return ranks.map(experts => experts.reduce((sum, expert) => sum + (loads[expert] / holders[expert]), 0));
}

function peakOverMean(loads: readonly number[]): number {
	const total = loads.reduce((sum, load) => sum + load, 0);
	return total === 0 ? 1 : Math.max(...loads) * loads.length / total;
}
