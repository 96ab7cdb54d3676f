/**
Admission at an entry: limits of client accounts on requests in progress, and budgets for retries.
*/

import {effectiveNumber} from '@rattanspring/fleet-state';
import {AccountLimits, RetryBudgets, type RetryBudgetKey} from '@rattanspring/routing';
import {
	err, ok, type Clock, type RequestFailure, type Result,
} from '@rattanspring/types';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {notRun} from './problem.js';

/** When a caller may come back after its account's limit was reached. */
const accountLimitRetryAfterMs = 200;

/** Options of admission. */
export type AdmissionOptions = {readonly inForce: InForceConfiguration; readonly clock: Clock};

/** Admits requests of client accounts and their retries. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #limits = new AccountLimits();
	readonly #budgets = new RetryBudgets();

	constructor(options: AdmissionOptions) {
		this.#options = options;
	}

	/** Admits a request; call the returned function when it has ended. */
	admit(key: RetryBudgetKey): Result<() => void, RequestFailure> {
		const limit = this.#effectiveNumber('account.concurrentRequests', key);
		if (!this.#limits.acquire(key.clientAccount, limit)) {
			return err(notRun('accountLimitReached', `The account has ${limit} requests in progress at this entry, its limit.`, accountLimitRetryAfterMs));
		}

		this.#budgets.recordFirstAttempt(key, this.#effectiveNumber('retry.budgetRatio', key));
		return ok(() => {
			this.#limits.release(key.clientAccount);
		});
	}

	/** Whether one more attempt of a request may be made; spends from the budget. */
	tryConsumeRetry(key: RetryBudgetKey): boolean {
		return this.#budgets.tryConsume(key);
	}

	#effectiveNumber(key: string, {clientAccount, service}: RetryBudgetKey): number {
		const {inForce, clock} = this.#options;
		return effectiveNumber(inForce.configuration, key, {clientAccount, service}, clock.wallMs());
	}
}
