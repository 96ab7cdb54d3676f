/**
A request that crashes every target that runs it is resent immediately after each failure, through the entries round robin,
while ordinary requests run. Measures how many targets are lost and whether any ordinary request is refused.
*/

import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {startSystem, systems, type System} from '../load/bench-fleet.js';
import {sendAll, type Caller, type LoadOutcome} from '../load/caller.js';
import {countOf} from '../load/figures.js';
import {poissonRequests, seededRandom, type LoadRequest} from '../load/workload.js';

const engineCount = 6;
const entryCount = 3;
const resends = 20;
const stepMs = 20;
const maxBatch = 8;
const maxTokens = 12;
const durationMs = 8000;
const deadlineMs = 15_000;
const innocentPerSecond = 8;
const crashText = 'the reel that no engine survives';
const crashingAccount = 'account-1';

/** The account of the crashing request also sends ordinary requests. */
const innocentAccounts = [crashingAccount, 'account-2', 'account-3'];

/** Delay before the crashing request, so that ordinary requests are already in progress. */
const crashAfterMs = 1500;

const source = 'issue 5, bench crashing-request';

type Row = {
	readonly system: System;
	readonly targetsLost: number;
	readonly crashingSent: number;
	readonly crashingRefusedBySuspect: number;
	readonly innocentOffered: number;
	readonly innocentWhole: number;
	readonly innocentRefused: number;
	readonly innocentFailed: number;
};

class CrashingRequestExperiment extends Experiment {
	get summary(): string {
		return 'Targets lost to one request that crashes them and is resent 20 times; innocent requests refused.';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Row[] = [];
		for (const system of systems) {
			const row = await measure(system, seed);
			log(JSON.stringify(row));
			rows.push(row);
		}

		const lostOf = (system: System): number => rows.find(row => row.system === system)!.targetsLost;
		return {
			figures: {
				targets: engineCount,
				targetsLost: lostOf('fleet'),
				targetsLostRoundRobin: lostOf('roundRobin'),
				targetsLostLeastOutstanding: lostOf('leastOutstanding'),
				innocentRefused: rows.find(row => row.system === 'fleet')!.innocentRefused,
				runs: rows,
			},
			bounds: [
				{figure: 'targetsLost', atMost: 2, source},
				{figure: 'innocentRefused', atMost: 0, source},
			],
		};
	}
}

async function measure(system: System, seed: number): Promise<Row> {
	const crashed = new Set<number>();
	const running = await startSystem(system, {
		engines: Array.from({length: engineCount}, (_, index) => ({
			engine: {stepMs, maxBatch},
			crashText,
			onCrash() {
				crashed.add(index);
				void running.engines[index].stop();
			},
		})),
		capacityRequests: maxBatch,
		accounts: innocentAccounts,
		entries: entryCount,
	});
	const innocent = innocentAccounts.flatMap((clientAccount, index) => poissonRequests({
		clientAccount,
		requestsPerSecond: innocentPerSecond,
		durationMs,
		deadlineMs,
		shape: number => ({prompt: `${clientAccount} looks up reel ${number}`, maxTokens}),
	}, seededRandom(seed + index)));
	const [outcomes, crashing] = await Promise.all([sendAll(running.caller, innocent), resendCrashing(running.caller)]);
	await running.stop();
	return {
		system,
		targetsLost: crashed.size,
		crashingSent: crashing.length,
		crashingRefusedBySuspect: crashing.filter(outcome => outcome.problem === 'suspectRefused').length,
		innocentOffered: outcomes.length,
		innocentWhole: countOf(outcomes, 'whole'),
		innocentRefused: countOf(outcomes, 'refused'),
		innocentFailed: countOf(outcomes, 'failed') + countOf(outcomes, 'late'),
	};
}

/** Resends the crashing request immediately after each failure; the caller uses the entries round robin. */
async function resendCrashing(caller: Caller): Promise<LoadOutcome[]> {
	await new Promise(resolve => {
		setTimeout(resolve, crashAfterMs);
	});
	const request: LoadRequest = {
		atMs: 0, clientAccount: crashingAccount, prompt: `${crashText}, please`, maxTokens, deadlineMs,
	};
	const outcomes: LoadOutcome[] = [];
	for (let sent = 0; sent <= resends; sent++) {
		outcomes.push(await caller.send(request));
	}

	return outcomes;
}

const crashingRequest = new CrashingRequestExperiment();

export default crashingRequest;
