/** Processor time, memory and longest slice of one plan, at the largest size and for smaller numbers of ranks, experts and layers. */

import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	planMap, repackLayer, type ExpertMap, type LayerLoads, type RankProfile,
} from '@rattanspring/expert-map';
import {runInSlices, SystemClock} from '@rattanspring/daemon';
import {Experiment, type ExperimentOptions, type ExperimentResult} from '../experiment.js';
import {type ExpertGroupSize, LoadGenerator} from '../expert-load/load-generator.js';

const largest: ExpertGroupSize = {
	ranks: 64, experts: 256, layers: 58, spareSlots: 64,
};

/** Sizes to compare; each differs from the largest in one dimension. */
const sizes: Readonly<Record<string, ExpertGroupSize>> = {
	largest,
	ranks16: {...largest, ranks: 16},
	ranks32: {...largest, ranks: 32},
	experts64: {...largest, experts: 64},
	experts128: {...largest, experts: 128},
	layers15: {...largest, layers: 15},
	layers29: {...largest, layers: 29},
	spare32: {...largest, spareSlots: 32},
};

/** Plans timed at each size and kind of load; bounds apply to the slowest. */
const plansPerSize = 5;

/** Untimed plans before the timed ones, so that the code is JIT-compiled as in a daemon that has run for some minutes. */
const warmUpPlans = 2;

const bytesPerMegabyte = 1_048_576;
const nanosecondsPerMs = 1_000_000;
const microsecondsPerSecond = 1_000_000;

type Row = {
	readonly size: string;
	readonly load: string;
	readonly meanSeconds: number;
	readonly worstSeconds: number;
	readonly longestSliceMs: number;
	readonly longestSliceProcessorMs: number;
	readonly residentMegabytes: number;
};
type PlanInput = {readonly map: ExpertMap; readonly loads: LayerLoads; readonly ranks: readonly RankProfile[]};
type PlanCost = {readonly seconds: number; readonly longestSliceMs: number; readonly longestSliceProcessorMs: number; readonly residentBytes: number};

class PlannerCost extends Experiment {
	get summary(): string {
		return 'processor time, memory and longest slice of one plan';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const [size, shape] of Object.entries(sizes)) {
			for (const [load, topicReplacements] of Object.entries({drift: [], 'menu changed': [1]})) {
				log(`planner-cost: ${size}, ${load}`);
				rows.push({size, load, ...await measure(shape, seed, topicReplacements)});
			}
		}

		const atLargest = rows.filter(row => row.size === 'largest');
		return {
			figures: {
				worstPlanSeconds: Math.max(...atLargest.map(row => row.worstSeconds)),
				residentMegabytes: Math.max(...atLargest.map(row => row.residentMegabytes)),
				longestSliceMs: Math.max(...rows.map(row => row.longestSliceMs)),
				longestSliceProcessorMs: Math.max(...rows.map(row => row.longestSliceProcessorMs)),
				rows,
			},
			bounds: [
				{figure: 'worstPlanSeconds', atMost: 1.32, source: 'letter 1: 2.2 % of a core with a plan every 60 s'},
				{figure: 'residentMegabytes', atMost: 256, source: 'letter 1'},
				{figure: 'longestSliceMs', atMost: 10, source: 'issue 6'},
			],
		};
	}
}

async function measure(size: ExpertGroupSize, seed: number, topicReplacements: readonly number[]): Promise<Omit<Row, 'size' | 'load'>> {
	const costs: PlanCost[] = [];
	for (let index = -warmUpPlans; index < plansPerSize; index++) {
		const cost = await costOfPlan(planInputOf(size, seed + index, topicReplacements));
		if (index >= 0) {
			costs.push(cost);
		}
	}

	let seconds = 0;
	for (const cost of costs) {
		seconds += cost.seconds / costs.length;
	}

	return {
		meanSeconds: seconds,
		worstSeconds: Math.max(...costs.map(cost => cost.seconds)),
		longestSliceMs: Math.max(...costs.map(cost => cost.longestSliceMs)),
		longestSliceProcessorMs: Math.max(...costs.map(cost => cost.longestSliceProcessorMs)),
		residentMegabytes: Math.max(...costs.map(cost => cost.residentBytes)) / bytesPerMegabyte,
	};
}

/** Planner input: a map packed for one window, and the loads of the next window. */
function planInputOf(size: ExpertGroupSize, seed: number, topicReplacements: readonly number[]): PlanInput {
	const generator = new LoadGenerator({seed, size, topicReplacements});
	const first = generator.nextWindow();
	const ranks = generator.ranks();
	const map = {groupId: 'group', version: 1, layers: first.map(loads => repackLayer(loads, ranks))};
	return {map, loads: generator.nextWindow(), ranks};
}

async function costOfPlan({map, loads, ranks}: PlanInput): Promise<PlanCost> {
	let longestSliceMs = 0;
	let longestSliceProcessorMs = 0;
	let residentBytes = 0;
	const before = process.cpuUsage();
	let sliceBefore = mainThreadMs();
	await runInSlices(planMap({
		currentMap: map, nextVersion: 2, loads, ranks, weights: {skewWeight: 8, costWeight: 1},
	}), {
		clock: new SystemClock(),
		onSlice(elapsedMs) {
			const sliceAfter = mainThreadMs();
			longestSliceMs = Math.max(longestSliceMs, elapsedMs);
			// Includes what the event loop did since the previous slice, so that a slice is never reported as shorter than it was.
			longestSliceProcessorMs = Math.max(longestSliceProcessorMs, Math.min(elapsedMs, sliceAfter - sliceBefore));
			sliceBefore = sliceAfter;
			residentBytes = Math.max(residentBytes, process.memoryUsage.rss());
		},
	});
	const used = process.cpuUsage(before);
	return {
		seconds: (used.user + used.system) / microsecondsPerSecond, longestSliceMs, longestSliceProcessorMs, residentBytes,
	};
}

/** Processor time of the main thread from the kernel; excludes time in which the thread was not scheduled. */
function mainThreadMs(): number {
	const [nanoseconds] = readFileSync(`/proc/self/task/${process.pid}/schedstat`, 'utf8').split(' ', 1);
	return Number(nanoseconds) / nanosecondsPerMs;
}

const plannerCost = new PlannerCost();

export default plannerCost;
