import {describe, it} from 'node:test';
import {expect} from 'earl';
import {evenShareSkew, planEvenShares, type RankLists} from './even-share.js';
import {runToEnd} from './planner.js';

type Shape = {readonly ranks: number; readonly experts: number; readonly placesPerRank: number; readonly newPerRank: number};

/** Skew of a plan over the lower bound of its shape, for a known demand. */
const largestExcess = 1.05;

const sets = 6;
const minGainPerCopy = 0.012;
const shapes: readonly Shape[] = [
	{
		ranks: 8, experts: 64, placesPerRank: 11, newPerRank: 4,
	},
	{
		ranks: 32, experts: 128, placesPerRank: 5, newPerRank: 2,
	},
	{
		ranks: 64, experts: 256, placesPerRank: 5, newPerRank: 2,
	},
];

/** Seeded demand by Zipf's law, in another order of experts for each set and call. */
class ZipfDemand {
	readonly #shape: Shape;
	#state: number;

	constructor(seed: number, shape: Shape) {
		this.#state = seed;
		this.#shape = shape;
	}

	next(): number[][] {
		return Array.from({length: sets}, () => {
			const keys = Array.from({length: this.#shape.experts}, () => this.#uniform());
			return keys.map(key => (1 + keys.filter(other => other < key).length) ** -0.65);
		});
	}

	/** A number from (0, 1), by the generator of Park and Miller. */
	#uniform(): number {
		const modulus = 2_147_483_647;
		this.#state = (this.#state * 48_271) % modulus;
		return this.#state / modulus;
	}
}

function roundRobinMap({ranks, experts}: Shape): RankLists {
	return Array.from({length: sets}, () => Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, place) => (place * ranks) + rank)));
}

function planFor(current: RankLists, loads: readonly number[][], {placesPerRank, newPerRank}: Shape): RankLists {
	return runToEnd(planEvenShares({
		current, loads, placesPerRank, newPerRank, minGainPerCopy,
	})).lists;
}

/** Skew when the places are given to the experts with the most tokens per replica, and every rank takes the mean or the largest replica. */
function lowerBound(loads: readonly number[], {ranks, placesPerRank}: Shape): number {
	const counts = loads.map(() => 1);
	const perReplica = [...loads];
	for (let spare = (ranks * placesPerRank) - loads.length; spare > 0; spare--) {
		const hottest = perReplica.indexOf(Math.max(...perReplica));
		counts[hottest] = Math.min(ranks, counts[hottest] + 1);
		perReplica[hottest] = loads[hottest] / counts[hottest];
	}

	const mean = loads.reduce((sum, load) => sum + load, 0) / ranks;
	return Math.max(1, Math.max(...perReplica) / mean);
}

function excess(lists: RankLists, loads: readonly number[][], shape: Shape): number {
	return evenShareSkew(lists, loads) * sets / loads.reduce((sum, set) => sum + lowerBound(set, shape), 0);
}

describe('planEvenShares', () => {
	for (const shape of shapes) {
		describe(`with ${shape.ranks} ranks`, () => {
			for (let seed = 1; seed <= 3; seed++) {
				it(`does not stop short of an even map because the group has many ranks (seed ${seed})`, () => {
					const demand = new ZipfDemand(seed, shape);
					const loads = demand.next();
					const first = planFor(roundRobinMap(shape), loads, shape);
					expect(excess(first, loads, shape)).toBeLessThanOrEqual(largestExcess);

					const loadsAfterShift = demand.next();
					expect(excess(planFor(first, loadsAfterShift, shape), loadsAfterShift, shape)).toBeLessThanOrEqual(largestExcess);
				});
			}
		});
	}
});
