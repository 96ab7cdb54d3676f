import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {type ExpertMap, mapFailure, type RankProfile} from '../expert-map.js';
import {estimateLoads} from './count-history.js';
import {ExponentialAverageForecast, LinearTrendForecast, TimeOfDayForecast} from './forecast.js';
import {
	defaultCosts, defaultLimits, type Plan, type PlanInput, placementKeys, planMap, runToEnd,
} from './planner.js';
import {repackLayer} from './repacking.js';
import {rankTimes, skewLowerBound, skewOf} from './skew.js';

const seed = 20_261_203;

/** Groups with skewed loads and unequal slots and speeds. */
const inputs = fc.record({
	rankCount: fc.integer({min: 2, max: 8}),
	expertCount: fc.integer({min: 4, max: 24}),
	spareSlots: fc.integer({min: 0, max: 8}),
	layers: fc.integer({min: 1, max: 3}),
	loads: fc.array(fc.integer({min: 0, max: 1000}), {minLength: 144, maxLength: 144}),
	speeds: fc.array(fc.double({min: 0.5, max: 1.5, noNaN: true}), {minLength: 8, maxLength: 8}),
	costWeight: fc.constantFrom(0, 0.1, 1, 10),
	maxMovesPerRank: fc.constantFrom(1, 3, 64),
	maxMoves: fc.constantFrom(0, 2, 100),
	storeExperts: fc.constantFrom(0, 1, 100),
}).map(raw => createInput(raw));

type RawInput = {
	rankCount: number; expertCount: number; spareSlots: number; layers: number; loads: number[]; speeds: number[];
	costWeight: number; maxMovesPerRank: number; maxMoves: number; storeExperts: number;
};

function createRanks({rankCount, expertCount, spareSlots, speeds}: Pick<RawInput, 'rankCount' | 'expertCount' | 'spareSlots' | 'speeds'>): RankProfile[] {
	const slots = expertCount + spareSlots;
	return Array.from({length: rankCount}, (_, rank) => ({
		vm: `vm-${Math.floor(rank / 2)}`,
		failureDomain: `domain-${rank % 3}`,
		speed: speeds[rank],
		slotsPerLayer: Math.floor(slots / rankCount) + (rank < slots % rankCount ? 1 : 0),
	}));
}

function createInput(raw: RawInput): PlanInput {
	const ranks = createRanks(raw);
	const even = new Float64Array(raw.expertCount).fill(1);
	const loads = Array.from({length: raw.layers}, (_, layer) => Float64Array.from(raw.loads.slice(layer * raw.expertCount, (layer + 1) * raw.expertCount), load => load + 1));
	return {
		currentMap: {groupId: 'g', version: 1, layers: loads.map(() => repackLayer(even, ranks))},
		nextVersion: 2,
		loads,
		ranks,
		weights: {skewWeight: 1, costWeight: raw.costWeight},
		limits: {maxMoves: raw.maxMoves, maxMovesPerRank: raw.maxMovesPerRank, maxStoreBytes: raw.storeExperts * defaultCosts.bytesPerExpert},
	};
}

function mapAfter(input: PlanInput, plan: Plan): ExpertMap {
	return plan.kind === 'change' ? plan.map : input.currentMap;
}

function check(property: (input: PlanInput, plan: Plan) => void): void {
	fc.assert(fc.property(inputs, input => {
		property(input, runToEnd(planMap(input)));
	}), {seed, numRuns: 150});
}

