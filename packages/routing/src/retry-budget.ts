/**
Retry budgets per client account and service: a fixed ratio of first attempts, with a small reserve so that an account with
little traffic can retry too. So a fault that affects every request cannot multiply the load.
*/

import type {ClientAccountId, ServiceId} from '@rattanspring/types';

/** Identifies a budget. */
export type RetryBudgetKey = {readonly clientAccount: ClientAccountId; readonly service: ServiceId};

export type RetryBudgetOptions = {
	/** Retries that an account may make before its first attempts have earned any. */
	readonly reserveRetries: number;
	/** Maximum number of retries that a budget can accumulate. */
	readonly maxRetries: number;
};

/** Default options, for the budgets of one entry. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {reserveRetries: 3, maxRetries: 100};

/** Retry budgets by client account and service. */
export class RetryBudgets {
	readonly #options: RetryBudgetOptions;
	readonly #balances = new Map<string, number>();

	constructor(options: Partial<RetryBudgetOptions> = {}) {
		this.#options = {...defaultRetryBudgetOptions, ...options};
	}

	/** Number of retries that are currently allowed. */
	balance(key: RetryBudgetKey): number {
		return this.#balances.get(keyTextOf(key)) ?? this.#options.reserveRetries;
	}

	/** Adds `ratio` of a retry to the budget for a first attempt. */
	recordFirstAttempt(key: RetryBudgetKey, ratio: number): void {
		const {maxRetries} = this.#options;
		this.#balances.set(keyTextOf(key), Math.min(maxRetries, this.balance(key) + ratio));
	}

	/** Takes one retry from the budget; returns false, without taking any, if less than one is left. */
	tryConsume(key: RetryBudgetKey): boolean {
		const balance = this.balance(key);
		if (balance < 1) {
			return false;
		}

		this.#balances.set(keyTextOf(key), balance - 1);
		return true;
	}
}

function keyTextOf({clientAccount, service}: RetryBudgetKey): string {
	return JSON.stringify([clientAccount, service]);
}
