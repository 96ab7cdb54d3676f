/** The search of one set within a staged plan: the next change, and the best state that was reached so far. */

import {EvenSharePlacement, type EvenSharePlacementOptions, type PlacementChange} from './even-share-placement.js';
import {EvenShareSearch, type PlaceLimits, type RatedChange} from './even-share-search.js';

/** Smallest decrease of the score that counts as progress. */
const minProgress = 1e-5;

/** Options of a search. */
export type SetSearchOptions = EvenSharePlacementOptions & {
	readonly limits: PlaceLimits;
	/** Peak over mean at which the set counts as even. */
	readonly goalSkew: number;
	/** Decrease of the peak over the mean that justifies one copy. */
	readonly costPerCopy: number;
};

/** A state of the set: its peak over mean, the number of experts that each rank has to copy, and the number of changes that lead to it. */
export type SetState = {readonly skew: number; readonly newPerRank: readonly number[]; readonly cost: number; readonly changeCount: number};

/** Searches one set. */
export class SetSearch {
	readonly placement: EvenSharePlacement;
	readonly #options: SetSearchOptions;
	readonly #search: EvenShareSearch;
	readonly #changes: PlacementChange[] = [];
	#next: RatedChange | undefined;
	#best: SetState;

	constructor(options: SetSearchOptions) {
		this.#options = options;
		this.placement = new EvenSharePlacement(options);
		this.#search = new EvenShareSearch(this.placement, options.limits);
		this.#best = this.#state();
	}

	/** The change found last; undefined if none is left. */
	get next(): RatedChange | undefined {
		return this.#next;
	}

	/** Whether the change found last is still within the limits. */
	get isNextAllowed(): boolean {
		return this.#next === undefined || this.#search.isAllowed(this.#next.change);
	}

	get isEven(): boolean {
		return this.placement.skew <= this.#options.goalSkew;
	}

	/** Whether an even placement with the copies made so far would be better than the best state. */
	get canStillGain(): boolean {
		const {goalSkew, costPerCopy} = this.#options;
		return goalSkew + (this.placement.copies * costPerCopy) < this.#best.cost;
	}

	/** The state with the lowest peak, copies included. A change is not judged on its own: the peak falls only once all ranks that are about equally slow are relieved. */
	get best(): SetState {
		return this.#best;
	}

	/** Finds the next change. */
	search(): void {
		const next = this.isEven ? undefined : this.#search.bestChange();
		this.#next = next && next.gainPerCopy >= minProgress ? next : undefined;
	}

	/** Applies the change found last. */
	applyNext(): void {
		this.#changes.push(this.#next!.change);
		this.placement.apply(this.#next!.change);
		const state = this.#state();
		this.#best = state.cost < this.#best.cost ? state : this.#best;
	}

	/** The lists of the ranks after a number of changes. */
	listsAfter(changeCount: number): number[][] {
		const placement = new EvenSharePlacement(this.#options);
		for (const change of this.#changes.slice(0, changeCount)) {
			placement.apply(change);
		}

		return placement.lists;
	}

	#state(): SetState {
		const {lists, skew, copies} = this.placement;
		return {
			skew,
			newPerRank: lists.map((_, rank) => this.placement.newCount(rank)),
			cost: skew + (copies * this.#options.costPerCopy),
			changeCount: this.#changes.length,
		};
	}
}
