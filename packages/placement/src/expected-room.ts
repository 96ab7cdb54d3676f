/**
Expected time until this entry gets a slot for one more request of a service, from the rate at which it got slots in the last second: its admissions while
requests were queued, and the ends of its requests.

Load that this answers: bursts above the capacity, and the loss of a part of the targets, at which requests that cannot be served in time are better refused
at once than after a wait.
*/

/** Time over which the rate is measured. */
const windowMs = 1000;

/** This many misses within this time are too little room: an entry sees only its part of the requests, and a single one is chance. */
const shortFromMisses = 3;
const shortMs = 2000;

type Observed = {
	/** Start of the time without a gap of a whole window in which there were any requests. */
	sinceMs: number;
	lastAtMs: number;
	/** Admissions while requests were queued. */
	admittedAtMs: number[];
	/** Ends of requests whose slots can be used again. */
	endedAtMs: number[];
};

/** The rates of an entry by service. */
export class ExpectedRoom {
	readonly #services = new Map<string, Observed>();
	readonly #missedAtMs = new Map<string, number[]>();

	/** Records that a request got a slot while requests were queued. */
	recordAdmitted(service: string, nowMs: number): void {
		this.#observe(service, nowMs).admittedAtMs.push(nowMs);
	}

	/** Records that a request of this entry ended and left its slot free. */
	recordEnded(service: string, nowMs: number): void {
		this.#observe(service, nowMs).endedAtMs.push(nowMs);
	}

	/** Records that a request found no slot: from now on, time without a slot counts. */
	recordBlocked(service: string, nowMs: number): void {
		this.#observe(service, nowMs);
	}

	/** Records that a request that could have been on time did not get a slot in time. */
	recordMissed(service: string, nowMs: number): void {
		const recent = (this.#missedAtMs.get(service) ?? []).filter(atMs => nowMs - atMs < shortMs);
		this.#missedAtMs.set(service, [...recent, nowMs].slice(-shortFromMisses));
	}

	/** Whether several requests that could have been on time found no room lately. */
	isShort(service: string, nowMs: number): boolean {
		const missed = this.#missedAtMs.get(service) ?? [];
		return missed.length === shortFromMisses && nowMs - missed[0] < shortMs;
	}

	/** Time between two slots. Without any slot in the time observed it is at least that time, so nothing is expected of a service that has just begun. */
	intervalMs(service: string, nowMs: number): number {
		const observed = this.#services.get(service);
		if (!observed || nowMs - observed.lastAtMs >= windowMs) {
			return 0;
		}

		removeBefore(observed, nowMs - windowMs);
		const observedMs = Math.min(windowMs, nowMs - observed.sinceMs);
		return observedMs / Math.max(1, observed.admittedAtMs.length, observed.endedAtMs.length);
	}

	/** Time until there is a slot for a request behind the given number of others. */
	waitMs(service: string, aheadCount: number, nowMs: number): number {
		return (aheadCount + 1) * this.intervalMs(service, nowMs);
	}

	#observe(service: string, nowMs: number): Observed {
		let observed = this.#services.get(service);
		if (!observed || nowMs - observed.lastAtMs >= windowMs) {
			observed = {
				sinceMs: nowMs, lastAtMs: nowMs, admittedAtMs: [], endedAtMs: [],
			};
			this.#services.set(service, observed);
		}

		observed.lastAtMs = nowMs;
		removeBefore(observed, nowMs - windowMs);
		return observed;
	}
}

function removeBefore({admittedAtMs, endedAtMs}: Observed, beforeMs: number): void {
	for (const times of [admittedAtMs, endedAtMs]) {
		while (times.length > 0 && times[0] <= beforeMs) {
			times.shift();
		}
	}
}
