/** Offers 1, 2 and 4 times the capacity. Measures what is answered in time, and whether refusals state correctly that the request did not run. */

import {
	Experiment, type ExperimentOptions, type ExperimentResult, type Figures,
} from '../experiment.js';
import {startSystem, systems, type System} from '../load/bench-fleet.js';
import {sendAll, type LoadOutcome} from '../load/caller.js';
import {countOf, firstTokenPercentileMs, ratio} from '../load/figures.js';
import {poissonRequests, seededRandom} from '../load/workload.js';

const engineCount = 2;
const stepMs = 25;
const maxBatch = 8;
const maxTokens = 20;
const durationMs = 10_000;
const deadlineMs = 2000;
const accounts = ['account-1', 'account-2', 'account-3', 'account-4'];

/** Requests per second that the engines complete with full batches. */
const capacityPerSecond = engineCount * maxBatch * 1000 / (stepMs * maxTokens);

const loads = [1, 2, 4];
const source = 'issue 5, bench overload';

type Row = {
	readonly system: System;
	readonly load: number;
	readonly offered: number;
	readonly inTime: number;
	readonly refused: number;
	readonly late: number;
	readonly failed: number;
	readonly p99FirstTokenMs: number;
	readonly refusedNotDidNotRun: number;
	readonly didNotRunButRan: number;
};

class OverloadExperiment extends Experiment {
	get summary(): string {
		return 'Answers within the deadline at 1, 2 and 4 times the capacity, and the truth of refusals.';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const system of systems) {
			for (const load of loads) {
				const row = await measure(system, load, seed);
				log(JSON.stringify(row));
				rows.push(row);
			}
		}

		return {
			figures: figuresOf(rows), bounds: [
				{figure: 'inTimeAt4xOverInTimeAt1x', atLeast: 0.9, source},
				{figure: 'refusedNotDidNotRun', atMost: 0, source},
				{figure: 'didNotRunButRan', atMost: 0, source},
			],
		};
	}
}

async function measure(system: System, load: number, seed: number): Promise<Row> {
	const running = await startSystem(system, {
		engines: Array.from({length: engineCount}, () => ({engine: {stepMs, maxBatch}})), capacityRequests: maxBatch, accounts, entries: 2,
	});
	const random = seededRandom(seed);
	const requests = accounts.flatMap(clientAccount => poissonRequests({
		clientAccount,
		requestsPerSecond: load * capacityPerSecond / accounts.length,
		durationMs,
		deadlineMs,
		shape: number => ({prompt: `${clientAccount} asks for menu ${number}`, maxTokens}),
	}, random));
	const outcomes = await sendAll(running.caller, requests);
	const row = rowOf(system, load, outcomes, prompt => running.engines.some(engine => engine.runs.has(`user: ${prompt}`)));
	await running.stop();
	return row;
}

function rowOf(system: System, load: number, outcomes: readonly LoadOutcome[], hasRun: (prompt: string) => boolean): Row {
	const refused = outcomes.filter(outcome => outcome.kind === 'refused');
	const didNotRun = outcomes.filter(outcome => outcome.execution === 'didNotRun');
	return {
		system,
		load,
		offered: outcomes.length,
		inTime: countOf(outcomes, 'whole'),
		refused: refused.length,
		late: countOf(outcomes, 'late'),
		failed: countOf(outcomes, 'failed'),
		p99FirstTokenMs: firstTokenPercentileMs(outcomes, 99),
		refusedNotDidNotRun: refused.filter(outcome => outcome.execution !== 'didNotRun').length,
		didNotRunButRan: didNotRun.filter(outcome => hasRun(outcome.request.prompt)).length,
	};
}

function figuresOf(rows: readonly Row[]): Figures {
	const inTimeRatio = (system: System): number => {
		const inTime = (load: number): number => rows.find(row => row.system === system && row.load === load)!.inTime;
		return ratio(inTime(4), inTime(1));
	};

	const fleet = rows.filter(row => row.system === 'fleet');
	return {
		capacityPerSecond,
		inTimeAt4xOverInTimeAt1x: inTimeRatio('fleet'),
		inTimeAt4xOverInTimeAt1xRoundRobin: inTimeRatio('roundRobin'),
		inTimeAt4xOverInTimeAt1xLeastOutstanding: inTimeRatio('leastOutstanding'),
		refusedNotDidNotRun: fleet.reduce((sum, row) => sum + row.refusedNotDidNotRun, 0),
		didNotRunButRan: fleet.reduce((sum, row) => sum + row.didNotRunButRan, 0),
		runs: rows,
	};
}

const overload = new OverloadExperiment();

export default overload;
