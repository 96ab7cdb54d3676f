/**
Mutable placement of the experts of one set on ranks, where the ranks that hold an expert share its tokens evenly. Loads are
relative to the mean load of a rank.
*/

/** A change of the experts that a rank holds. */
export type PlacementChange = {
	readonly to: number;
	/** Expert that the rank receives. */
	readonly add?: number;
	/** Expert that the rank gives up. */
	readonly drop?: number;
	/** Rank that takes over the expert `drop` and gives up its replica of `add`. */
	readonly from?: number;
};

/** Input of a placement. */
export type EvenSharePlacementOptions = {
	/** Experts of each rank. */
	readonly current: ReadonlyArray<readonly number[]>;
	/** Tokens routed to each expert. */
	readonly tokens: readonly number[];
	/** Time that each rank takes per token, relative to the published time. */
	readonly paces: readonly number[];
};

/** Placement of one set. */
export class EvenSharePlacement {
	readonly lists: number[][];
	/** Ranks that hold each expert. */
	readonly holders: number[][];
	readonly #loads: Float64Array;
	readonly #paces: readonly number[];
	readonly #tokens: readonly number[];
	readonly #held: Uint8Array;
	readonly #heldFirst: Uint8Array;
	readonly #newCounts: number[];

	constructor({current, tokens, paces}: EvenSharePlacementOptions) {
		const mean = Math.max(1e-9, tokens.reduce((sum, count) => sum + count, 0) / current.length);
		this.#tokens = tokens.map(count => count / mean);
		this.#paces = paces;
		this.lists = current.map(experts => [...experts]);
		this.holders = tokens.map(() => []);
		this.#held = new Uint8Array(current.length * tokens.length);
		for (const [rank, experts] of current.entries()) {
			for (const expert of experts) {
				this.holders[expert].push(rank);
				this.#held[this.#placeOf(rank, expert)] = 1;
			}
		}

		this.#heldFirst = Uint8Array.from(this.#held);
		this.#newCounts = current.map(() => 0);
		this.#loads = Float64Array.from(current, experts => experts.reduce((sum, expert) => sum + this.share(expert), 0));
	}

	get rankCount(): number {
		return this.lists.length;
	}

	/** Time of the slowest rank, relative to the mean at the published pace. */
	get skew(): number {
		return this.time(this.slowestRank);
	}

	get slowestRank(): number {
		let slowest = 0;
		for (let rank = 1; rank < this.lists.length; rank++) {
			if (this.time(rank) > this.time(slowest)) {
				slowest = rank;
			}
		}

		return slowest;
	}

	/** Replicas on ranks that did not hold the expert at first. */
	get copies(): number {
		return this.#newCounts.reduce((sum, count) => sum + count, 0);
	}

	/** Time of a rank, with an additional load if one is given. */
	time(rank: number, additional = 0): number {
		return (this.#loads[rank] + additional) * this.#paces[rank];
	}

	/** Load of one replica of an expert, by default with its present number of replicas. */
	share(expert: number, replicas: number = this.holders[expert].length): number {
		return this.#tokens[expert] / replicas;
	}

	holds(rank: number, expert: number): boolean {
		return this.#held[this.#placeOf(rank, expert)] === 1;
	}

	/** Whether a rank did not hold the expert at first, so that it has to receive a copy. */
	isNew(rank: number, expert: number): boolean {
		return this.#heldFirst[this.#placeOf(rank, expert)] === 0;
	}

	/** Number of experts that are new on a rank. */
	newCount(rank: number): number {
		return this.#newCounts[rank];
	}

	apply({to, add, drop, from}: PlacementChange): void {
		if (drop !== undefined) {
			this.#remove(to, drop);
		}

		if (from !== undefined && add !== undefined && drop !== undefined) {
			this.#remove(from, add);
			this.#insert(from, drop);
		}

		if (add !== undefined) {
			this.#insert(to, add);
		}
	}

	#insert(rank: number, expert: number): void {
		this.lists[rank].push(expert);
		this.#setHolders(expert, [...this.holders[expert], rank]);
		this.#held[this.#placeOf(rank, expert)] = 1;
		this.#newCounts[rank] += this.isNew(rank, expert) ? 1 : 0;
	}

	#remove(rank: number, expert: number): void {
		const list = this.lists[rank];
		list.splice(list.indexOf(expert), 1);
		this.#setHolders(expert, this.holders[expert].filter(holder => holder !== rank));
		this.#held[this.#placeOf(rank, expert)] = 0;
		this.#newCounts[rank] -= this.isNew(rank, expert) ? 1 : 0;
	}

	#setHolders(expert: number, holders: number[]): void {
		for (const rank of this.holders[expert]) {
			this.#loads[rank] -= this.share(expert);
		}

		this.holders[expert] = holders;
		for (const rank of holders) {
			this.#loads[rank] += this.share(expert);
		}
	}

	#placeOf(rank: number, expert: number): number {
		return (rank * this.#tokens.length) + expert;
	}
}
