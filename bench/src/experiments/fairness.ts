/** Effect on other client accounts when one floods at ten times its share. */

import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {startSystem, systems, type System} from '../load/bench-fleet.js';
import {sendAll} from '../load/caller.js';
import {countOf, firstTokenPercentileMs, ratio} from '../load/figures.js';
import {poissonRequests, seededRandom} from '../load/workload.js';

const engineCount = 2;
const stepMs = 25;
const maxBatch = 8;
const maxTokens = 20;
const durationMs = 15_000;
const deadlineMs = 4000;
const floodFactor = 10;

/** Fraction of the capacity that is offered without the flood. */
const utilization = 0.6;

const floodingAccount = 'account-1';
const accounts = [floodingAccount, 'account-2', 'account-3', 'account-4', 'account-5'];
const capacityPerSecond = engineCount * maxBatch * 1000 / (stepMs * maxTokens);
const sharePerSecond = utilization * capacityPerSecond / accounts.length;

type Row = {
	readonly system: System;
	readonly flood: string;
	readonly othersOffered: number;
	readonly othersInTime: number;
	readonly othersP50FirstTokenMs: number;
	readonly othersP99FirstTokenMs: number;
	readonly floodInTime: number;
};

class FairnessExperiment extends Experiment {
	get summary(): string {
		return 'The p99 first token of others while one account floods at 10 times its share.';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const system of systems) {
			for (const isFlooding of [false, true]) {
				const row = await measure(system, isFlooding, seed);
				log(JSON.stringify(row));
				rows.push(row);
			}
		}

		return {
			figures: {
				othersP99FloodOverCalm: floodOverCalm(rows, 'fleet'),
				othersP99FloodOverCalmRoundRobin: floodOverCalm(rows, 'roundRobin'),
				othersP99FloodOverCalmLeastOutstanding: floodOverCalm(rows, 'leastOutstanding'),
				runs: rows,
			},
			bounds: [{figure: 'othersP99FloodOverCalm', atMost: 1.5, source: 'issue 5, bench fairness'}],
		};
	}
}

async function measure(system: System, isFlooding: boolean, seed: number): Promise<Row> {
	const running = await startSystem(system, {
		engines: Array.from({length: engineCount}, () => ({engine: {stepMs, maxBatch}})), capacityRequests: maxBatch, accounts, entries: 2,
	});
	const requests = accounts.flatMap((clientAccount, index) => poissonRequests({
		clientAccount,
		requestsPerSecond: clientAccount === floodingAccount && isFlooding ? floodFactor * sharePerSecond : sharePerSecond,
		durationMs,
		deadlineMs,
		shape: number => ({prompt: `${clientAccount} asks for menu ${number}`, maxTokens}),
	}, seededRandom(seed + index)));
	const outcomes = await sendAll(running.caller, requests);
	await running.stop();
	const others = outcomes.filter(outcome => outcome.request.clientAccount !== floodingAccount);
	return {
		system,
		flood: isFlooding ? 'yes' : 'no',
		othersOffered: others.length,
		othersInTime: countOf(others, 'whole'),
		othersP50FirstTokenMs: firstTokenPercentileMs(others, 50),
		othersP99FirstTokenMs: firstTokenPercentileMs(others, 99),
		floodInTime: countOf(outcomes, 'whole') - countOf(others, 'whole'),
	};
}

function floodOverCalm(rows: readonly Row[], system: System): number {
	const p99 = (flood: string): number => rows.find(row => row.system === system && row.flood === flood)!.othersP99FirstTokenMs;
	return ratio(p99('yes'), p99('no'));
}

const fairness = new FairnessExperiment();

export default fairness;
