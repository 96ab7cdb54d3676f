import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FirstTries} from './first-tries.js';

const route = {name: 'draft', timeoutMs: 8000};

describe('FirstTries', () => {
	it('tells how long ago a caller asked first', () => {
		const tries = new FirstTries();
		expect(tries.sinceMs(route, 8022)).toEqual(0);
		expect(tries.sinceMs(route, 7850)).toEqual(150);
		expect(tries.sinceMs(route, undefined)).toEqual(0);
	});

	it('does not take callers for returning ones after operators have raised the timeout', () => {
		const tries = new FirstTries();
		expect(tries.sinceMs({...route, timeoutMs: 12_000}, 8022)).toEqual(0);
		expect(tries.sinceMs({...route, timeoutMs: 12_000}, 7022)).toEqual(1000);
	});

	it('goes by the timeout where operators have lowered it', () => {
		const tries = new FirstTries();
		tries.sinceMs(route, 8022);
		expect(tries.sinceMs({...route, timeoutMs: 3000}, 8022)).toEqual(0);
	});
});
