import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FirstTries} from './first-tries.js';

const route = {name: 'draft', timeoutMs: 8000};

describe('FirstTries', () => {
	it('is sure of a return only beyond what limits of callers differ by', () => {
		const tries = new FirstTries();
		expect(tries.since(route, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(tries.since(route, 7000)).toEqual({atLeastMs: 0, atMostMs: 1000});
		expect(tries.since(route, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
		expect(tries.since(route, undefined)).toEqual({atLeastMs: 0, atMostMs: 0});
	});

	it('does not take callers for returning ones after operators have raised the timeout', () => {
		const tries = new FirstTries();
		expect(tries.since({...route, timeoutMs: 12_000}, 8000)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(tries.since({...route, timeoutMs: 12_000}, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
	});

	it('goes by the timeout where operators have lowered it', () => {
		const tries = new FirstTries();
		tries.since(route, 8022);
		expect(tries.since({...route, timeoutMs: 3000}, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
	});
});
