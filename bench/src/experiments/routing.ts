/** Time to the first token with skewed prompts and prefixes, one slow target and delayed load reports. */

import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {startSystem, systems, type System} from '../load/bench-fleet.js';
import {sendAll} from '../load/caller.js';
import {countOf, firstTokenPercentileMs, ratio} from '../load/figures.js';
import {
	poissonRequests, seededRandom, skewedIndex, type LoadRequest, type Random,
} from '../load/workload.js';

const engineCount = 4;
const stepMs = 20;
const slowStepMs = 60;
const maxBatch = 8;
const durationMs = 15_000;
const deadlineMs = 10_000;
const loadLagMs = 1000;

/** Engines omit every third cache event. */
const cacheEventGap = 3;

/** Small, so that a cached prefix of 64 tokens saves several steps. */
const prefillTokensPerStep = 32;

const prefixCount = 24;
const prefixCharacters = 256;
const shortPromptCharacters = 80;
const longPromptCharacters = 1600;
const longPromptShare = 0.1;
const shortAnswerTokens = 10;
const longAnswerTokens = 60;
const longAnswerShare = 0.2;
const requestsPerSecond = 36;
const accounts = ['account-1', 'account-2', 'account-3', 'account-4'];

type Row = {
	readonly system: System;
	readonly offered: number;
	readonly whole: number;
	readonly p50FirstTokenMs: number;
	readonly p99FirstTokenMs: number;
	/** Each stored prefix counts as a miss, every other request as a hit. */
	readonly cacheHitRatio: number;
};

class RoutingExperiment extends Experiment {
	get summary(): string {
		return 'First token with skewed prompts, one slow target and lagging reports, against two baselines.';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const system of systems) {
			const row = await measure(system, seed);
			log(JSON.stringify(row));
			rows.push(row);
		}

		const p99Of = (system: System): number => rows.find(row => row.system === system)!.p99FirstTokenMs;
		return {
			figures: {
				p99OverRoundRobin: ratio(p99Of('fleet'), p99Of('roundRobin')),
				p99OverLeastOutstanding: ratio(p99Of('fleet'), p99Of('leastOutstanding')),
				runs: rows,
			},
			bounds: [
				{figure: 'p99OverRoundRobin', atMost: 0.7, source: 'issue 5, bench routing'},
				{figure: 'p99OverLeastOutstanding', atMost: 0.7, source: 'issue 5, bench routing'},
			],
		};
	}
}

async function measure(system: System, seed: number): Promise<Row> {
	const running = await startSystem(system, {
		engines: Array.from({length: engineCount}, (_, index) => ({
			engine: {stepMs: index === 0 ? slowStepMs : stepMs, maxBatch, prefillTokensPerStep}, loadLagMs, cacheEventGap,
		})),
		capacityRequests: maxBatch,
		accounts,
		entries: 2,
	});
	const requests = workload(seed);
	const outcomes = await sendAll(running.caller, requests);
	const events = await Promise.all(running.engines.map(async engine => storedPrefixes(engine.url)));
	await running.stop();
	const misses = events.reduce((sum, stored) => sum + stored, 0);
	return {
		system,
		offered: outcomes.length,
		whole: countOf(outcomes, 'whole'),
		p50FirstTokenMs: firstTokenPercentileMs(outcomes, 50),
		p99FirstTokenMs: firstTokenPercentileMs(outcomes, 99),
		cacheHitRatio: ratio(outcomes.length - misses, outcomes.length),
	};
}

function workload(seed: number): LoadRequest[] {
	return accounts.flatMap((clientAccount, index) => {
		const random = seededRandom(seed + index);
		const shapes = seededRandom(seed + accounts.length + index);
		return poissonRequests({
			clientAccount,
			requestsPerSecond: requestsPerSecond / accounts.length,
			durationMs,
			deadlineMs,
			shape: number => shapeOf(number, shapes),
		}, random);
	});
}

function shapeOf(number: number, random: Random): {prompt: string; maxTokens: number} {
	const prefix = `menu ${skewedIndex(prefixCount, random)} `.repeat(prefixCharacters).slice(0, prefixCharacters);
	const characters = random() < longPromptShare ? longPromptCharacters : shortPromptCharacters;
	const maxTokens = random() < longAnswerShare ? longAnswerTokens : shortAnswerTokens;
	return {prompt: `${prefix}${`${number} `.repeat(characters).slice(0, characters)}`, maxTokens};
}

/** Upper bound of the stored prefixes: the sequence number of the last published event plus one, as nothing is evicted here. */
async function storedPrefixes(url: string): Promise<number> {
	const answer = await fetch(`${url}/cache-events`);
	const events = await answer.json() as ReadonlyArray<{readonly sequence: number}>;
	return (events.at(-1)?.sequence ?? -1) + 1;
}

const routing = new RoutingExperiment();

export default routing;
