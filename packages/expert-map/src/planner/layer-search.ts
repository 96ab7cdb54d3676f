/**
Local search for changes that balance a layer: an additional replica of a hot expert in a slot that can be spared, or
two experts that exchange their ranks. Each improvement builds on the previous one.
*/

import {emptySlot, type LayerPlacement, type SlotChange} from './layer-placement.js';

/** One improvement: the slots it changes and the layer's longest time after it. */
export type Improvement = {readonly changes: readonly SlotChange[]; readonly maxTime: number};

/** Options of a search. */
export type SearchOptions = {
	/** Largest number of improvements. */
	readonly maxImprovements: number;
	/** The search ends when the longest time is at most this multiple of the balanced time. */
	readonly goalSkew: number;
};

/** Smallest relative decrease of the imbalance that counts as progress. */
const minProgress = 0.001;

type Candidate = {readonly changes: readonly SlotChange[]; readonly time: number};

/** Improves the placement in place. Yields between the candidates it tries, so that the caller can pause. */
export function * searchLayer(placement: LayerPlacement, options: SearchOptions): Generator<undefined, Improvement[]> {
	const found: Improvement[] = [];
	while (found.length < options.maxImprovements && placement.maxTime() > options.goalSkew * placement.balancedTime) {
		const changes = yield * improve(placement);
		if (!changes) {
			break;
		}

		found.push({changes, maxTime: placement.maxTime()});
	}

	return found;
}

/** Applies the best candidate that makes progress; undefined if none does. */
function * improve(placement: LayerPlacement): Generator<undefined, readonly SlotChange[] | undefined> {
	const slowest = placement.slowestRank();
	const before = placement.imbalance();
	const replication = bestReplication(placement, slowest);
	yield;
	const candidates = [replication, bestExchange(placement, slowest)]
		.filter(candidate => candidate !== undefined)
		.toSorted((a, b) => gainPerLoad(placement, b) - gainPerLoad(placement, a));
	for (const {changes} of candidates) {
		yield;
		const undo = placement.apply(changes);
		placement.settle();
		if (placement.imbalance() < before * (1 - minProgress)) {
			return changes;
		}

		placement.apply(undo);
		placement.settle();
	}

	return undefined;
}

function gainPerLoad(placement: LayerPlacement, candidate: Candidate): number {
	return (placement.maxTime() - candidate.time) / candidate.changes.length;
}

/** The best additional replica of an expert of the slowest rank, in the slot whose replica can best be spared. */
function bestReplication(placement: LayerPlacement, slowest: number): Candidate | undefined {
	const removable = removableSlots(placement);
	let best: Candidate | undefined;
	for (const expert of expertsOf(placement, slowest)) {
		for (const {slot, time} of removable) {
			const rank = placement.slotRank[slot];
			if (placement.slotExpert[slot] === expert || placement.holds(rank, expert)) {
				continue;
			}

			const after = Math.max(time, placement.levelWith(expert, slot));
			if (!best || after < best.time) {
				best = {changes: [{slot, expert}], time: after};
			}
		}
	}

	return best;
}

/** Slots whose replica can be removed, with the time at which the other ranks of its expert finish without it. */
function removableSlots(placement: LayerPlacement): Array<{readonly slot: number; readonly time: number}> {
	const removable: Array<{slot: number; time: number}> = [];
	const limit = placement.maxTime();
	for (let slot = 0; slot < placement.slotCount; slot++) {
		const expert = placement.slotExpert[slot];
		if (expert === emptySlot) {
			removable.push({slot, time: 0});
		} else if (placement.expertSlots[expert].length > 1) {
			const time = placement.levelWithout(expert, slot);
			if (time < limit) {
				removable.push({slot, time});
			}
		}
	}

	return removable;
}

/** The best exchange of an expert on the slowest rank with a less loaded one on another rank. */
function bestExchange(placement: LayerPlacement, slowest: number): Candidate | undefined {
	let best: Candidate | undefined;
	for (let hotSlot = 0; hotSlot < placement.slotCount; hotSlot++) {
		if (placement.slotRank[hotSlot] !== slowest || placement.slotExpert[hotSlot] === emptySlot) {
			continue;
		}

		for (let coolSlot = 0; coolSlot < placement.slotCount; coolSlot++) {
			const time = exchangeTime(placement, hotSlot, coolSlot);
			if (time < (best?.time ?? placement.maxTime()) && canExchange(placement, hotSlot, coolSlot)) {
				best = {
					changes: [
						{slot: coolSlot, expert: placement.slotExpert[hotSlot]},
						{slot: hotSlot, expert: placement.slotExpert[coolSlot]},
					],
					time,
				};
			}
		}
	}

	return best;
}

function exchangeTime(placement: LayerPlacement, hotSlot: number, coolSlot: number): number {
	const hotRank = placement.slotRank[hotSlot];
	const coolRank = placement.slotRank[coolSlot];
	const difference = placement.slotLoad[hotSlot] - placement.slotLoad[coolSlot];
	const hotTime = (placement.rankLoad[hotRank] - difference) / placement.speeds[hotRank];
	const coolTime = (placement.rankLoad[coolRank] + difference) / placement.speeds[coolRank];
	return Math.max(hotTime, coolTime);
}

function canExchange(placement: LayerPlacement, hotSlot: number, coolSlot: number): boolean {
	const hotRank = placement.slotRank[hotSlot];
	const coolRank = placement.slotRank[coolSlot];
	const cool = placement.slotExpert[coolSlot];
	const hot = placement.slotExpert[hotSlot];
	return cool !== emptySlot && hotRank !== coolRank && !placement.holds(coolRank, hot) && !placement.holds(hotRank, cool);
}

function expertsOf(placement: LayerPlacement, rank: number): number[] {
	const experts: number[] = [];
	for (let slot = 0; slot < placement.slotCount; slot++) {
		const expert = placement.slotExpert[slot];
		if (placement.slotRank[slot] === rank && expert !== emptySlot && placement.slotLoad[slot] > 0) {
			experts.push(expert);
		}
	}

	return experts;
}
