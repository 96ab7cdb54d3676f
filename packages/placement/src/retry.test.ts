import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	type AttemptHistory, nextStep, RetryBudget,
} from './index.js';

describe('RetryBudget', () => {
	const allowance = {ratio: 0.2, slack: 98, windowMs: 10_000};

	it('keeps the retries of all entries together within the allowance, in any window', () => {
		const entries = Array.from({length: 11}, () => new RetryBudget(allowance));
		const retriesAt: number[] = [];
		let requests = 0;
		for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
			const entry = entries[(nowMs / 10) % entries.length];
			entry.recordRequest('s', nowMs);
			requests++;
			for (let tries = 0; tries < 3; tries++) {
				if (entry.tryConsume('s', nowMs, entries.length)) {
					retriesAt.push(nowMs);
				}
			}
		}

		const requestsPerWindow = requests / 3;
		for (let startMs = 0; startMs <= 20_000; startMs += 500) {
			const inWindow = retriesAt.filter(atMs => atMs >= startMs && atMs < startMs + allowance.windowMs).length;
			expect(inWindow <= (allowance.ratio * requestsPerWindow) + allowance.slack).toEqual(true);
		}
	});
});

describe('RetryBudget with entries that leave', () => {
	it('keeps the retries within the allowance when most entries leave within a window', () => {
		const allowance = {ratio: 0.2, slack: 98, windowMs: 10_000};
		const entries = Array.from({length: 11}, () => new RetryBudget(allowance));
		let taken = 0;
		for (const [index, entry] of entries.entries()) {
			for (let tries = 0; tries < 200; tries++) {
				taken += entry.tryConsume('s', index, entries.length) ? 1 : 0;
			}
		}

		for (const entry of entries.slice(0, 4)) {
			for (let tries = 0; tries < 200; tries++) {
				taken += entry.tryConsume('s', 2000, 4) ? 1 : 0;
			}
		}

		expect(taken > 50 && taken <= allowance.slack).toEqual(true);
	});
});

describe('nextStep', () => {
	const history: AttemptHistory = {
		kind: 'nonIdempotent', isResumable: false, outcome: 'broken', sentCount: 1, unreachedCount: 0, maxAttempts: 2, mayHaveRun: true,
	};

	it('never retries a non-retryable request that may have run', () => {
		expect(nextStep(history)).toEqual('fail');
		expect(nextStep({...history, kind: 'streaming'})).toEqual('fail');
		expect(nextStep({...history, outcome: 'failed'})).toEqual('fail');
	});

	it('retries a request that the target did not run, up to the maximum attempts', () => {
		expect(nextStep({...history, outcome: 'notRun', mayHaveRun: false})).toEqual('tryAnother');
		expect(nextStep({
			...history, outcome: 'notRun', mayHaveRun: false, sentCount: 2,
		})).toEqual('refuse');
	});

	it('never refuses a request that a target may have run', () => {
		expect(nextStep({...history, outcome: 'notRun', sentCount: 2})).toEqual('fail');
		expect(nextStep({...history, outcome: 'notSent', unreachedCount: 9})).toEqual('fail');
	});

	it('retries a retryable request, up to the maximum attempts', () => {
		expect(nextStep({...history, kind: 'idempotent'})).toEqual('tryAnother');
		expect(nextStep({...history, kind: 'streaming', isResumable: true})).toEqual('tryAnother');
		expect(nextStep({...history, kind: 'idempotent', sentCount: 2})).toEqual('fail');
	});
});
