/**
Clients of an experiment: they send chat requests over HTTP and time the answers.
*/

import {Agent, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import Wreck from '@hapi/wreck';
import type {LoadRequest} from './workload.js';

/** Last event of a complete stream. */
const endOfStream = 'data: [DONE]';

/** How a request ended. */
export type LoadOutcome = {
	readonly request: LoadRequest;
	/** `whole` within the deadline, `late`, `refused` by the system, `failed` otherwise. */
	readonly kind: 'whole' | 'late' | 'refused' | 'failed';
	readonly firstTokenMs: number;
	readonly totalMs: number;
	/** The `execution` member of a refusal; empty if there is none. */
	readonly execution: string;
	/** The `type` member of a problem document; empty for an answer. */
	readonly problem: string;
};

/** URL and headers with which one request is sent. */
export type Destination = {readonly url: string; readonly headers: Readonly<Record<string, string>>};

/** Sends requests; subclasses choose the destination. */
export abstract class Caller {
	readonly #agent = new Agent({keepAlive: true, maxSockets: Number.POSITIVE_INFINITY});

	/** Sends a request and waits for its end. */
	async send(request: LoadRequest): Promise<LoadOutcome> {
		const startedAtMs = performance.now();
		const destination = this.chooseDestination(request);
		try {
			return await this.#exchange(request, destination, startedAtMs);
		} catch {
			return ended(request, 'failed', startedAtMs, {});
		} finally {
			this.ended(destination);
		}
	}

	/** Closes all connections. */
	close(): void {
		this.#agent.destroy();
	}

	/** Chooses the destination of a request. */
	protected abstract chooseDestination(request: LoadRequest): Destination;

	/** Called when a request to a destination has ended. */
	protected abstract ended(destination: Destination): void;

	async #exchange(request: LoadRequest, {url, headers}: Destination, startedAtMs: number): Promise<LoadOutcome> {
		const answer = await Wreck.request('POST', `${url}/v1/chat/completions`, {
			agent: this.#agent,
			headers: {'content-type': 'application/json', 'x-remaining-ms': String(request.deadlineMs), ...headers},
			payload: JSON.stringify({
				model: 'draft-model', stream: true, max_tokens: request.maxTokens, messages: [{role: 'user', content: request.prompt}], // eslint-disable-line @typescript-eslint/naming-convention
			}),
		});
		const timer = setTimeout(() => {
			answer.destroy();
		}, Math.max(0, request.deadlineMs - (performance.now() - startedAtMs)));
		try {
			return await readAnswer(answer, request, startedAtMs);
		} finally {
			clearTimeout(timer);
		}
	}
}

async function readAnswer(answer: IncomingMessage, request: LoadRequest, startedAtMs: number): Promise<LoadOutcome> {
	let firstTokenMs: number | undefined;
	let text = '';
	for await (const chunk of answer) {
		firstTokenMs ??= performance.now() - startedAtMs;
		text += String(chunk);
	}

	if (answer.statusCode === 200 && text.includes(endOfStream)) {
		const isLate = performance.now() - startedAtMs > request.deadlineMs;
		return ended(request, isLate ? 'late' : 'whole', startedAtMs, {firstTokenMs});
	}

	const problem = problemOf(answer, text);
	const isRefused = answer.statusCode === 503 || answer.statusCode === 429 || answer.statusCode === 422;
	return ended(request, isRefused ? 'refused' : 'failed', startedAtMs, {execution: problem.execution, problem: problem.type});
}

function problemOf(answer: IncomingMessage, text: string): {readonly type: string; readonly execution: string} {
	if (!answer.headers['content-type']?.startsWith('application/problem+json')) {
		return {type: 'none', execution: ''};
	}

	return JSON.parse(text) as {type: string; execution: string};
}

type OutcomeDetails = {readonly firstTokenMs?: number; readonly execution?: string; readonly problem?: string};

function ended(request: LoadRequest, kind: LoadOutcome['kind'], startedAtMs: number, details: OutcomeDetails): LoadOutcome {
	return {
		request, kind, totalMs: performance.now() - startedAtMs, firstTokenMs: details.firstTokenMs ?? Number.NaN, execution: details.execution ?? '', problem: details.problem ?? '',
	};
}

/** Calls the entries of a fleet round robin, each account with its own caller key. */
export class FleetCaller extends Caller {
	readonly #entryUrls: readonly string[];
	readonly #secretOf: (clientAccount: string) => string;
	#next = 0;

	constructor(entryUrls: readonly string[], secretOf: (clientAccount: string) => string) {
		super();
		this.#entryUrls = entryUrls;
		this.#secretOf = secretOf;
	}

	protected chooseDestination(request: LoadRequest): Destination {
		const url = this.#entryUrls[this.#next % this.#entryUrls.length];
		this.#next++;
		return {url, headers: {authorization: `Bearer ${this.#secretOf(request.clientAccount)}`}};
	}

	protected ended(): void {
		// The fleet balances load itself.
	}
}

/** First baseline: calls the engines round robin. */
export class RoundRobinCaller extends Caller {
	readonly #engineUrls: readonly string[];
	#next = 0;

	constructor(engineUrls: readonly string[]) {
		super();
		this.#engineUrls = engineUrls;
	}

	protected chooseDestination(request: LoadRequest): Destination {
		const url = this.#engineUrls[this.#next % this.#engineUrls.length];
		this.#next++;
		return {url, headers: {'x-cache-salt': request.clientAccount}};
	}

	protected ended(): void {
		// Round robin keeps no counts.
	}
}

/** Second baseline: calls the engine with the fewest requests in progress. */
export class LeastOutstandingCaller extends Caller {
	readonly #outstanding: Map<string, number>;

	constructor(engineUrls: readonly string[]) {
		super();
		this.#outstanding = new Map(engineUrls.map(url => [url, 0]));
	}

	protected chooseDestination(request: LoadRequest): Destination {
		const [[url, count]] = [...this.#outstanding].toSorted((left, right) => left[1] - right[1]);
		this.#outstanding.set(url, count + 1);
		return {url, headers: {'x-cache-salt': request.clientAccount}};
	}

	protected ended({url}: Destination): void {
		this.#outstanding.set(url, this.#outstanding.get(url)! - 1);
	}
}

/** Sends each request at its time and waits until all have ended. */
export async function sendAll(caller: Caller, requests: readonly LoadRequest[]): Promise<LoadOutcome[]> {
	return Promise.all(requests.map(async request => {
		await new Promise(resolve => {
			setTimeout(resolve, request.atMs);
		});
		return caller.send(request);
	}));
}
