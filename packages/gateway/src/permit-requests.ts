/**
Asks for permits for targets with a limit, as many at a time as requests wait for a target, and at least one ahead.

Load this answers: many limited targets and more requests than they take. Each request pays for a few calls, and for some more while it waits, so that
calls grow with the requests and not with the number of targets that could be asked.
*/

import type {
	PermitDecision, PermitHolder, PermitRequest, TargetLimit,
} from '@rattanspring/target-limits';

const maxCallsAtOnce = 8;

/** Calls that a request pays for when it comes, and for each of the intervals that it waits; and those that are kept for later. */
const callsPerRequest = 4;
const waitIntervalMs = 200;
const maxSavedCalls = 32;

/** A batch holds at most what the limit allows in this time. */
const maxBatchSeconds = 0.5;

/** Options of the requests. */
export type PermitRequestsOptions = {
	readonly permits: PermitHolder;
	/** Targets of a service that accept work and have a limit. */
	readonly limitedTargets: (service: string) => readonly TargetLimit[];
	readonly waitingCount: () => number;
	/** Asks the authority of a target; resolves with `undefined` if it does not answer. */
	readonly take: (request: PermitRequest) => Promise<PermitDecision | undefined>;
	readonly onGranted: () => void;
	/** Counts the time for which the process was suspended. */
	readonly nowMs: () => number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
};

/** The requests of one entry. */
export class PermitRequests {
	readonly #options: PermitRequestsOptions;
	#calls = 0;
	#savedCalls = 0;
	#refilledAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: PermitRequestsOptions) {
		this.#options = options;
	}

	/** Asks for permits for a service to which a request has come. */
	ask(service: string): void {
		this.#save(callsPerRequest);
		this.#askWhileWanted(service);
	}

	/** Asks for permits for a service for which requests wait. */
	askForWaiting(service: string): void {
		const {nowMs, waitingCount} = this.#options;
		const elapsedMs = Math.min(waitIntervalMs, nowMs() - this.#refilledAtMs);
		this.#refilledAtMs = nowMs();
		this.#save(waitingCount() * elapsedMs / waitIntervalMs);
		this.#askWhileWanted(service);
	}

	#save(calls: number): void {
		this.#savedCalls = Math.min(maxSavedCalls, this.#savedCalls + calls);
	}

	#askWhileWanted(service: string): void {
		const {permits, limitedTargets, waitingCount, nowMs, random} = this.#options;
		const targets = limitedTargets(service);
		if (targets.length === 0) {
			return;
		}

		// Entries begin at different targets, so that they do not all ask for the same one.
		const start = Math.floor(random() * targets.length);
		const inTurn = [...targets.slice(start), ...targets.slice(0, start)];
		const held = targets.reduce((sum, target) => sum + permits.count(target, nowMs()), 0);
		let wanted = Math.max(1, waitingCount()) - held;
		while (wanted > 0 && this.#calls < maxCallsAtOnce && this.#savedCalls >= 1) {
			const target = permits.nextToAsk(inTurn, nowMs());
			if (!target) {
				return;
			}

			const count = Math.min(wanted, batchSizeOf(target));
			wanted -= count;
			this.#savedCalls--;
			void this.#ask(target, count);
		}
	}

	async #ask(target: TargetLimit, count: number): Promise<void> {
		const {permits, take, onGranted, nowMs} = this.#options;
		const askedAtMs = nowMs();
		this.#calls++;
		const decision = await take({...target, count});
		this.#calls--;
		permits.record(target, decision, {askedAtMs, nowMs: nowMs()});
		if (decision && decision.granted > 0) {
			this.#save(1);
			onGranted();
		}
	}
}

/** Permits of one call at most. */
function batchSizeOf({perSecond = Number.POSITIVE_INFINITY, coldPerSecond = Number.POSITIVE_INFINITY}: TargetLimit): number {
	return Math.max(1, Math.floor(Math.min(perSecond, coldPerSecond) * maxBatchSeconds));
}
