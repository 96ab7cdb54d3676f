/**
The budget for sending a request to a second target. All entries share what operators allow a service within a sliding
window; each takes its part of it without asking the others, so that their sum stays within bounds.
*/

/** What operators allow, for a service and any span of the window's length. */
export type RetryAllowance = {
	/** Sends beyond the first, as a share of the requests. */
	readonly ratio: number;
	/** Sends beyond the first that are allowed besides. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the allowance that is used: entries learn a little late that another one has come. */
const usedShare = 0.85;

type Window = {requests: number[]; retries: number[]};

type Count = {readonly entryCount: number; readonly atMs: number};

/** The part of one entry. */
export class RetryBudget {
	readonly #allowance: RetryAllowance;
	readonly #windows = new Map<string, Window>();
	/** Falling numbers of entries, each with the time of its last use: entries that went have used their parts of the window. */
	#counts: Count[] = [];

	constructor(allowance: RetryAllowance) {
		this.#allowance = allowance;
	}

	/** Counts a request for a service. */
	recordRequest(service: string, nowMs: number): void {
		this.#window(service, nowMs).requests.push(nowMs);
	}

	/** Takes one send beyond the first; false if the part of this entry is used up. */
	tryAcquire(service: string, nowMs: number, entryCount: number): boolean {
		const {ratio, slack} = this.#allowance;
		const {requests, retries} = this.#window(service, nowMs);
		const allowed = usedShare * ((ratio * requests.length) + (slack / this.#mostEntries(entryCount, nowMs)));
		if (retries.length + 1 > allowed) {
			return false;
		}

		retries.push(nowMs);
		return true;
	}

	/** The most entries within the window. */
	#mostEntries(entryCount: number, nowMs: number): number {
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
