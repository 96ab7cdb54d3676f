/**
Processes the admission queue while requests wait: when the turn of one changes by the passing of time. Slots that become free and figures that arrive are
processed as they come, by others.

Load that this answers: overload that lasts, in which an entry has waiting requests all the time.
*/

/** Longest time between two rounds: pauses that targets ask for, and backoffs after failures, end without an event. */
const maxPauseMs = 50;

/** Options of the timer. */
export type QueueTimerOptions = {
	readonly nowMs: () => number;
	/** When the turn of a waiting request next changes; `Infinity` without one. */
	readonly nextChangeAtMs: (nowMs: number) => number;
	/** Processes the queue; returns whether requests still wait. */
	readonly process: () => boolean;
};

/** The timer of one entry. It runs only while requests wait. */
export class QueueTimer {
	readonly #options: QueueTimerOptions;
	#timer: NodeJS.Timeout | undefined;
	#dueAtMs = Number.POSITIVE_INFINITY;

	constructor(options: QueueTimerOptions) {
		this.#options = options;
	}

	/** Sets the timer, or brings it forward: to be called when a request begins to wait. */
	schedule(): void {
		const {nowMs, nextChangeAtMs} = this.#options;
		const now = nowMs();
		const dueAtMs = Math.min(nextChangeAtMs(now), now + maxPauseMs);
		if (dueAtMs >= this.#dueAtMs) {
			return;
		}

		clearTimeout(this.#timer);
		this.#dueAtMs = dueAtMs;
		this.#timer = setTimeout(() => {
			// After a stall of the process, callers that have left meanwhile are read before their requests are sent.
			setImmediate(() => {
				this.#run();
			});
		}, dueAtMs - now);
	}

	#run(): void {
		this.#dueAtMs = Number.POSITIVE_INFINITY;
		if (this.#options.process()) {
			this.schedule();
		}
	}
}
