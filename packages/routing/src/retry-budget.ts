/**
Retries allowed per client account and service: a fixed ratio of first attempts, with a small reserve so that an
account with little traffic may retry too. A fault that hits every request cannot multiply the load.
*/

import type {ClientAccountId, ServiceId} from '@rattanspring/types';

/** Names one budget. */
export type RetryBudgetKey = {readonly clientAccount: ClientAccountId; readonly service: ServiceId};

/** Options of the budgets. */
export type RetryBudgetOptions = {
	/** Retries that an account may make before its first attempts have earned any. */
	readonly reserveRetries: number;
	/** Most retries that can be saved up. */
	readonly maxRetries: number;
};

/** Options that suit one entry. */
export const defaultRetryBudgetOptions: RetryBudgetOptions = {reserveRetries: 3, maxRetries: 100};

/** Balances by client account and service. */
export class RetryBudgets {
	readonly #options: RetryBudgetOptions;
	readonly #balances = new Map<string, number>();

	constructor(options: Partial<RetryBudgetOptions> = {}) {
		this.#options = {...defaultRetryBudgetOptions, ...options};
	}

	/** Retries that may be made now. */
	balance(key: RetryBudgetKey): number {
		return this.#balances.get(textOf(key)) ?? this.#options.reserveRetries;
	}

	/** Earns `ratio` of a retry for a first attempt. */
	recordFirstAttempt(key: RetryBudgetKey, ratio: number): void {
		const {maxRetries} = this.#options;
		this.#balances.set(textOf(key), Math.min(maxRetries, this.balance(key) + ratio));
	}

	/** Spends one retry; returns false, and spends nothing, where none is left. */
	tryConsume(key: RetryBudgetKey): boolean {
		const balance = this.balance(key);
		if (balance < 1) {
			return false;
		}

		this.#balances.set(textOf(key), balance - 1);
		return true;
	}
}

function textOf({clientAccount, service}: RetryBudgetKey): string {
	return JSON.stringify([clientAccount, service]);
}
