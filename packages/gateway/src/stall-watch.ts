/**
Notices that the process was held up, as by a frozen VM. Requests that arrived meanwhile are read at once afterwards, each before the close of its caller: sent on
right away, they would run for callers who have left.

Load that this answers: VMs that freeze and wake again while callers go on sending to them.
*/

import {setImmediate as nextTurn} from 'node:timers/promises';

/** Time without a sign of life from which the process counts as held up: longer than the interval of any regular work. */
const stallMs = 750;

/** Time after a stall in which requests may be from before its end. */
const settlingMs = 300;

/** Watches one process. */
export class StallWatch {
	readonly #nowMs: () => number;
	#seenAtMs: number;
	#settledAtMs = Number.NEGATIVE_INFINITY;

	/** The clock has to go on while the VM is frozen. */
	constructor(nowMs: () => number) {
		this.#nowMs = nowMs;
		this.#seenAtMs = nowMs();
	}

	/** Notes that the process runs: to be called regularly. */
	touch(): void {
		const nowMs = this.#nowMs();
		if (nowMs - this.#seenAtMs > stallMs) {
			this.#settledAtMs = nowMs + settlingMs;
		}

		this.#seenAtMs = nowMs;
	}

	/** Whether the process was held up a moment ago. */
	get isSettling(): boolean {
		return this.#nowMs() < this.#settledAtMs;
	}

	/** Waits until the close of a connection that arrived after a request is read, too: the rest of this turn of the event loop, and the next one. */
	async pendingReads(): Promise<void> {
		await nextTurn();
		await nextTurn();
	}
}
