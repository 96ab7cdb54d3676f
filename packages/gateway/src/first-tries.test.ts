import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FirstTries} from './first-tries.js';

const route = {name: 'draft', timeoutMs: 8000};

describe('FirstTries', () => {
	it('reports a lower bound above 0 only beyond the spread of callers\' timeouts', () => {
		const tries = new FirstTries();
		expect(tries.since(route, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(tries.since(route, 7000)).toEqual({atLeastMs: 0, atMostMs: 1000});
		expect(tries.since(route, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
		expect(tries.since(route, undefined)).toEqual({atLeastMs: 0, atMostMs: 0});
	});

	it('does not report a retry after operators raised the timeout', () => {
		const tries = new FirstTries();
		expect(tries.since({...route, timeoutMs: 12_000}, 8000)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(tries.since({...route, timeoutMs: 12_000}, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
	});

	it('uses the timeout of the route after operators lowered it', () => {
		const tries = new FirstTries();
		tries.since(route, 8022);
		expect(tries.since({...route, timeoutMs: 3000}, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
	});
});
