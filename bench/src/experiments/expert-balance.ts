/**
Load balance that the planner achieves in a group and the bytes of weights it loads for that, compared with a fixed map, a
full repacking before every window, and an oracle that knows the next window. Runs with the weights of both users, over a
range of cost weights, and with several forecasts.
*/

import {
	ExponentialAverageForecast, type ExpertMap, type Forecast, LastWindowForecast, type LayerLoads, LinearTrendForecast, type PlanWeights, TimeOfDayForecast,
} from '@rattanspring/expert-map';
import {
	type Bound, Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import type {ExpertGroupSize, LoadOptions} from '../expert-load/load-generator.js';
import {
	FixedStrategy, OracleStrategy, PlannerStrategy, RepackingStrategy, type Strategy,
} from '../expert-load/strategies.js';
import {runTrial, type TrialRow} from '../expert-load/trial.js';

/** Planner weights of the two users, as in `examples/`. */
const qodeshWeights: PlanWeights = {skewWeight: 8, costWeight: 1};
const vatuwaqaWeights: PlanWeights = {skewWeight: 1, costWeight: 32};

/** Cost weights of the curve, each with a skew weight of 1. */
const curveCostWeights = [0.0625, 0.25, 1, 4, 16, 64, 256, 1000];

const today: ExpertGroupSize = {
	ranks: 16, experts: 64, layers: 26, spareSlots: 16,
};
const largest: ExpertGroupSize = {
	ranks: 64, experts: 256, layers: 58, spareSlots: 32,
};
const curveSize: ExpertGroupSize = {...largest, layers: 4};

/** An hour of one-minute windows. */
const todayWindows = 60;
const largestWindows = 60;

/** Windows per day in the comparison of forecasts; few, so that a trial covers several days. */
const forecastWindowsPerDay = 48;
const forecastDays = 3;

/** Speed of the slow rank relative to a nominal one. */
const slowSpeed = 0.7;

type Row = TrialRow & {readonly size: string};

class ExpertBalance extends Experiment {
	get summary(): string {
		return 'skew and bytes of expert rebalancing against a fixed map, re-packing and an oracle';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const [size, trial] of Object.entries(trialsOf(seed))) {
			log(`expert-balance: ${size}`);
			rows.push(...runTrial(trial).map(row => ({size, ...row})));
		}

		log('expert-balance: curve over the weights');
		const curve = runTrial(curveTrial(seed));
		log('expert-balance: forecasts');
		const forecasts = [...forecastRows(seed, false), ...forecastRows(seed, true)];
		const ratios = ratiosOf(rows);
		return {
			figures: {
				...ratios, rows, curve, forecasts,
			},
			bounds: boundsOf(Object.keys(trialsOf(seed))),
		};
	}
}

function trialsOf(seed: number): Record<string, Parameters<typeof runTrial>[0]> {
	return {
		today: trialOf(seed, today, todayWindows),
		largest32: trialOf(seed, largest, largestWindows),
		largest64: trialOf(seed, {...largest, spareSlots: 64}, largestWindows),
	};
}

function trialOf(seed: number, size: ExpertGroupSize, windows: number): Parameters<typeof runTrial>[0] {
	return {
		load: loadOf(seed, size, windows),
		windows,
		strategies: (map, loads) => ({
			...baselines(map),
			qodesh: planner(map, loads, qodeshWeights),
			vatuwaqa: planner(map, loads, vatuwaqaWeights),
		}),
	};
}

function curveTrial(seed: number): Parameters<typeof runTrial>[0] {
	return {
		load: loadOf(seed, curveSize, largestWindows),
		windows: largestWindows,
		strategies: (map, loads) => ({
			...baselines(map),
			...Object.fromEntries(curveCostWeights.map(costWeight => [`costWeight ${costWeight}`, planner(map, loads, {skewWeight: 1, costWeight})])),
		}),
	};
}

/** Load with two topic replacements and a slow rank for 15 % of the windows: nine minutes of an hour. */
function loadOf(seed: number, size: ExpertGroupSize, windows: number): LoadOptions {
	return {
		seed,
		size,
		topicReplacements: [Math.floor(windows / 3), Math.floor(2 * windows / 3)],
		slowRank: {
			rank: 5, speed: slowSpeed, fromWindow: Math.floor(0.45 * windows), toWindow: Math.floor(0.6 * windows),
		},
	};
}

function baselines(map: ExpertMap): Record<string, Strategy> {
	return {fixed: new FixedStrategy(map), repacking: new RepackingStrategy(map), oracle: new OracleStrategy(map)};
}

function planner(map: ExpertMap, firstEstimate: LayerLoads, weights: PlanWeights, forecast: Forecast = new LastWindowForecast()): Strategy {
	return new PlannerStrategy(map, {weights, forecast, firstEstimate});
}

function forecastRows(seed: number, withTopicReplacements: boolean): Array<Record<string, number | string>> {
	const windows = forecastWindowsPerDay * forecastDays;
	const trial = {
		load: {
			seed, size: {...today, layers: 8}, windowsPerDay: forecastWindowsPerDay, topicReplacements: withTopicReplacements ? [Math.floor(windows / 2)] : [],
		},
		windows,
		strategies: (map: ExpertMap, loads: LayerLoads) => Object.fromEntries(Object.entries(forecasts()).map(([name, forecast]) => [name, planner(map, loads, qodeshWeights, forecast)])),
	};
	return runTrial(trial).map(row => ({menu: withTopicReplacements ? 'changes once' : 'steady', ...row}));
}

function forecasts(): Record<string, Forecast> {
	return {
		'last window': new LastWindowForecast(),
		'average, newest 0.3': new ExponentialAverageForecast({newestWeight: 0.3}),
		'average, newest 0.5': new ExponentialAverageForecast({newestWeight: 0.5}),
		'average, newest 0.7': new ExponentialAverageForecast({newestWeight: 0.7}),
		'linear trend': new LinearTrendForecast(),
		'time of day': new TimeOfDayForecast({windowsPerDay: forecastWindowsPerDay}),
	};
}

/** The figures that are checked against bounds, one set per size. */
function ratiosOf(rows: readonly Row[]): Record<string, number> {
	const ratios: Record<string, number> = {};
	for (const size of new Set(rows.map(row => row.size))) {
		const row = (strategy: string): Row => rows.find(candidate => candidate.size === size && candidate.strategy === strategy)!;
		for (const user of ['qodesh', 'vatuwaqa']) {
			ratios[`${size}.${user}.skewOverOracle`] = row(user).meanSkew / row('oracle').meanSkew;
			ratios[`${size}.${user}.bytesOverRepacking`] = row(user).loadedBytes / row('repacking').loadedBytes;
		}
	}

	return ratios;
}

function boundsOf(sizes: readonly string[]): Bound[] {
	return sizes.flatMap(size => [
		{figure: `${size}.qodesh.skewOverOracle`, atMost: 1.05, source: 'issue 6'},
		{figure: `${size}.qodesh.bytesOverRepacking`, atMost: 0.5, source: 'issue 6'},
		{figure: `${size}.vatuwaqa.skewOverOracle`, atMost: 1.3, source: 'issue 6'},
		{figure: `${size}.vatuwaqa.bytesOverRepacking`, atMost: 0.1, source: 'issue 6'},
	]);
}

const expertBalance = new ExpertBalance();

export default expertBalance;
