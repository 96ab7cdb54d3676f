/**
The replicas of one layer during planning: which slot holds which expert, and how each expert's tokens are distributed
over its replicas, so that the ranks' times are as balanced as the placement allows.
*/

import type {ExpertReplica, LayerMap, RankProfile} from '../expert-map.js';
import {WaterFilling} from './water-filling.js';

/** A slot that holds no replica. */
export const emptySlot = -1;

/** Largest number of sweeps over the replicated experts, even if the distribution of tokens has not converged. */
const maxSweeps = 10;

/** The distribution has converged when no rank's time changes by more than this in a sweep, relative to the mean. */
const settledChange = 0.0005;

/** Puts a replica of an expert into a slot; `emptySlot` empties the slot. */
export type SlotChange = {readonly slot: number; readonly expert: number};

/** Mutable placement of one layer. */
export class LayerPlacement {
	/** Tokens per step of each expert. */
	readonly expertLoad: Float64Array;
	readonly speeds: Float64Array;
	readonly slotRank: Int32Array;
	readonly slotExpert: Int32Array;
	/** Tokens per step processed by the replica in each slot. */
	readonly slotLoad: Float64Array;
	readonly rankLoad: Float64Array;
	readonly slotCount: number;
	/** Slots that hold each expert. */
	readonly expertSlots: number[][];
	/** Time of each rank if all were perfectly balanced. */
	readonly balancedTime: number;
	readonly #waterFilling: WaterFilling;

	constructor(layer: LayerMap, expertLoad: Float64Array, ranks: readonly RankProfile[]) {
		this.expertLoad = expertLoad;
		this.speeds = Float64Array.from(ranks, rank => rank.speed);
		this.slotRank = Int32Array.from(ranks.flatMap((rank, index) => Array.from({length: rank.slotsPerLayer}, () => index)));
		this.slotCount = this.slotRank.length;
		this.slotExpert = new Int32Array(this.slotRank.length).fill(emptySlot);
		this.slotLoad = new Float64Array(this.slotRank.length);
		this.rankLoad = new Float64Array(ranks.length);
		this.expertSlots = Array.from({length: expertLoad.length}, () => []);
		this.#waterFilling = new WaterFilling(ranks.length + 1);
		this.#initialize(layer, ranks);
		this.balancedTime = sum(expertLoad) / sum(this.speeds);
	}

	/** Time of a rank in token times of a nominal rank. */
	timeOf(rank: number): number {
		return this.rankLoad[rank] / this.speeds[rank];
	}

	/** The rank with the longest time. */
	slowestRank(): number {
		let slowest = 0;
		for (let rank = 1; rank < this.rankLoad.length; rank++) {
			if (this.timeOf(rank) > this.timeOf(slowest)) {
				slowest = rank;
			}
		}

		return slowest;
	}

	/** Longest time of any rank. */
	maxTime(): number {
		return this.timeOf(this.slowestRank());
	}

	/**
	Imbalance score. It grows with every rank above the mean, so that relieving one slow rank counts as progress even if
	another is equally slow. A high even power makes the slowest ranks dominate.
	*/
	imbalance(): number {
		let total = 0;
		for (let rank = 0; rank < this.rankLoad.length; rank++) {
			const relative = this.timeOf(rank) / this.balancedTime;
			const square = relative * relative;
			const fourth = square * square;
			total += this.speeds[rank] * fourth * fourth * fourth;
		}

		return total;
	}

	/** Whether a rank holds a replica of an expert. */
	holds(rank: number, expert: number): boolean {
		return this.expertSlots[expert].some(slot => this.slotRank[slot] === rank);
	}

	/** Applies changes and redistributes the tokens of the affected experts. Returns the changes that undo it. */
	apply(changes: readonly SlotChange[]): SlotChange[] {
		const undo: SlotChange[] = [];
		const concerned = new Set<number>();
		for (const {slot, expert} of changes) {
			const previous = this.slotExpert[slot];
			undo.unshift({slot, expert: previous});
			this.#put(slot, expert);
			concerned.add(previous).add(expert);
		}

		concerned.delete(emptySlot);
		for (const expert of concerned) {
			this.spread(expert);
		}

		return undo;
	}

