/** Carries out the planned stop of an entry step by step, and logs each step. What is still taken on meanwhile is decided by `PlannedStop`. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Logger} from '@rattanspring/logger';
import type {CallerServer} from './caller-server.js';
import type {PlannedStop, Stoppable, StopSchedule} from './planned-stop.js';

/** Time for which callers with old addresses still reach the entry, after it has begun to refuse them. */
const listenAfterwardsMs = 800;

/** Time without a request after which a connection is closed: a caller that goes on at once has sent its next request by then. */
const idleMs = 500;

/** Time for the last answers to reach the callers' connections. */
const flushMs = 200;

const pollMs = 50;

/** Options of a stop. */
export type GracefulStopOptions = {
	readonly plannedStop: PlannedStop;
	readonly server: CallerServer;
	/** Requests in progress. */
	readonly requests: Iterable<Stoppable>;
	readonly logger: Logger;
	readonly nowMs: () => number;
};

/** The stop of one entry. */
export class GracefulStop {
	readonly #options: GracefulStopOptions;

	constructor(options: GracefulStopOptions) {
		this.#options = options;
	}

	/** Ends when no connection is open, or at the limit, at which requests in progress are ended, and a little later. */
	async run(schedule: StopSchedule): Promise<void> {
		const {plannedStop, server, nowMs} = this.#options;
		plannedStop.begin(schedule, nowMs());
		server.startDraining();
		this.#log('drainStarted');
		await sleep(plannedStop.takingOnMs);
		this.#refuseUnsent();
		await sleep(listenAfterwardsMs);
		this.#refuseUnsent();
		await server.stopListening(schedule.limitMs - this.#elapsedMs);
		this.#log('listenerClosed');
		await this.#closeIdle(idleMs, schedule.limitMs);
		await server.readArrived();
		for (const request of this.#options.requests) {
			request.endAtStop();
		}

		await this.#closeIdle(0, schedule.limitMs + flushMs);
		this.#log('connectionsClosed');
	}

	get #elapsedMs(): number {
		return this.#options.plannedStop.sinceBegunMs(this.#options.nowMs()) ?? 0;
	}

	/** Called twice in a stop, since a timer may fire a little early. */
	#refuseUnsent(): void {
		for (const request of this.#options.requests) {
			request.refuseUnsent();
		}
	}

	/** Closes connections that have been idle for some time, until none is open or the time since the begin of the stop is over. */
	async #closeIdle(forMs: number, untilMs: number): Promise<void> {
		const {server} = this.#options;
		while (server.connections.count > 0 && this.#elapsedMs < untilMs) {
			await server.closeIdle(forMs);
			await sleep(pollMs);
		}
	}

	#log(step: string): void {
		const {count, unusedCount, inProgress} = this.#options.server.connections;
		this.#options.logger.log('info', 'stopStep', {
			step, connections: count, unusedConnections: unusedCount, requests: inProgress, sinceStopMs: Math.round(this.#elapsedMs),
		});
	}
}
