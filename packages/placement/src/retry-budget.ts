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

/** Part of the allowance that is used, since entries see different spans and the number of entries may be out of date. */
const usedShare = 0.6;

type Window = {requests: number[]; retries: number[]};

/** The part of one entry. */
export class RetryBudget {
	readonly #allowance: RetryAllowance;
	readonly #windows = new Map<string, Window>();

	constructor(allowance: RetryAllowance) {
		this.#allowance = allowance;
	}

	/** Counts a request for a service. */
	request(service: string, nowMs: number): void {
		this.#window(service, nowMs).requests.push(nowMs);
	}

	/** Takes one send beyond the first; false if the part of this entry is used up. */
	take(service: string, nowMs: number, entryCount: number): boolean {
		const {ratio, slack} = this.#allowance;
		const {requests, retries} = this.#window(service, nowMs);
		const allowed = usedShare * ((ratio * requests.length) + (slack / Math.max(1, entryCount)));
		if (retries.length + 1 > allowed) {
			return false;
		}

		retries.push(nowMs);
		return true;
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
