/**
Until when each target is cold, by this process's monotonic clock.

Load this answers: a failure domain comes back, and reports, answers and what other daemons tell on arrive late and out of order. A time is stated as what is left of it, so a
late statement only makes the time longer. Of reports the one with the highest sequence counts; what answers and other daemons say is never shortened by a
report, which may be older than it.
*/

import type {TargetLifetime} from '@rattanspring/target-table';
import {boundedColdMs, type ColdWord} from './permit-messages.js';

/** How a cold time was learned; `assumed` if the target has started and said nothing. */
export type ColdSource = 'report' | 'answer' | 'probe' | 'relayed' | 'assumed';

/** Ends that are later by less than this are the same one, stated again. */
const sameEndMs = 250;

/** Lifetimes that are kept; the one of which nothing was heard for longest is forgotten first. */
const defaultMaxTargets = 10_000;

/** What is known of a lifetime of a target. */
type ColdState = {
	readonly bornMs: number;
	reportSequence: number;
	reportedUntilMs: number;
	statedUntilMs: number;
	source: ColdSource;
	/** When the current cold time was learned; undefined while the target is not cold. */
	coldSinceMs?: number;
	/** When the target started; undefined once anything was said about its cold time. */
	unstatedSinceMs?: number;
};

/** A report's word on the cold time. */
export type ColdReport = TargetLifetime & {readonly sequence: number; readonly coldLeftMs: number};

/** A target whose cold time is over. */
export type ColdEnd = TargetLifetime & {readonly source: ColdSource; readonly coldForMs: number};

/** Cold times by target. */
export class ColdTargets {
	readonly #maxTargets: number;
	readonly #targets = new Map<string, ColdState>();

	constructor({maxTargets = defaultMaxTargets}: {readonly maxTargets?: number} = {}) {
		this.#maxTargets = maxTargets;
	}

	/** Time for which a lifetime of a target is still cold; 0 if it is not. A target that has started and said nothing is cold for `unstatedMs`. */
	leftMs({targetId, bornMs}: TargetLifetime, nowMs: number, unstatedMs = 0): number {
		const state = this.#targets.get(targetId);
		if (state?.bornMs !== bornMs) {
			return 0;
		}

		const {unstatedSinceMs = Number.NEGATIVE_INFINITY} = state;
		return Math.max(0, endOf(state) - nowMs, unstatedSinceMs + unstatedMs - nowMs);
	}

	/** Records that a lifetime of a target began at a time without a word on its cold time; returns whether that is new. */
	recordStart(target: TargetLifetime, startedAtMs: number): boolean {
		const isNew = this.#targets.get(target.targetId)?.bornMs !== target.bornMs;
		const state = isNew ? this.#of(target) : undefined;
		if (state) {
			state.unstatedSinceMs = startedAtMs;
		}

		return state !== undefined;
	}

	/** Records a report; returns whether the target is cold for longer than was known. A report that is older than the newest one says nothing. */
	recordReport({coldLeftMs, ...report}: ColdReport, nowMs: number): boolean {
		const state = this.#of(report);
		if (!state || report.sequence <= state.reportSequence) {
			return false;
		}

		const before = endOf(state);
		state.reportSequence = report.sequence;
		state.unstatedSinceMs = undefined;
		state.reportedUntilMs = nowMs + boundedColdMs(coldLeftMs);
		return this.#noteChange(state, {before, source: 'report', nowMs});
	}

	/** Records what an answer, a probe or another daemon says; returns whether the target is cold for longer than was known. */
	record(target: TargetLifetime, {leftMs, source}: {readonly leftMs: number; readonly source: ColdSource}, nowMs: number): boolean {
		const state = this.#of(target);
		if (!state) {
			return false;
		}

		const before = endOf(state);
		state.unstatedSinceMs = undefined;
		state.statedUntilMs = Math.max(state.statedUntilMs, nowMs + boundedColdMs(leftMs));
		return this.#noteChange(state, {before, source, nowMs});
	}

	/** What answers, probes and other daemons have said about targets that are cold, with the time that is left. Reports are told on by themselves. */
	words(nowMs: number): ColdWord[] {
		return [...this.#targets].flatMap(([targetId, {bornMs, statedUntilMs}]) => statedUntilMs > nowMs ? [{targetId, bornMs, coldLeftMs: statedUntilMs - nowMs}] : []);
	}

	/** Number of targets that are known to be cold. */
	count(nowMs: number): number {
		return [...this.#targets.values()].filter(state => endOf(state) > nowMs).length;
	}

	/** Targets whose cold time has ended since the last call. */
	takeEnded(nowMs: number): ColdEnd[] {
		const ended: ColdEnd[] = [];
		for (const [targetId, state] of this.#targets) {
			const {coldSinceMs, bornMs, source} = state;
			if (coldSinceMs !== undefined && endOf(state) <= nowMs) {
				state.coldSinceMs = undefined;
				ended.push({
					targetId, bornMs, source, coldForMs: nowMs - coldSinceMs,
				});
			}
		}

		return ended;
	}

	#noteChange(state: ColdState, {before, source, nowMs}: {readonly before: number; readonly source: ColdSource; readonly nowMs: number}): boolean {
		const end = endOf(state);
		if (end <= nowMs || end <= Math.max(before, nowMs) + sameEndMs) {
			return false;
		}

		state.source = source;
		state.coldSinceMs ??= nowMs;
		return true;
	}

	/** The state of a lifetime; undefined if a later one is known. */
	#of({targetId, bornMs}: TargetLifetime): ColdState | undefined {
		const known = this.#targets.get(targetId);
		if (known && known.bornMs > bornMs) {
			return undefined;
		}

		const state = known?.bornMs === bornMs
			? known
			: {
				bornMs, reportSequence: Number.NEGATIVE_INFINITY, reportedUntilMs: Number.NEGATIVE_INFINITY, statedUntilMs: Number.NEGATIVE_INFINITY, source: 'report' as const,
			};
		this.#targets.delete(targetId);
		this.#targets.set(targetId, state);
		if (this.#targets.size > this.#maxTargets) {
			this.#targets.delete(this.#targets.keys().next().value!);
		}

		return state;
	}
}

function endOf({reportedUntilMs, statedUntilMs}: ColdState): number {
	return Math.max(reportedUntilMs, statedUntilMs);
}
