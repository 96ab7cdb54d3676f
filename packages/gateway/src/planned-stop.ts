/**
The planned stop of an entry: since when it is under way, and which requests the entry still takes on. Callers go on using addresses that they were told before for
some time, and open connections for longer. What can't be answered before the stop ends is refused while its caller can still go elsewhere.

All times are milliseconds of one steady clock.
*/

/** A request in progress that ends with the process. */
export type Stoppable = {
	/** Refuses the request if it was not sent to any target. */
	readonly refuseUnsent: () => void;
	/** Ends the request at the end of the stop. */
	readonly endAtStop: () => void;
};

/** How a stop goes on. */
export type StopSchedule = {
	/** Time for which callers go on using the addresses that they were told before the stop. */
	readonly addressLifetimeMs: number;
	/** Time at which requests in progress are ended. */
	readonly limitMs: number;
};

/** `Retry-After` of an entry that is being stopped: another one is free to take the request. */
export const stoppingRetryAfterMs = 0;

/** The platform counts from the signal, which a busy process handles later. */
const signalDelayMs = 300;

/** A stop with little time takes on requests for at most this share of it, so that the others can still be answered. */
const takingOnShare = 0.5;

/** The stop of one entry. */
export class PlannedStop {
	#begun: (StopSchedule & {readonly atMs: number}) | undefined;

	/** Begins the stop. */
	begin(schedule: StopSchedule, nowMs: number): void {
		this.#begun ??= {...schedule, atMs: nowMs};
	}

	get isBegun(): boolean {
		return this.#begun !== undefined;
	}

	/** Time from the begin of the stop to a moment, negative if that came before it; undefined if the entry is not being stopped. */
	sinceBegunMs(atMs: number): number | undefined {
		return this.#begun && atMs - this.#begun.atMs;
	}

	/** Time from the begin of the stop for which all requests are taken on. */
	get takingOnMs(): number {
		return this.#begun ? Math.min(this.#begun.addressLifetimeMs - signalDelayMs, this.#begun.limitMs * takingOnShare) : Number.POSITIVE_INFINITY;
	}

	/** Whether a request may be sent to a target: later than callers have a reason to come here, only if its deadline ends before the stop does. */
	mayTakeOn({nowMs, deadlineAtMs}: {readonly nowMs: number; readonly deadlineAtMs: number}): boolean {
		return this.#begun === undefined || nowMs - this.#begun.atMs < this.takingOnMs || deadlineAtMs <= this.#begun.atMs + this.#begun.limitMs;
	}
}
