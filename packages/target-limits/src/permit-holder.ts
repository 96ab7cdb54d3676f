/**
The permits of one entry. A permit is for one request to one target and ends soon after it was asked for, so that permits of several entries can't pile up
and be used at once. All times are of a clock that counts the time for which the process was suspended: an entry that resumes has no permits.
*/

import type {TargetLifetime} from '@rattanspring/target-table';
import type {TargetLimit} from './limit-table.js';
import type {PermitDecision} from './permit-authority.js';

/** Longest validity of a permit. It ends sooner at a high stated limit: within it, not more than this many permits are given. */
const maxValidityMs = 500;
const maxPermitsPerValidity = 2;

/** Validity of permits for cold targets: what all authorities give within a second and this time stays within half more than the limit and five. */
const coldValidityMs = 150;
const coldPermitsPerValidity = 1.6;

/** A target whose authority does not answer is not asked for again for this long. */
const unansweredRetryMs = 500;

/** Time over which the rate of permits is measured. */
const rateWindowMs = 4000;

type Held = {count: number; readonly untilMs: number};

type Asking = {readonly bornMs: number; held: Held[]; isAsked: boolean; askAgainAtMs: number};

/** Numbers of permits since the start. */
export type PermitCounts = {readonly asked: number; readonly granted: number; readonly unused: number; readonly refusals: number; readonly unanswered: number};

/** Permits by target. */
export class PermitHolder {
	readonly #targets = new Map<string, Asking>();
	#grantedAtMs: number[] = [];
	readonly #counts = {
		asked: 0, granted: 0, unused: 0, refusals: 0, unanswered: 0,
	};

	/** What was asked for, given and used so far. */
	get counts(): PermitCounts {
		return {...this.#counts};
	}

	/** Whether a request may be sent to the target now. */
	has(target: TargetLifetime, nowMs: number): boolean {
		return this.count(target, nowMs) > 0;
	}

	/** Number of requests that may be sent to the target now. */
	count(target: TargetLifetime, nowMs: number): number {
		return sumOf(this.#heldOf(this.#of(target), nowMs));
	}

	/** Uses up a permit for the target: of those that were valid when it was last asked for them, the one that ends first. */
	use(target: TargetLifetime): void {
		const asking = this.#of(target);
		const [first] = asking.held.toSorted((left, right) => left.untilMs - right.untilMs);
		if (first) {
			first.count--;
			asking.held = asking.held.filter(({count}) => count > 0);
		}
	}

	/** The target among these for which to ask for a permit next, and marks it as asked for; undefined if there is none to ask for now. */
	nextToAsk<Target extends TargetLifetime>(targets: readonly Target[], nowMs: number): Target | undefined {
		let next: Target | undefined;
		for (const target of targets) {
			const {isAsked, askAgainAtMs} = this.#of(target);
			if (!isAsked && askAgainAtMs <= nowMs && !this.has(target, nowMs) && (!next || askAgainAtMs < this.#of(next).askAgainAtMs)) {
				next = target;
			}
		}

		if (next) {
			this.#of(next).isAsked = true;
		}

		return next;
	}

	/** Records the authority's decision on permits that were asked for at a time; undefined if it did not answer. */
	record(target: TargetLimit, decision: PermitDecision | undefined, {askedAtMs, nowMs}: {readonly askedAtMs: number; readonly nowMs: number}): void {
		const asking = this.#of(target);
		asking.isAsked = false;
		asking.askAgainAtMs = nowMs + (decision ? decision.retryInMs : unansweredRetryMs);
		this.#counts.asked++;
		if (!decision) {
			this.#counts.unanswered++;
		} else if (decision.granted === 0) {
			this.#counts.refusals++;
		} else {
			this.#counts.granted += decision.granted;
			this.#heldOf(asking, nowMs).push({count: decision.granted, untilMs: askedAtMs + validityMsOf(target)});
			this.#grantedAtMs = [...this.#grantedAtMs.filter(atMs => atMs > nowMs - rateWindowMs), ...Array.from({length: decision.granted}, () => nowMs)];
		}
	}

	/** Time until any of these targets may be asked for a permit again: before it there is none. */
	earliestPermitInMs(targets: readonly TargetLifetime[], nowMs: number): number {
		return Math.min(...targets.map(target => {
			const {isAsked, askAgainAtMs} = this.#of(target);
			return isAsked ? 0 : Math.max(0, askAgainAtMs - nowMs);
		}));
	}

	/** Time after which a request that comes behind `waitingCount` others can expect a permit, at the rate of the last seconds. */
	expectedWaitMs(waitingCount: number, nowMs: number): number {
		const granted = this.#grantedAtMs.filter(atMs => atMs > nowMs - rateWindowMs).length;
		return (waitingCount + 1) * rateWindowMs / Math.max(1, granted);
	}

	/** Forgets targets that are gone. */
	retain(isKnown: (targetId: string) => boolean): void {
		for (const targetId of this.#targets.keys()) {
			if (!isKnown(targetId)) {
				this.#targets.delete(targetId);
			}
		}
	}

	/** The permits that are still valid; those that have ended count as unused. */
	#heldOf(asking: Asking, nowMs: number): Held[] {
		const ended = asking.held.filter(({untilMs}) => untilMs <= nowMs);
		if (ended.length > 0) {
			this.#counts.unused += sumOf(ended);
			asking.held = asking.held.filter(({untilMs}) => untilMs > nowMs);
		}

		return asking.held;
	}

	#of({targetId, bornMs}: TargetLifetime): Asking {
		const known = this.#targets.get(targetId);
		if (known?.bornMs === bornMs) {
			return known;
		}

		const asking: Asking = {
			bornMs, held: [], isAsked: false, askAgainAtMs: 0,
		};
		this.#targets.set(targetId, asking);
		return asking;
	}
}

function sumOf(held: readonly Held[]): number {
	return held.reduce((sum, {count}) => sum + count, 0);
}

/** Time from asking to the end of a permit. */
function validityMsOf({perSecond, coldPerSecond}: TargetLimit): number {
	return Math.min(
		maxValidityMs,
		perSecond === undefined ? Number.POSITIVE_INFINITY : maxPermitsPerValidity / perSecond * 1000,
		coldPerSecond === undefined ? Number.POSITIVE_INFINITY : coldValidityMs + (coldPermitsPerValidity / coldPerSecond * 1000),
	);
}
