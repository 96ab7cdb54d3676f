/**
The permits of one entry. A permit is for one request to one target and ends soon, so that permits of several entries can't pile up
and be used at once.
*/

import type {TargetLifetime} from '@rattanspring/target-table';
import type {PermitDecision} from './permit-authority.js';

/** Longest validity of a permit. It ends sooner at a high limit: within it, not more than this many permits are given. */
const maxValidityMs = 500;
const maxPermitsPerValidity = 2;

/** A target whose authority does not answer is not asked for again for this long. */
const unansweredRetryMs = 500;

/** Time over which the rate of permits is measured. */
const rateWindowMs = 4000;

type Asking = {readonly bornMs: number; validUntilMs: number; isAsked: boolean; askAgainAtMs: number};

/** Permits by target. */
export class PermitHolder {
	readonly #targets = new Map<string, Asking>();
	#grantedAtMs: number[] = [];

	/** Whether a request may be sent to the target now. */
	has(target: TargetLifetime, nowMs: number): boolean {
		return this.#of(target).validUntilMs > nowMs;
	}

	/** Uses up the permit for the target. */
	use(target: TargetLifetime): void {
		this.#of(target).validUntilMs = 0;
	}

	/** The target among these for which to ask for a permit next, and marks it as asked for; undefined if there is none to ask for now. */
	nextToAsk(targets: readonly TargetLifetime[], nowMs: number): TargetLifetime | undefined {
		let next: TargetLifetime | undefined;
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

	/** Records the authority's decision; undefined if it did not answer. */
	record(target: TargetLifetime & {readonly perSecond: number}, decision: PermitDecision | undefined, nowMs: number): void {
		const asking = this.#of(target);
		asking.isAsked = false;
		asking.askAgainAtMs = nowMs + (decision ? decision.retryInMs : unansweredRetryMs);
		if (decision?.isGranted) {
			asking.validUntilMs = nowMs + Math.min(maxValidityMs, maxPermitsPerValidity / target.perSecond * 1000);
			this.#grantedAtMs = [...this.#grantedAtMs.filter(atMs => atMs > nowMs - rateWindowMs), nowMs];
		}
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

	#of({targetId, bornMs}: TargetLifetime): Asking {
		const known = this.#targets.get(targetId);
		if (known?.bornMs === bornMs) {
			return known;
		}

		const asking: Asking = {
			bornMs, validUntilMs: 0, isAsked: false, askAgainAtMs: 0,
		};
		this.#targets.set(targetId, asking);
		return asking;
	}
}
