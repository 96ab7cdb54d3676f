/**
A model engine without its HTTP interface: continuous batching in steps, a prefix cache of limited size,
priorities, and cancellation, export and import of requests.

In each step every prefilled running request generates one token. Waiting requests are admitted by priority, then by
age; the number of prompt tokens prefilled per step is limited.
*/

import {createHash} from 'node:crypto';

export type EngineOptions = {
	/** Duration of a step. */
	readonly stepMs: number;
	/** Maximum number of requests that run at the same time. */
	readonly maxBatch: number;
	/** Maximum number of prompt tokens prefilled per step, over all requests. */
	readonly prefillTokensPerStep: number;
	/** Capacity of the prefix cache in prompt tokens. */
	readonly cacheTokens: number;
};

/** Defaults for a small embedded engine. */
export const defaultEngineOptions: EngineOptions = {
	stepMs: 20, maxBatch: 16, prefillTokensPerStep: 512, cacheTokens: 65_536,
};

/** A request to an engine. */
export type EngineRequest = {
	readonly requestId: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Requests with greater values are admitted first. */
	readonly priority: number;
	/** Keeps the cached prefixes of different client accounts apart. */
	readonly cacheSalt: string;
	/** Number of tokens that another engine has already generated. */
	readonly generatedTokens: number;
};

/** An event of a running request. */
export type EngineEvent
	= | {readonly kind: 'token'; readonly index: number; readonly text: string}
		| {readonly kind: 'finished'; readonly reason: 'length' | 'cancelled'};

export type EngineLoad = {
	readonly runningRequests: number;
	readonly waitingRequests: number;
	readonly queuedTokens: number;
	readonly cachedTokens: number;
	readonly tokensPerSecond: number;
};

/** A change of the prefix cache. */
export type CacheEvent = {readonly sequence: number; readonly kind: 'stored' | 'evicted'; readonly prefixDigest: string; readonly tokens: number};

type EngineEventListener = (event: EngineEvent) => void;
type ActiveRequest = {readonly request: EngineRequest; readonly listener: EngineEventListener; remainingPrefillTokens: number; generated: number};

/** Number of characters that count as one token. */
const charactersPerToken = 4;

/** Length in tokens of the prompt prefix that is cached. */
const prefixTokens = 64;

/** Holds the state of the engine and advances it step by step. */
export class EngineCore {
	readonly #options: EngineOptions;
	readonly #waiting: ActiveRequest[] = [];
	readonly #running: ActiveRequest[] = [];
	readonly #cache = new Map<string, number>();
	readonly #cacheEvents: CacheEvent[] = [];
	#cachedTokens = 0;

	constructor(options: EngineOptions) {
		this.#options = options;
	}

	/** All cache events, oldest first. */
	get cacheEvents(): readonly CacheEvent[] {
		return this.#cacheEvents;
	}

	/** Whether any request is waiting or running. */
	get isBusy(): boolean {
		return this.#waiting.length + this.#running.length > 0;
	}

	/** The current load. */
	get load(): EngineLoad {
		const all = [...this.#waiting, ...this.#running];
		let queuedTokens = 0;
		for (const {request, remainingPrefillTokens, generated} of all) {
			queuedTokens += remainingPrefillTokens + request.maxTokens - generated;
		}

		return {
			runningRequests: this.#running.length,
			waitingRequests: this.#waiting.length,
			queuedTokens,
			cachedTokens: this.#cachedTokens,
			tokensPerSecond: this.#options.maxBatch * 1000 / this.#options.stepMs,
		};
	}

	/** Queues a request by priority. */
	submit(request: EngineRequest, listener: EngineEventListener): void {
		const promptTokens = countTokens(request.prompt);
		const cached = this.#lookUpAndCachePrefix(request);
		const activeRequest: ActiveRequest = {
			request, listener, remainingPrefillTokens: Math.max(0, promptTokens - cached), generated: request.generatedTokens,
		};
		const index = this.#waiting.findIndex(other => other.request.priority < request.priority);
		this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, activeRequest);
	}

