/**
Admission control of an entry: limits on the concurrent requests of client accounts, and retry budgets.
*/

import {effectiveNumber} from '@rattanspring/fleet-state';
import {AccountLimits, RetryBudgets, type RetryBudgetKey} from '@rattanspring/routing';
import {
	err, ok, type Clock, type RequestFailure, type Result,
} from '@rattanspring/types';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {notRun} from './problem.js';

/** Retry-After value of a response to a client account that has reached its limit. */
const accountLimitRetryAfterMs = 200;

/** Options of `Admission`. */
export type AdmissionOptions = {readonly inForce: InForceConfiguration; readonly clock: Clock};

/** Decides whether requests of client accounts and their retries are admitted. */
export class Admission {
	readonly #options: AdmissionOptions;
	readonly #limits = new AccountLimits();
	readonly #budgets = new RetryBudgets();

	constructor(options: AdmissionOptions) {
		this.#options = options;
	}

	/** Admits a request. The caller must call the returned function when the request has ended. */
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

	/** Consumes one retry from the retry budget; returns whether the retry is allowed. */
	tryConsumeRetry(key: RetryBudgetKey): boolean {
		return this.#budgets.tryConsume(key);
	}

	#effectiveNumber(key: string, {clientAccount, service}: RetryBudgetKey): number {
		const {inForce, clock} = this.#options;
		return effectiveNumber(inForce.configuration, key, {clientAccount, service}, clock.wallMs());
	}
}
