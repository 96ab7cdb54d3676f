/**
Search for the change of a placement that balances it most per copied expert. The score of a placement is the root of the mean
8th power of the ranks' times. A change affects only the ranks that hold its experts, so that a candidate is judged by the
difference it makes to the sum of the powers.
*/

import type {EvenSharePlacement, PlacementChange} from './even-share-placement.js';

/** Limits of the places of a rank. */
export type PlaceLimits = {
	/** Number of experts of a set that a rank can hold. */
	readonly placesPerRank: number;
	/** Largest number of experts of a set that a rank may receive in one plan. */
	readonly newPerRank: number;
	/** Whether a rank may copy this many more experts; by default only the limit of the set applies. */
	readonly mayCopy?: (rank: number, copies: number) => boolean;
};

/** A change and the decrease of the score per copy that it causes. */
export type RatedChange = {readonly change: PlacementChange; readonly gainPerCopy: number};

type Candidate = {readonly change: PlacementChange; readonly difference: number};

/** Exponent of the score. A high one makes the slowest ranks dominate, but still rewards relieving the next ones. */
const exponent = 8;

/** Largest number of copies that one change needs: one for each rank that receives an expert. */
const maxCopies = 2;

/** Ranks that are tried first as receivers of an expert: this share of all, the fastest ones, and at least this many. The others are tried if none of these helps. */
const firstReceiverShare = 0.25;
const minFirstReceivers = 12;

/** Searches one placement. */
export class EvenShareSearch {
	readonly #placement: EvenSharePlacement;
	readonly #limits: PlaceLimits;
	/** The best candidate by number of copies; one that needs none counts as one. */
	#best: Array<Candidate | undefined> = [];
	/** Power of the time of each rank, before any candidate. */
	readonly #powers: Float64Array;
	/** Load of one replica of each expert, and the largest one of a redundant replica of each rank that was tried, before any candidate. */
	#shares: number[] = [];
	readonly #largestRedundantShares: number[] = [];

	constructor(placement: EvenSharePlacement, limits: PlaceLimits) {
		this.#placement = placement;
		this.#limits = limits;
		this.#powers = new Float64Array(placement.rankCount);
	}

	/**
	The best change that relieves the slowest rank: it gives up a redundant replica, or another rank receives one of its experts
	into a free place, over a redundant replica, or in exchange.
	*/
	bestChange(): RatedChange | undefined {
		const placement = this.#placement;
		const slowest = placement.slowestRank;
		this.#best = [];
		for (let rank = 0; rank < placement.rankCount; rank++) {
			this.#powers[rank] = power(placement.time(rank));
		}

		this.#shares = placement.holders.map((_, expert) => placement.share(expert));
		this.#tryDrops(slowest);
		const ranks = this.#otherRanksByTime(slowest);
		const firstCount = Math.max(minFirstReceivers, Math.ceil(placement.rankCount * firstReceiverShare));
		this.#tryReceivers(slowest, ranks.slice(0, firstCount));
		if (this.#best.every(candidate => candidate === undefined)) {
			this.#tryReceivers(slowest, ranks.slice(firstCount));
		}

		return this.#bestPerCopy();
	}

	/** Whether the ranks may still make the copies of a change that was found earlier. */
	isAllowed({to, add, drop, from}: PlacementChange): boolean {
		if (add === undefined) {
			return true;
		}

		const isGivingAllowed = from === undefined || drop === undefined || this.#canReceive(from, this.#copiesOf(from, drop, add));
		return isGivingAllowed && this.#canReceive(to, this.#copiesOf(to, add, drop));
	}

	/** All ranks but the slowest one, the fastest first. */
	#otherRanksByTime(slowest: number): number[] {
		return Array.from({length: this.#placement.rankCount}, (_, rank) => rank)
			.filter(rank => rank !== slowest)
			.toSorted((left, right) => this.#powers[left] - this.#powers[right]);
	}

	/** Tries changes in which one of the given ranks receives an expert of the slowest one. */
	#tryReceivers(slowest: number, receivers: readonly number[]): void {
		const placement = this.#placement;
		for (const rank of receivers) {
			this.#largestRedundantShares[rank] = this.#largestRedundantShare(placement.lists[rank]);
		}

		for (const add of placement.lists[slowest]) {
			const shared = {addDifference: this.#addDifference(add), share: placement.share(add, placement.holders[add].length + 1)};
			for (const to of receivers) {
				if (!placement.holds(to, add)) {
					this.#tryReplicas(add, to, shared);
					this.#tryExchanges(add, to, slowest);
				}
			}
		}
	}

	#tryDrops(rank: number): void {
		const placement = this.#placement;
		for (const drop of placement.lists[rank]) {
			if (placement.holders[drop].length > 1) {
				const difference = this.#dropDifference(rank, drop) + this.#difference(rank, -placement.share(drop));
				if (this.#isBest(difference, 1)) {
					this.#best[1] = {change: {to: rank, drop}, difference};
				}
			}
		}
	}

	#tryReplicas(add: number, to: number, {addDifference, share}: {readonly addDifference: number; readonly share: number}): void {
		const placement = this.#placement;
		const canReceive = this.#canReceive(to, placement.isNew(to, add) ? 1 : 0);
		if (canReceive && placement.lists[to].length < this.#limits.placesPerRank) {
			const difference = addDifference + this.#difference(to, share);
			if (this.#isBest(difference, 1)) {
				this.#best[1] = {change: {to, add}, difference};
			}
		}

		if (canReceive || placement.newCount(to) > 0) {
			this.#tryReplacements(add, to, {addDifference, share, canReceive});
		}
	}

