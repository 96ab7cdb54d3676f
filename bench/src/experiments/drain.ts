/**
Gracefully stops a target, an entry, an agent and the control daemon under 64 streams. Measures how long a draining target
still receives new requests, and how many answers are truncated.
*/

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {EngineServer} from '@rattanspring/stand-ins';
import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {callerSecret, ProcessTestbed} from '../process-testbed.js';

const host = '127.0.0.1';
const streams = 64;
const tokens = 100;
const stepMs = 20;
const engineCount = 3;
const entryCount = 3;
const settleMs = 3000;
const runPollMs = 10;
const pauseMs = 100;
const maxDispatchMs = 3000;
const source = 'issue 5, bench drain';

class Tally {
	whole = 0;
	cut = 0;
	refused = 0;
	notConnected = 0;
}

/** Callers that cache the answer of `GET /v1/entries` for its `maxAgeMs`. */
class Callers {
	readonly tally = new Tally();
	isStopped = false;
	readonly #testbed: ProcessTestbed;
	#urls: readonly string[];
	#refreshAtMs = 0;
	#count = 0;

	constructor(testbed: ProcessTestbed) {
		this.#testbed = testbed;
		this.#urls = testbed.entryUrls;
	}

	async run(): Promise<void> {
		await Promise.all(Array.from({length: streams}, async () => {
			while (!this.isStopped) {
				await this.#request();
			}
		}));
	}

	async #request(): Promise<void> {
		await this.#refresh();
		this.#count++;
		const url = this.#urls[this.#count % this.#urls.length];
		const body = {
			model: 'draft-model', stream: true, max_tokens: tokens, messages: [{role: 'user', content: `draft ${this.#count}`}], // eslint-disable-line @typescript-eslint/naming-convention
		};
		const answer = await this.#post(url, JSON.stringify(body));
		if (!answer) {
			return;
		}

		try {
			const text = await answer.text();
			const isWhole = text.endsWith('data: [DONE]\n\n') && [...text.matchAll(/^id: /gm)].length === tokens;
			this.tally[isWhole ? 'whole' : (answer.status === 200 ? 'cut' : 'refused')]++;
			if (answer.status !== 200) {
				await sleep(pauseMs);
			}
		} catch {
			this.tally.cut++;
		}
	}

	async #post(url: string, body: string): Promise<Response | undefined> {
		try {
			return await fetch(`${url}/v1/chat/completions`, {
				method: 'POST', headers: {authorization: `Bearer ${callerSecret}`, 'content-type': 'application/json'}, body,
			});
		} catch {
			this.tally.notConnected++;
			await sleep(pauseMs);
			return undefined;
		}
	}

	async #refresh(): Promise<void> {
		if (performance.now() < this.#refreshAtMs) {
			return;
		}

		this.#refreshAtMs = Number.POSITIVE_INFINITY;
		for (const url of this.#testbed.entryUrls) {
			try {
				const answer = await fetch(`${url}/v1/entries`, {headers: {authorization: `Bearer ${callerSecret}`}});
				const {entries, maxAgeMs} = await answer.json() as {entries: Array<{url: string}>; maxAgeMs: number};
				if (entries.length > 0) {
					this.#urls = entries.map(entry => entry.url);
					this.#refreshAtMs = performance.now() + maxAgeMs;
					return;
				}
			} catch {
				// This entry is unreachable; try the next one.
			}
		}

		this.#refreshAtMs = 0;
	}
}

class DrainExperiment extends Experiment {
	get summary(): string {
		return 'new work of a leaving target, and answers cut by planned stops, under 64 streams';
	}

	async run({log}: ExperimentOptions): Promise<ExperimentResult> {
		const engines = Array.from({length: engineCount}, () => new EngineServer({host, port: 0, engine: {stepMs, maxBatch: streams}}));
		await Promise.all(engines.map(async engine => engine.start()));
		const testbed = await ProcessTestbed.start({
			entries: entryCount,
			targets: engines.map((engine, index) => ({
				targetId: `engine-${index + 1}`, baseUrl: engine.url, kind: 'model', services: ['draft-model'], capacityRequests: streams,
			})),
		});
		const callers = new Callers(testbed);
		const running = callers.run();
		try {
			await sleep(settleMs);
			const lastDispatchMs = await stopTarget(testbed, engines);
			log(`target stopped: ${JSON.stringify(callers.tally)}`);
			await testbed.drain(testbed.entries[0]);
			log(`entry stopped: ${JSON.stringify(callers.tally)}`);
			await testbed.drain(testbed.agents[1]);
			log(`agent stopped: ${JSON.stringify(callers.tally)}`);
			await testbed.drain(testbed.control);
			log(`control stopped: ${JSON.stringify(callers.tally)}`);
			await sleep(settleMs);
			callers.isStopped = true;
			await running;
			return resultOf(callers.tally, lastDispatchMs);
		} finally {
			callers.isStopped = true;
			await testbed.stop();
			await Promise.all(engines.map(async engine => engine.stop()));
		}
	}
}

/** Stops an agent, then its target. Returns the time from the signal to the agent until the target received its last new request. */
async function stopTarget(testbed: ProcessTestbed, engines: readonly EngineServer[]): Promise<number> {
	const [engine] = engines;
	const startedAtMs = performance.now();
	let knownRuns = engine.runs.size;
	let lastDispatchMs = 0;
	const agent = testbed.agents[0].process.child;
	const gone = testbed.drain(testbed.agents[0]);
	while (agent.exitCode === null && agent.signalCode === null) {
		await sleep(runPollMs);
		if (engine.runs.size !== knownRuns) {
			knownRuns = engine.runs.size;
			lastDispatchMs = performance.now() - startedAtMs;
		}
	}

	await gone;
	await engine.stop();
	return Math.round(lastDispatchMs);
}

function resultOf(tally: Tally, lastDispatchMs: number): ExperimentResult {
	return {
		figures: {streams, lastDispatchMs, ...tally},
		bounds: [
			{figure: 'lastDispatchMs', atMost: maxDispatchMs, source},
			{figure: 'cut', atMost: 0, source},
			{figure: 'notConnected', atMost: 0, source},
			{figure: 'whole', atLeast: streams, source: 'each stream was used at least once'},
		],
	};
}

const experiment = new DrainExperiment();

export default experiment;
