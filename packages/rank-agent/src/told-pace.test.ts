import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ToldPace} from './told-pace.js';

describe('ToldPace', () => {
	it('tells at once that a rank is slow, and that it has recovered', () => {
		const told = new ToldPace();
		expect([told.observe(1, 0), told.value]).toEqual([false, undefined]);
		expect([told.observe(5, 5000), told.value]).toEqual([true, 5]);
		expect([told.observe(5.2, 7000), told.value]).toEqual([false, 5]);
		expect([told.observe(1.02, 8000), told.value]).toEqual([true, undefined]);
	});

	it('tells the recovery of a rank that was hardly slow', () => {
		const told = new ToldPace();
		told.observe(1.1, 2000);
		told.observe(1, 4000);
		expect(told.value).toEqual(undefined);
	});

	it('tells at most one change a second of a pace that wavers, and the last one in the end', () => {
		const told = new ToldPace();
		let changes = 0;
		for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
			changes += told.observe(nowMs % 200 === 0 ? 5 : 1, nowMs) ? 1 : 0;
		}

		expect(changes <= 10).toEqual(true);
		told.observe(1, 11_000);
		expect(told.value).toEqual(undefined);
	});
});