	/** Redistributes the tokens of all replicated experts until the ranks' times converge. */
	settle(): void {
		for (let sweep = 0; sweep < maxSweeps; sweep++) {
			let change = 0;
			for (let expert = 0; expert < this.expertLoad.length; expert++) {
				if (this.expertSlots[expert].length > 1) {
					change = Math.max(change, this.spread(expert));
				}
			}

			if (change < settledChange * this.balancedTime) {
				return;
			}
		}
	}

	/** Distributes an expert's tokens so that the ranks of its replicas finish at the same time, where possible. Returns the largest change of a rank's time. */
	spread(expert: number): number {
		const slots = this.expertSlots[expert];
		const isOnly = slots.length === 1;
		const level = isOnly ? 0 : this.levelOf(expert);
		let change = 0;
		for (const slot of slots) {
			const rank = this.slotRank[slot];
			const others = this.rankLoad[rank] - this.slotLoad[slot];
			const load = isOnly ? this.expertLoad[expert] : Math.max(0, (level * this.speeds[rank]) - others);
			change = Math.max(change, Math.abs(load - this.slotLoad[slot]) / this.speeds[rank]);
			this.rankLoad[rank] = others + load;
			this.slotLoad[slot] = load;
		}

		return change;
	}

	/** The common time at which the ranks of an expert's replicas finish. */
	levelOf(expert: number): number {
		return this.#collectRanks(expert, emptySlot).level(this.expertLoad[expert]);
	}

	/** That time without the replica in one slot. */
	levelWithout(expert: number, slot: number): number {
		return this.#collectRanks(expert, slot).level(this.expertLoad[expert]);
	}

	/** That time with an additional replica in the slot, instead of what the slot holds. */
	levelWith(expert: number, slot: number): number {
		const rank = this.slotRank[slot];
		const level = this.#collectRanks(expert, emptySlot);
		level.add(this.rankLoad[rank] - this.slotLoad[slot], this.speeds[rank]);
		return level.level(this.expertLoad[expert]);
	}

	/** Converts the placement to a layer of a map. */
	toLayerMap(): LayerMap {
		const replicas: ExpertReplica[] = [];
		for (const [expert, slots] of this.expertSlots.entries()) {
			for (const slot of slots) {
				const share = this.expertLoad[expert] > 0 ? this.slotLoad[slot] / this.expertLoad[expert] : 1 / slots.length;
				replicas.push({expert, rank: this.slotRank[slot], share});
			}
		}

		return {replicas};
	}

	#collectRanks(expert: number, withoutSlot: number): WaterFilling {
		this.#waterFilling.clear();
		for (const slot of this.expertSlots[expert]) {
			if (slot !== withoutSlot) {
				const rank = this.slotRank[slot];
				this.#waterFilling.add(this.rankLoad[rank] - this.slotLoad[slot], this.speeds[rank]);
			}
		}

		return this.#waterFilling;
	}

	#put(slot: number, expert: number): void {
		const rank = this.slotRank[slot];
		const previous = this.slotExpert[slot];
		if (previous !== emptySlot) {
			const slots = this.expertSlots[previous];
			slots.splice(slots.indexOf(slot), 1);
		}

		this.rankLoad[rank] -= this.slotLoad[slot];
		this.slotLoad[slot] = 0;
		this.slotExpert[slot] = expert;
		if (expert !== emptySlot) {
			this.expertSlots[expert].push(slot);
		}
	}

	#initialize(layer: LayerMap, ranks: readonly RankProfile[]): void {
		const firstSlot: number[] = [];
		let next = 0;
		for (const rank of ranks) {
			firstSlot.push(next);
			next += rank.slotsPerLayer;
		}

		for (const {expert, rank, share} of layer.replicas) {
			const slot = firstSlot[rank]++;
			this.slotExpert[slot] = expert;
			this.slotLoad[slot] = share * this.expertLoad[expert];
			this.rankLoad[rank] += this.slotLoad[slot];
			this.expertSlots[expert].push(slot);
		}
	}
}

function sum(values: Float64Array): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