	/**
	Replicas over redundant ones. The holders of the expert that is given up only get more load, so a change makes at least the difference of the other ranks: one that can't be
	the best by these is not computed.
	*/
	#tryReplacements(add: number, to: number, {addDifference, share, canReceive}: {readonly addDifference: number; readonly share: number; readonly canReceive: boolean}): void {
		const placement = this.#placement;
		if (!this.#isBest(addDifference + this.#difference(to, share - this.#largestRedundantShares[to]), 1)) {
			return;
		}

		for (const drop of placement.lists[to]) {
			if (placement.holders[drop].length > 1 && (canReceive || placement.isNew(to, drop))) {
				const ownDifference = this.#difference(to, share - this.#shares[drop]);
				if (!this.#isBest(addDifference + ownDifference, 1)) {
					continue;
				}

				const difference = addDifference + this.#dropDifference(to, drop) + this.#commonDifference(add, drop, to) + ownDifference;
				if (this.#isBest(difference, 1)) {
					this.#best[1] = {change: {to, add, drop}, difference};
				}
			}
		}
	}

	#tryExchanges(add: number, to: number, from: number): void {
		const placement = this.#placement;
		const newOnTo = placement.isNew(to, add) ? 1 : 0;
		const savedOnFrom = placement.isNew(from, add) ? 1 : 0;
		for (const drop of placement.lists[to]) {
			if (placement.holders[drop].length > 1) {
				continue;
			}

			const copiesTo = newOnTo - (placement.isNew(to, drop) ? 1 : 0);
			const copiesFrom = (placement.isNew(from, drop) ? 1 : 0) - savedOnFrom;
			if (this.#canReceive(to, copiesTo) && this.#canReceive(from, copiesFrom)) {
				const more = this.#shares[add] - this.#shares[drop];
				const difference = this.#difference(to, more) + this.#difference(from, -more);
				const copies = Math.max(1, copiesTo + copiesFrom);
				if (this.#isBest(difference, copies)) {
					this.#best[copies] = {
						change: {
							to, add, drop, from,
						},
						difference,
					};
				}
			}
		}
	}

	#largestRedundantShare(experts: readonly number[]): number {
		let largest = 0;
		for (const expert of experts) {
			if (this.#placement.holders[expert].length > 1) {
				largest = Math.max(largest, this.#shares[expert]);
			}
		}

		return largest;
	}

	/** Number of additional copies that a rank needs if it receives one expert and gives up another; a copy of the latter that is not yet made is saved. */
	#copiesOf(rank: number, add: number, drop?: number): number {
		const placement = this.#placement;
		return (placement.isNew(rank, add) ? 1 : 0) - (drop !== undefined && placement.isNew(rank, drop) ? 1 : 0);
	}

	#canReceive(rank: number, copies: number): boolean {
		const {newPerRank, mayCopy} = this.#limits;
		return copies <= 0 || (this.#placement.newCount(rank) + copies <= newPerRank && (mayCopy?.(rank, copies) ?? true));
	}

	#isBest(difference: number, copies: number): boolean {
		return difference < (this.#best[copies]?.difference ?? 0);
	}

	#bestPerCopy(): RatedChange | undefined {
		const sum = this.#powers.reduce((total, value) => total + value, 0);
		let best: RatedChange | undefined;
		for (let copies = 1; copies <= maxCopies; copies++) {
			const candidate = this.#best[copies];
			if (candidate) {
				const gainPerCopy = (this.#score(sum) - this.#score(sum + candidate.difference)) / copies;
				best = best && best.gainPerCopy >= gainPerCopy ? best : {change: candidate.change, gainPerCopy};
			}
		}

		return best;
	}

	#score(sum: number): number {
		return (Math.max(0, sum) / this.#placement.rankCount) ** (1 / exponent);
	}

	/** Difference to the sum of the powers if a rank's load changes. */
	#difference(rank: number, additional: number): number {
		return power(this.#placement.time(rank, additional)) - this.#powers[rank];
	}

	/** Difference that the present holders of an expert make if it gets one more replica. */
	#addDifference(expert: number): number {
		const change = this.#shareChange(expert, 1);
		let difference = 0;
		for (const rank of this.#placement.holders[expert]) {
			difference += this.#difference(rank, change);
		}

		return difference;
	}

	/** Difference that the other holders of an expert make if a rank gives it up; not used for the only holder. */
	#dropDifference(rank: number, expert: number): number {
		const holders = this.#placement.holders[expert];
		if (holders.length === 1) {
			return 0;
		}

		const change = this.#shareChange(expert, -1);
		let difference = 0;
		for (const holder of holders) {
			difference += holder === rank ? 0 : this.#difference(holder, change);
		}

		return difference;
	}

	/** Correction for ranks that hold both experts of a change, whose differences do not simply add up. */
	#commonDifference(add: number, drop: number, to: number): number {
		const placement = this.#placement;
		const ofAdd = this.#shareChange(add, 1);
		const ofDrop = this.#shareChange(drop, -1);
		let correction = 0;
		for (const rank of placement.holders[drop]) {
			if (rank !== to && placement.holds(rank, add)) {
				correction += this.#difference(rank, ofAdd + ofDrop) - this.#difference(rank, ofAdd) - this.#difference(rank, ofDrop);
			}
		}

		return correction;
	}

	/** Change of the load of one replica if the number of replicas changes. */
	#shareChange(expert: number, replicas: number): number {
		const placement = this.#placement;
		return placement.share(expert, placement.holders[expert].length + replicas) - placement.share(expert);
	}
}

/** The 8th power, by squaring. */
function power(time: number): number {
	const square = time * time;
	const fourth = square * square;
	return fourth * fourth;
}
