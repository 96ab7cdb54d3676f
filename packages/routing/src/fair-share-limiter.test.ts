import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FairShareLimiter} from './index.js';

const places = 8;
const tokensPerSecond = 100;

/** Starts work of an account until it may not start more; returns the number of running requests. */
function startAll(limiter: FairShareLimiter, clientAccount: string, running = 0, nowMs = 0): number {
	let started = running;
	while (limiter.mayStart(clientAccount, {
		places, fullPlaces: places, running: started, tokensPerSecond, nowMs,
	})) {
		limiter.recordStart(clientAccount, 100, nowMs);
		started++;
	}

	return started;
}

function endAll(limiter: FairShareLimiter, clientAccount: string, count: number): void {
	for (let ended = 0; ended < count; ended++) {
		limiter.recordEnd(clientAccount);
	}
}

describe('FairShareLimiter', () => {
	it('allows a single account the full concurrency limit', () => {
		const limiter = new FairShareLimiter();
		limiter.recordEnqueue('a', 1, 0);
		expect(startAll(limiter, 'a')).toEqual(8);
	});

	it('reserves capacity for accounts within their fair share when another is over its share', () => {
		const limiter = new FairShareLimiter();
		limiter.recordEnqueue('flood', 1, 0);
		limiter.recordEnqueue('quiet', 1, 0);
		expect(startAll(limiter, 'flood')).toEqual(5);
		expect(startAll(limiter, 'quiet', 5)).toEqual(8);
	});

	it('computes the fair share by weight', () => {
		const limiter = new FairShareLimiter();
		limiter.recordEnqueue('heavy', 19, 0);
		limiter.recordEnqueue('light', 1, 0);
		expect(startAll(limiter, 'light')).toEqual(5);
		expect(startAll(limiter, 'heavy', 5)).toEqual(8);
	});

	it('immediately limits an account that runs more than three times its share', () => {
		const limiter = new FairShareLimiter();
		for (const account of ['flood', 'quiet', 'third', 'fourth', 'fifth']) {
			limiter.recordEnqueue(account, 1, 0);
		}

		const target = {
			places, fullPlaces: places, running: 5, tokensPerSecond: 0, nowMs: 0,
		};
		for (let started = 0; started < 3; started++) {
			limiter.recordStart('flood', 1, 0);
		}

		const atThree = limiter.mayStart('flood', target);
		limiter.recordStart('flood', 1, 0);
		expect([atThree, limiter.mayStart('flood', target), limiter.mayStart('quiet', target)]).toEqual([true, false, true]);
	});

	it('during a probe, allows accounts within their share the full limit and restricts the others', () => {
		const limiter = new FairShareLimiter();
		limiter.recordEnqueue('flood', 1, 0);
		limiter.recordEnqueue('quiet', 1, 0);
		startAll(limiter, 'flood');
		const probed = {
			places: 4, fullPlaces: places, running: 5, tokensPerSecond, nowMs: 0,
		};
		expect([limiter.mayStart('flood', {...probed, running: 2}), limiter.mayStart('quiet', probed)]).toEqual([false, true]);
	});

	it('forgets old use and inactive accounts', () => {
		const limiter = new FairShareLimiter();
		limiter.recordEnqueue('a', 1, 0);
		limiter.recordEnqueue('b', 1, 0);
		const started = startAll(limiter, 'a');
		endAll(limiter, 'a', started);
		expect(limiter.mayStart('a', {
			places, fullPlaces: places, running: 5, tokensPerSecond, nowMs: 1000,
		})).toEqual(false);
		expect(limiter.mayStart('a', {
			places, fullPlaces: places, running: 5, tokensPerSecond, nowMs: 9000,
		})).toEqual(true);
		endAll(limiter, 'a', startAll(limiter, 'a', 0, 9000));
		limiter.recordEnqueue('a', 1, 10_001);
		expect(limiter.mayStart('a', {
			places, fullPlaces: places, running: 7, tokensPerSecond, nowMs: 10_001,
		})).toEqual(true);
	});
});
