import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {AccountLimits, ConcurrencyLimit, RetryBudgets} from './index.js';

describe('concurrency limit', () => {
	/** Simulates a target that serves `capacity` requests at once and queues the others; returns the highest limit after convergence. */
	function load(limit: ConcurrencyLimit, capacity: number, baseMs: number): number {
		let highest = 0;
		for (let index = 0; index < 6000; index++) {
			const inProgress = limit.limit;
			limit.record({latencyMs: baseMs * Math.max(1, inProgress / capacity), inProgress});
			highest = index > 3000 ? Math.max(highest, limit.limit) : 0;
		}

		return highest;
	}

	it('converges near the number of requests that the target serves without queueing', () => {
		fc.assert(fc.property(fc.integer({min: 8, max: 300}), fc.integer({min: 1, max: 1000}), (capacity, baseMs) => {
			const found = load(new ConcurrencyLimit({initial: 100, maximum: 2000}), capacity, baseMs);
			// The tolerance allows a queue of a fifth of the capacity, and each step adds a small amount.
			expect(found >= capacity).toEqual(true);
			expect(found <= (1.2 * capacity) + (2 * Math.sqrt(capacity))).toEqual(true);
		}), {seed: 31, numRuns: 40});
	});

	it('adapts to a target that becomes permanently slower or faster', () => {
		const limit = new ConcurrencyLimit({initial: 100, maximum: 2000});
		for (const baseMs of [10, 50, 5]) {
			const found = load(limit, 32, baseMs);
			expect(found >= 32 && found <= (1.2 * 32) + (2 * Math.sqrt(32))).toEqual(true);
		}
	});

	it('stays within its bounds for any latencies', () => {
		const sample = fc.record({latencyMs: fc.double({min: 0, max: 1e6, noNaN: true}), inProgress: fc.nat(2000)});
		fc.assert(fc.property(fc.array(sample, {maxLength: 300}), samples => {
			const limit = new ConcurrencyLimit({initial: 10, minimum: 2, maximum: 50});
			for (const next of samples) {
				limit.record(next);
				expect(limit.limit >= 2 && limit.limit <= 50).toEqual(true);
			}
		}), {seed: 32});
	});

	it('does not grow while concurrency stays below it', () => {
		const limit = new ConcurrencyLimit({initial: 10});
		for (let index = 0; index < 400; index++) {
			limit.record({latencyMs: 5, inProgress: 1});
		}

		expect(limit.limit).toEqual(10);
	});
});

describe('retry budgets', () => {
	it('never allow more retries than the reserve plus the ratio of first attempts', () => {
		fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 500}), attempts => {
			const budgets = new RetryBudgets({reserveRetries: 3});
			const key = {clientAccount: 'account', service: 'draft-model'};
			let firsts = 0;
			let retries = 0;
			for (const isFirst of attempts) {
				if (isFirst) {
					firsts++;
					budgets.recordFirstAttempt(key, 0.1);
				} else if (budgets.tryConsume(key)) {
					retries++;
				}

				expect(retries <= 3 + (0.1 * firsts) + 1e-6).toEqual(true);
			}
		}), {seed: 33});
	});

	it('are separate for each account and service', () => {
		const budgets = new RetryBudgets({reserveRetries: 1});
		expect(budgets.tryConsume({clientAccount: 'a', service: 's'})).toEqual(true);
		expect(budgets.tryConsume({clientAccount: 'a', service: 's'})).toEqual(false);
		expect(budgets.tryConsume({clientAccount: 'b', service: 's'})).toEqual(true);
		expect(budgets.tryConsume({clientAccount: 'a', service: 't'})).toEqual(true);
	});
});

describe('account limits', () => {
	it('limit each account separately', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.boolean()), {maxLength: 200}), operations => {
			const limits = new AccountLimits();
			const model = new Map([['a', 0], ['b', 0]]);
			for (const [account, isStart] of operations) {
				const inProgress = model.get(account)!;
				if (isStart) {
					expect(limits.acquire(account, 5)).toEqual(inProgress < 5);
					model.set(account, Math.min(5, inProgress + 1));
				} else if (inProgress > 0) {
					limits.release(account);
					model.set(account, inProgress - 1);
				}

				expect(limits.inProgress(account)).toEqual(model.get(account)!);
			}
		}), {seed: 34});
	});
});
