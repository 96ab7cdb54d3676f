/** Runs strategies side by side on the same load and measures skew, bytes and switches. */

import {
	type ExpertMap, type LayerLoads, rankTimes, type RankProfile, type RankReport, repackLayer, skewLowerBound, skewOf,
} from '@rattanspring/expert-map';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {LoadGenerator, type LoadOptions} from './load-generator.js';
import type {Strategy} from './strategies.js';

/** Options of a trial. */
export type TrialOptions = {
	readonly load: LoadOptions;
	readonly windows: number;
	/** Steps drawn from each window, per layer. */
	readonly stepsPerWindow?: number;
	/** Probability that a rank's report of a window is lost. */
	readonly reportLoss?: number;
	readonly bytesPerExpert?: number;
	/** Creates the strategies from the initial map and the loads it was packed for. */
	readonly strategies: (map: ExpertMap, loads: LayerLoads) => Readonly<Record<string, Strategy>>;
};

/** Measurements of one strategy. */
export type TrialRow = {
	readonly strategy: string;
	/** Time of the slowest rank divided by the mean, per layer, averaged over steps. */
	readonly meanSkew: number;
	readonly p99Skew: number;
	/** The same ratio for the mean loads of each window, without the noise of single steps. */
	readonly meanWindowSkew: number;
	readonly loadedBytes: number;
	readonly disturbedSteps: number;
};

/** Histograms hold integers, so skews are recorded in thousandths. */
const skewScale = 1000;

const defaultBytesPerExpert = 44_000_000;

type Tally = {steps: number; sum: number; windows: number; windowSum: number; readonly histogram: Histogram};

/** Runs a trial. Returns one row per strategy, in their order, and last the lower bound. */
export function runTrial(options: TrialOptions): TrialRow[] {
	const {stepsPerWindow = 4, reportLoss = 0.05} = options;
	const generator = new LoadGenerator(options.load);
	let previousLoads = generator.nextWindow();
	let previousRanks = generator.ranks();
	const strategies = Object.entries(options.strategies(firstMap(previousLoads, previousRanks), previousLoads));
	const tallies = strategies.map(() => newTally());
	const bound = newTally();
	for (let window = 1; window <= options.windows; window++) {
		const lost = previousRanks.map(() => generator.isLost(reportLoss));
		const nextLoads = generator.nextWindow();
		const nextRanks = generator.ranks();
		for (const [, strategy] of strategies) {
			const reports = reportsOf(strategy.map, previousLoads, {window: window - 1, lost});
			strategy.prepare({
				reports, previousLoads, nextLoads, previousRanks, nextRanks,
			});
		}

		measureWindow(nextLoads, nextRanks, {strategies, tallies, bound});
		for (let step = 0; step < stepsPerWindow; step++) {
			measureStep(generator, nextLoads, nextRanks, {strategies, tallies, bound});
		}

		previousLoads = nextLoads;
		previousRanks = nextRanks;
	}

	const bytesPerExpert = options.bytesPerExpert ?? defaultBytesPerExpert;
	return [
		...strategies.map(([name, strategy], index) => rowOf(name, tallies[index], {loadedBytes: strategy.loads * bytesPerExpert, disturbedSteps: strategy.switches})),
		rowOf('lower bound', bound, {loadedBytes: 0, disturbedSteps: 0}),
	];
}

type Measurement = {readonly strategies: ReadonlyArray<readonly [string, Strategy]>; readonly tallies: readonly Tally[]; readonly bound: Tally};

function firstMap(loads: LayerLoads, ranks: readonly RankProfile[]): ExpertMap {
	return {groupId: 'group', version: 1, layers: loads.map(layer => repackLayer(layer, ranks))};
}

function newTally(): Tally {
	return {
		steps: 0, sum: 0, windows: 0, windowSum: 0, histogram: buildHistogram(),
	};
}

/** Reports under a map of those ranks whose report is not lost. */
function reportsOf(map: ExpertMap, loads: LayerLoads, {window, lost}: {readonly window: number; readonly lost: readonly boolean[]}): RankReport[] {
	const layersOf = lost.map(() => map.layers.map(() => [] as Array<{expert: number; tokens: number}>));
	for (const [layer, {replicas}] of map.layers.entries()) {
		for (const {expert, rank, share} of replicas) {
			layersOf[rank][layer].push({expert, tokens: share * loads[layer][expert]});
		}
	}

	return layersOf.flatMap((layers, rank) => lost[rank]
		? []
		: [{
			rank, window, steps: 1, layers,
		}]);
}

function measureWindow(loads: LayerLoads, ranks: readonly RankProfile[], {strategies, tallies, bound}: Measurement): void {
	for (const [layer, tokens] of loads.entries()) {
		for (const [index, [, strategy]] of strategies.entries()) {
			tallies[index].windows++;
			tallies[index].windowSum += skewOf(rankTimes(strategy.map.layers[layer], tokens, ranks));
		}

		bound.windows++;
		bound.windowSum += skewLowerBound(tokens, ranks);
	}
}

function measureStep(generator: LoadGenerator, loads: LayerLoads, ranks: readonly RankProfile[], {strategies, tallies, bound}: Measurement): void {
	for (const [layer, means] of loads.entries()) {
		const tokens = generator.step(means);
		for (const [index, [, strategy]] of strategies.entries()) {
			count(tallies[index], skewOf(rankTimes(strategy.map.layers[layer], tokens, ranks)));
		}

		count(bound, skewLowerBound(tokens, ranks));
	}
}

function count(tally: Tally, skew: number): void {
	tally.steps++;
	tally.sum += skew;
	tally.histogram.recordValue(Math.round(skew * skewScale));
}

function rowOf(strategy: string, tally: Tally, cost: {readonly loadedBytes: number; readonly disturbedSteps: number}): TrialRow {
	return {
		strategy,
		meanSkew: rounded(tally.sum / tally.steps),
		p99Skew: rounded(tally.histogram.getValueAtPercentile(99) / skewScale),
		meanWindowSkew: rounded(tally.windowSum / tally.windows),
		...cost,
	};
}

function rounded(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
