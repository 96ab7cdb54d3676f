import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FairShareLimiter} from './index.js';

const places = 8;
const tokensPerSecond = 100;

/** Starts work of an account until it may start no more; returns how much is running then. */
function fill(shares: FairShareLimiter, clientAccount: string, running = 0, nowMs = 0): number {
	let filled = running;
	while (shares.mayStart(clientAccount, {
		concurrencyLimit: places, fullConcurrencyLimit: places, running: filled, tokensPerSecond, nowMs,
	})) {
		shares.recordStart(clientAccount, 100, nowMs);
		filled++;
	}

	return filled;
}

function endAll(shares: FairShareLimiter, clientAccount: string, count: number): void {
	for (let ended = 0; ended < count; ended++) {
		shares.recordEnd(clientAccount);
	}
}

describe('start shares', () => {
	it('give all places to an account that is alone', () => {
		const shares = new FairShareLimiter();
		shares.recordEnqueue('a', 1, 0);
		expect(fill(shares, 'a')).toEqual(8);
	});

	it('keep a reserve free from an account beyond its fair share, for those within theirs', () => {
		const shares = new FairShareLimiter();
		shares.recordEnqueue('flood', 1, 0);
		shares.recordEnqueue('quiet', 1, 0);
		expect(fill(shares, 'flood')).toEqual(5);
		expect(fill(shares, 'quiet', 5)).toEqual(8);
	});

	it('count a fair share by weight', () => {
		const shares = new FairShareLimiter();
		shares.recordEnqueue('heavy', 19, 0);
		shares.recordEnqueue('light', 1, 0);
		expect(fill(shares, 'light')).toEqual(5);
		expect(fill(shares, 'heavy', 5)).toEqual(8);
	});

	it('hold back at once an account that holds thrice its share of the places', () => {
		const shares = new FairShareLimiter();
		for (const account of ['flood', 'quiet', 'third', 'fourth', 'fifth']) {
			shares.recordEnqueue(account, 1, 0);
		}

		const target = {
			concurrencyLimit: places, fullConcurrencyLimit: places, running: 5, tokensPerSecond: 0, nowMs: 0,
		};
		for (let started = 0; started < 3; started++) {
			shares.recordStart('flood', 1, 0);
		}

		const atThree = shares.mayStart('flood', target);
		shares.recordStart('flood', 1, 0);
		expect([atThree, shares.mayStart('flood', target), shares.mayStart('quiet', target)]).toEqual([true, false, true]);
	});

	it('let accounts within their share use every place during a probe, and hold others back', () => {
		const shares = new FairShareLimiter();
		shares.recordEnqueue('flood', 1, 0);
		shares.recordEnqueue('quiet', 1, 0);
		fill(shares, 'flood');
		const probed = {
			concurrencyLimit: 4, fullConcurrencyLimit: places, running: 5, tokensPerSecond, nowMs: 0,
		};
		expect([shares.mayStart('flood', {...probed, running: 2}), shares.mayStart('quiet', probed)]).toEqual([false, true]);
	});

	it('forget use after a while, and accounts that have gone', () => {
		const shares = new FairShareLimiter();
		shares.recordEnqueue('a', 1, 0);
		shares.recordEnqueue('b', 1, 0);
		const started = fill(shares, 'a');
		endAll(shares, 'a', started);
		expect(shares.mayStart('a', {
			concurrencyLimit: places, fullConcurrencyLimit: places, running: 5, tokensPerSecond, nowMs: 1000,
		})).toEqual(false);
		expect(shares.mayStart('a', {
			concurrencyLimit: places, fullConcurrencyLimit: places, running: 5, tokensPerSecond, nowMs: 9000,
		})).toEqual(true);
		endAll(shares, 'a', fill(shares, 'a', 0, 9000));
		shares.recordEnqueue('a', 1, 10_001);
		expect(shares.mayStart('a', {
			concurrencyLimit: places, fullConcurrencyLimit: places, running: 7, tokensPerSecond, nowMs: 10_001,
		})).toEqual(true);
	});
});