	/** Cancels a request; returns false if it is unknown. */
	cancel(requestId: string): boolean {
		const found = this.#removeRequest(requestId);
		found?.listener({kind: 'finished', reason: 'cancelled'});
		return found !== undefined;
	}

	/** Removes a request and returns the state needed to continue it on another engine. */
	exportRequest(requestId: string): EngineRequest | undefined {
		const found = this.#removeRequest(requestId);
		if (!found) {
			return undefined;
		}

		found.listener({kind: 'finished', reason: 'cancelled'});
		return {...found.request, generatedTokens: found.generated};
	}

	/** Queues an exported request ahead of all others; its prompt is not prefilled again. */
	importRequest(request: EngineRequest, listener: EngineEventListener): void {
		this.#waiting.unshift({
			request, listener, remainingPrefillTokens: 0, generated: request.generatedTokens,
		});
	}

	/** Runs one step: admits waiting requests, prefills prompts and decodes one token per prefilled request. */
	step(): void {
		while (this.#running.length < this.#options.maxBatch && this.#waiting.length > 0) {
			this.#running.push(this.#waiting.shift()!);
		}

		let remainingPrefillBudget = this.#options.prefillTokensPerStep;
		for (const running of this.#running) {
			const prefilledTokens = Math.min(remainingPrefillBudget, running.remainingPrefillTokens);
			running.remainingPrefillTokens -= prefilledTokens;
			remainingPrefillBudget -= prefilledTokens;
			if (running.remainingPrefillTokens === 0) {
				this.#decode(running);
			}
		}
	}

	#decode(running: ActiveRequest): void {
		const {request, listener} = running;
		if (running.generated < request.maxTokens) {
			const index = running.generated;
			running.generated++;
			listener({kind: 'token', index, text: tokenText(request.prompt, index)});
		}

		if (running.generated >= request.maxTokens) {
			this.#removeRequest(request.requestId);
			listener({kind: 'finished', reason: 'length'});
		}
	}

	#removeRequest(requestId: string): ActiveRequest | undefined {
		for (const list of [this.#running, this.#waiting]) {
			const index = list.findIndex(running => running.request.requestId === requestId);
			if (index !== -1) {
				return list.splice(index, 1)[0];
			}
		}

		return undefined;
	}

	/** Returns the number of prompt tokens found in the cache, and stores the prefix of the prompt as the most recently used. */
	#lookUpAndCachePrefix(request: EngineRequest): number {
		const digest = prefixDigest(request.prompt, request.cacheSalt);
		const tokens = Math.min(prefixTokens, countTokens(request.prompt));
		const isCached = this.#cache.delete(digest);
		this.#cache.set(digest, tokens);
		if (isCached) {
			return tokens;
		}

		this.#cachedTokens += tokens;
		this.#recordCacheEvent('stored', digest, tokens);
		this.#evictToLimit();
		return 0;
	}

	#evictToLimit(): void {
		for (const [digest, tokens] of this.#cache) {
			if (this.#cachedTokens <= this.#options.cacheTokens) {
				return;
			}

			this.#cache.delete(digest);
			this.#cachedTokens -= tokens;
			this.#recordCacheEvent('evicted', digest, tokens);
		}
	}

	#recordCacheEvent(kind: CacheEvent['kind'], digest: string, tokens: number): void {
		this.#cacheEvents.push({
			sequence: this.#cacheEvents.length, kind, prefixDigest: digest, tokens,
		});
	}
}

/** Counts the tokens of a text. */
export function countTokens(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/** Computes the digest under which the prefix of a prompt is cached for a cache salt. */
export function prefixDigest(prompt: string, cacheSalt: string): string {
	const prefix = prompt.slice(0, prefixTokens * charactersPerToken);
	return createHash('sha256').update(`${cacheSalt}\n${prefix}`).digest('hex').slice(0, 16);
}

/** Returns the token generated at an index. It depends only on the prompt and the index, so that tests can verify responses from any engine. */
export function tokenText(prompt: string, index: number): string {
	return createHash('sha256').update(`${index}\n${prompt}`).digest('hex').slice(0, 6);
}
