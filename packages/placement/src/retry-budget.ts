/**
Budget for retries, that is for sending a request to another target. The allowance that operators set for a service applies to all entries
together within a sliding window. Each entry uses only its share of it, without coordination, so that the sum stays within the allowance.
*/

/** Retries that operators allow for a service within any span of the window's length. */
export type RetryAllowance = {
	/** Retries as a share of the requests. */
	readonly ratio: number;
	/** Retries allowed in addition to `ratio`. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Share of the allowance that is used: entries learn with a delay that another one has joined. */
const usableShare = 0.85;

type Window = {requests: number[]; retries: number[]};

type EntryCountSample = {readonly entryCount: number; readonly atMs: number};

/** Retry budget of one entry. */
export class RetryBudget {
	readonly #allowance: RetryAllowance;
	readonly #windows = new Map<string, Window>();
	/** Decreasing entry counts within the window, each with the time of its last use: entries that have left used their shares of the window. */
	#counts: EntryCountSample[] = [];

	constructor(allowance: RetryAllowance) {
		this.#allowance = allowance;
	}

	/** Counts a request to a service. */
	recordRequest(service: string, nowMs: number): void {
		this.#window(service, nowMs).requests.push(nowMs);
	}

	/** Takes one retry from the budget; false if this entry's share is used up. */
	tryConsume(service: string, nowMs: number, entryCount: number): boolean {
		const isLeft = this.isLeft(service, nowMs, entryCount);
		if (isLeft) {
			this.#window(service, nowMs).retries.push(nowMs);
		}

		return isLeft;
	}

	/** Whether this entry's share has a retry left. */
	isLeft(service: string, nowMs: number, entryCount: number): boolean {
		const {ratio, slack} = this.#allowance;
		const {requests, retries} = this.#window(service, nowMs);
		const allowed = usableShare * ((ratio * requests.length) + (slack / this.#maxEntryCount(entryCount, nowMs)));
		return retries.length + 1 <= allowed;
	}

	/** Largest entry count within the window. */
	#maxEntryCount(entryCount: number, nowMs: number): number {
		const sinceMs = nowMs - this.#allowance.windowMs;
		this.#counts = this.#counts.filter(count => count.atMs > sinceMs && count.entryCount > entryCount);
		this.#counts.push({entryCount: Math.max(1, entryCount), atMs: nowMs});
		return this.#counts[0].entryCount;
	}

	#window(service: string, nowMs: number): Window {
		const window = this.#windows.get(service) ?? {requests: [], retries: []};
		this.#windows.set(service, window);
		const sinceMs = nowMs - this.#allowance.windowMs;
		dropBefore(window.requests, sinceMs);
		dropBefore(window.retries, sinceMs);
		return window;
	}
}

function dropBefore(times: number[], sinceMs: number): void {
	const keep = times.findIndex(timeMs => timeMs > sinceMs);
	times.splice(0, keep === -1 ? times.length : keep);
}
