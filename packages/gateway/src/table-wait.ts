/**
Requests that arrive before this entry has a desired state. They wait for it for a short time: an entry that has just started gets it within a second or two, and its
callers have often used up their tries on the one before.

Load that this answers: all VMs, or many entries, start again at once while callers go on sending.
*/

import type {RouteTable} from '@rattanspring/desired-state';

/** Longest wait: callers give up on a stream that has no event for two seconds, and the first one takes some time. */
const maxWaitMs = 1500;

/** Share of the time left that a request may wait. */
const waitShare = 1 / 3;

/** Requests that may wait at the same time. */
const maxWaiting = 128;

type Waiter = {readonly settle: (table: RouteTable | undefined) => void; readonly timer: NodeJS.Timeout};

/** The requests that wait for the routes of the first desired state. */
export class TableWait {
	readonly #table: () => RouteTable | undefined;
	readonly #waiting = new Set<Waiter>();

	constructor(table: () => RouteTable | undefined) {
		this.#table = table;
	}

	/** The routes once they are known; undefined if that takes too long or too many requests wait. */
	async wait(timeLeftMs = Number.POSITIVE_INFINITY): Promise<RouteTable | undefined> {
		const table = this.#table();
		if (table !== undefined || this.#waiting.size >= maxWaiting) {
			return table;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				settle: resolve,
				timer: setTimeout(() => {
					this.#settle(waiter, undefined);
				}, Math.min(maxWaitMs, timeLeftMs * waitShare)),
			};
			this.#waiting.add(waiter);
		});
	}

	/** Lets the waiting requests go on, if the routes are known by now. */
	release(): void {
		const table = this.#table();
		for (const waiter of table ? [...this.#waiting] : []) {
			this.#settle(waiter, table);
		}
	}

	#settle(waiter: Waiter, table: RouteTable | undefined): void {
		clearTimeout(waiter.timer);
		this.#waiting.delete(waiter);
		waiter.settle(table);
	}
}
