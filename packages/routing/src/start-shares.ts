/**
Which client accounts may start work on a target. An account that used less than its fair share of late may use every
place. One that used more leaves a reserve free for the others while there are others: work that has started is not
preempted, so without the reserve a newcomer waits for the end of another's work.
*/

import type {ClientAccountId} from '@rattanspring/types';

/** After this time without work an account no longer counts. */
const activeMs = 10_000;

/** Use counts for 1/e after this time. */
const useDecayMs = 5000;

/** Share of the places that accounts beyond their fair share leave free. */
const reserveShare = 0.35;

/** An account may hold this multiple of its share of the places before it counts as beyond it. */
const heldPerShare = 3;

type Activity = {weight: number; usedTokens: number; usedAtMs: number; lastMs: number; running: number};

/** The target as it is now. */
export type TargetCapacity = {
	/** Requests that may be in progress at once; fewer while the target is probed. */
	readonly concurrencyLimit: number;
	/** Requests that may be in progress at once outside a probe. */
	readonly fullConcurrencyLimit: number;
	readonly running: number;
	/** Speed of the target with all places in use; 0 where it is not known. */
	readonly tokensPerSecond: number;
	readonly nowMs: number;
};

/** Use of one target by client account. */
export class FairShareLimiter {
	readonly #accounts = new Map<ClientAccountId, Activity>();
	/** Weight of all accounts; they change only when work is offered. */
	#totalWeight = 0;

	/** Notes that an account has offered work. */
	recordEnqueue(clientAccount: ClientAccountId, weight: number, nowMs: number): void {
		const known = this.#accounts.get(clientAccount);
		this.#accounts.set(clientAccount, {
			weight, usedTokens: known?.usedTokens ?? 0, usedAtMs: known?.usedAtMs ?? nowMs, lastMs: nowMs, running: known?.running ?? 0,
		});
		this.#totalWeight = 0;
		for (const [name, account] of this.#accounts) {
			if (nowMs - account.lastMs > activeMs && account.running === 0) {
				this.#accounts.delete(name);
			} else {
				this.#totalWeight += account.weight;
			}
		}
	}

	/** Notes that work of an account has started. */
	recordStart(clientAccount: ClientAccountId, tokens: number, nowMs: number): void {
		const account = this.#accounts.get(clientAccount);
		if (account) {
			account.usedTokens = usedTokens(account, nowMs) + tokens;
			account.usedAtMs = nowMs;
			account.running++;
		}
	}

	/** Notes that work of an account has ended. */
	recordEnd(clientAccount: ClientAccountId): void {
		const account = this.#accounts.get(clientAccount);
		if (account && account.running > 0) {
			account.running--;
		}
	}

	/** Whether an account may start work now. */
	mayStart(clientAccount: ClientAccountId, target: TargetCapacity): boolean {
		const {concurrencyLimit: places, fullConcurrencyLimit: fullPlaces, running} = target;
		if (this.#isOverFairShare(clientAccount, target)) {
			return running < Math.max(1, places - Math.ceil(places * reserveShare));
		}

		// Accounts within their share do not wait for a probe that others can be held back for.
		return running < (this.#accounts.size < 2 ? places : fullPlaces);
	}

	#isOverFairShare(clientAccount: ClientAccountId, {fullConcurrencyLimit: fullPlaces, tokensPerSecond, nowMs}: TargetCapacity): boolean {
		const account = this.#accounts.get(clientAccount);
		if (!account || this.#accounts.size < 2) {
			return false;
		}

		// Use of late is slow to show a sudden flood; the places that are held now show it at once.
		const share = account.weight / this.#totalWeight;
		const holdsTooMuch = account.running + 1 > heldPerShare * fullPlaces * share;
		const capacityTokens = tokensPerSecond * useDecayMs / 1000;
		return holdsTooMuch || (tokensPerSecond > 0 && usedTokens(account, nowMs) > capacityTokens * share);
	}
}

function usedTokens(account: Activity, nowMs: number): number {
	return account.usedTokens * Math.exp((account.usedAtMs - nowMs) / useDecayMs);
}
