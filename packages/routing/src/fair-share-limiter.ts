/**
Decides which client accounts may start work on a target. An account whose recent use is within its fair share may use the full
concurrency limit. An account over its share leaves a reserve for the others while there are others: started work is not
preempted, so without the reserve a new account would have to wait until another account's work ends.
*/

import type {ClientAccountId} from '@rattanspring/types';

/** Time without new work after which an account is no longer counted. */
const activeWindowMs = 10_000;

/** Time after which recorded use has decayed to 1/e. */
const useDecayMs = 5000;

/** Share of the concurrency limit that accounts over their fair share leave free. */
const reserveShare = 0.35;

/** Multiple of its share of the concurrency limit that an account may have running before it counts as over its share. */
const maxRunningPerShare = 3;

type AccountUsage = {weight: number; usedTokens: number; usedAtMs: number; lastEnqueuedAtMs: number; running: number};

/** Current capacity of a target. */
export type TargetCapacity = {
	/** Number of requests that may be in progress at once; lower while the target is probed. */
	readonly places: number;
	/** Number of requests that may be in progress at once outside a probe. */
	readonly fullPlaces: number;
	readonly running: number;
	/** Token rate of the target at its concurrency limit; 0 if unknown. */
	readonly tokensPerSecond: number;
	readonly nowMs: number;
};

/** Limits the work that client accounts start on one target. */
export class FairShareLimiter {
	readonly #accounts = new Map<ClientAccountId, AccountUsage>();
	/** Total weight of all accounts; it changes only when work is enqueued. */
	#totalWeight = 0;

	/** Records that work of an account was enqueued. */
	recordEnqueue(clientAccount: ClientAccountId, weight: number, nowMs: number): void {
		const known = this.#accounts.get(clientAccount);
		this.#accounts.set(clientAccount, {
			weight, usedTokens: known?.usedTokens ?? 0, usedAtMs: known?.usedAtMs ?? nowMs, lastEnqueuedAtMs: nowMs, running: known?.running ?? 0,
		});
		this.#totalWeight = 0;
		for (const [name, account] of this.#accounts) {
			if (nowMs - account.lastEnqueuedAtMs > activeWindowMs && account.running === 0) {
				this.#accounts.delete(name);
			} else {
				this.#totalWeight += account.weight;
			}
		}
	}

	/** Records that work of an account has started. */
	recordStart(clientAccount: ClientAccountId, tokens: number, nowMs: number): void {
		const account = this.#accounts.get(clientAccount);
		if (account) {
			account.usedTokens = usedTokens(account, nowMs) + tokens;
			account.usedAtMs = nowMs;
			account.running++;
		}
	}

	/** Records that work of an account has ended. */
	recordEnd(clientAccount: ClientAccountId): void {
		const account = this.#accounts.get(clientAccount);
		if (account && account.running > 0) {
			account.running--;
		}
	}

	/** Whether an account may start work now. */
	mayStart(clientAccount: ClientAccountId, target: TargetCapacity): boolean {
		const {places, fullPlaces, running} = target;
		if (this.#isOverFairShare(clientAccount, target)) {
			return running < Math.max(1, places - Math.ceil(places * reserveShare));
		}

		// Accounts within their share do not wait for a probe, since other accounts can be limited instead.
		return running < (this.#accounts.size < 2 ? places : fullPlaces);
	}

	#isOverFairShare(clientAccount: ClientAccountId, {fullPlaces, tokensPerSecond, nowMs}: TargetCapacity): boolean {
		const account = this.#accounts.get(clientAccount);
		if (!account || this.#accounts.size < 2) {
			return false;
		}

		// Recent use reflects a sudden burst only slowly; the number of running requests reflects it immediately.
		const share = account.weight / this.#totalWeight;
		const runsTooMany = account.running + 1 > maxRunningPerShare * fullPlaces * share;
		const capacityTokens = tokensPerSecond * useDecayMs / 1000;
		return runsTooMany || (tokensPerSecond > 0 && usedTokens(account, nowMs) > capacityTokens * share);
	}
}

function usedTokens(account: AccountUsage, nowMs: number): number {
	return account.usedTokens * Math.exp((account.usedAtMs - nowMs) / useDecayMs);
}