describe('planMap', () => {
	it('plans a valid map from a valid one', () => {
		check((input, plan) => {
			const experts = input.loads[0].length;
			expect(mapFailure(input.currentMap, experts, input.ranks)).toEqual(undefined);
			expect(mapFailure(mapAfter(input, plan), experts, input.ranks)).toEqual(undefined);
		});
	});

	it('lists exactly the moves that lead from the current map to the planned one', () => {
		check((input, plan) => {
			const before = placementKeys(input.currentMap);
			const needed = [...placementKeys(mapAfter(input, plan))].filter(place => !before.has(place));
			const listed = plan.kind === 'change' ? plan.moves.map(move => `${move.layer} ${move.expert} ${move.toRank}`) : [];
			expect(listed.toSorted()).toEqual(needed.toSorted());
		});
	});

	it('keeps to the limits', () => {
		check((input, plan) => {
			const moves = plan.kind === 'change' ? plan.moves : [];
			const limits = {...defaultLimits, ...input.limits};
			const stored = moves.filter(move => move.source === 'weightStore').length * defaultCosts.bytesPerExpert;
			const perRank = countsOf(moves.map(move => move.toRank));
			expect(moves.length <= limits.maxMoves).toEqual(true);
			expect(stored <= limits.maxStoreBytes).toEqual(true);
			expect(Math.max(...perRank) <= limits.maxMovesPerRank).toEqual(true);
		});
	});

	it('changes the map only if the saving outweighs the cost', () => {
		check((input, plan) => {
			const saving = input.weights.skewWeight * plan.figures.savedMsPerStep * defaultCosts.horizonSteps;
			const price = input.weights.costWeight * plan.figures.costMs;
			expect(plan.kind === 'change' ? saving > price : saving <= price).toEqual(true);
		});
	});

	it('predicts the longest times under the planned map', () => {
		check((input, plan) => {
			let predicted = 0;
			for (const [layer, layerMap] of mapAfter(input, plan).layers.entries()) {
				const even = sum(input.loads[layer]) / sum(input.ranks.map(rank => rank.speed));
				predicted += Math.max(...rankTimes(layerMap, input.loads[layer], input.ranks)) / even / input.loads.length;
			}

			const expected = plan.kind === 'change' ? plan.figures.skewAfter : plan.figures.skewBefore;
			expect(Math.abs(predicted - expected) < 0.02 * expected).toEqual(true);
		});
	});

	it('converges on a constant load', () => {
		check(input => {
			const limits = {maxMoves: 1000, maxMovesPerRank: 1000, maxStoreBytes: Number.POSITIVE_INFINITY};
			let current: PlanInput = {...input, weights: {skewWeight: 1, costWeight: 1}, limits};
			let plan = runToEnd(planMap(current));
			for (let round = 0; round < 5 && plan.kind === 'change'; round++) {
				expect(plan.figures.skewAfter < plan.figures.skewBefore).toEqual(true);
				current = {...current, currentMap: plan.map, nextVersion: current.nextVersion + 1};
				plan = runToEnd(planMap(current));
			}

			expect(plan.kind).toEqual('keep');
		});
	});

	it('gives a slow rank fewer tokens', () => {
		const input = createInput({
			rankCount: 4, expertCount: 16, spareSlots: 8, layers: 1, loads: Array.from({length: 16}, () => 99), speeds: [1, 1, 1, 0.5],
			costWeight: 0, maxMovesPerRank: 64, maxMoves: 100, storeExperts: 100,
		});
		const [layer] = mapAfter(input, runToEnd(planMap(input))).layers;
		const times = rankTimes(layer, input.loads[0], input.ranks);
		expect(skewOf(times) < 1.05).toEqual(true);
		expect(times[3] * 0.5 < times[0] * 0.6).toEqual(true);
	});
});

describe('repackLayer', () => {
	it('never goes below the lower bound', () => {
		check(input => {
			const times = rankTimes(repackLayer(input.loads[0], input.ranks), input.loads[0], input.ranks);
			const even = sum(input.loads[0]) / sum(input.ranks.map(rank => rank.speed));
			expect(Math.max(...times) / even >= skewLowerBound(input.loads[0], input.ranks) - 1e-9).toEqual(true);
		});
	});
});

describe('estimateLoads', () => {
	const layers = [{replicas: [{expert: 0, rank: 0, share: 0.5}, {expert: 0, rank: 1, share: 0.5}, {expert: 1, rank: 1, share: 1}]}];
	const map = {groupId: 'g', version: 1, layers};
	const report = {
		rank: 0, window: 1, steps: 10, layers: [[{expert: 0, tokens: 100}]],
	};

	it('scales up by the shares of the reported replicas, and keeps the estimate of experts without a report', () => {
		expect(estimateLoads([report], map, [Float64Array.of(1, 7)])).toEqual([Float64Array.of(20, 7)]);
	});

	it('counts a duplicate report once', () => {
		expect(estimateLoads([report, report], map, [Float64Array.of(1, 7)])).toEqual([Float64Array.of(20, 7)]);
	});
});

describe('forecasts', () => {
	it('resets the average after a sudden change', () => {
		const forecast = new ExponentialAverageForecast();
		forecast.observe([Float64Array.of(10, 10)]);
		forecast.observe([Float64Array.of(12, 10)]);
		expect(forecast.next()).toEqual([Float64Array.of(11, 10)]);
		forecast.observe([Float64Array.of(0, 20)]);
		expect(forecast.next()).toEqual([Float64Array.of(0, 20)]);
	});

	it('continues a trend, but not below zero', () => {
		const forecast = new LinearTrendForecast();
		forecast.observe([Float64Array.of(10, 10)]);
		forecast.observe([Float64Array.of(12, 4)]);
		expect(forecast.next()).toEqual([Float64Array.of(14, 0)]);
	});

	it('repeats the change of the previous day', () => {
		const forecast = new TimeOfDayForecast({windowsPerDay: 2});
		for (const load of [10, 15, 20]) {
			forecast.observe([Float64Array.of(load)]);
		}

		expect(forecast.next()).toEqual([Float64Array.of(25)]);
	});
});

function countsOf(values: readonly number[]): number[] {
	const counts = [0];
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return [...counts].map(count => count ?? 0);
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
