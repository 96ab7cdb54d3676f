import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ByteBudget} from './byte-budget.js';
import {RequestMemory} from './request-memory.js';

const overheadBytes = 4096;

describe('the memory of requests', () => {
	it('is taken from those whose bodies have stopped, the longest silent first, and from no others', () => {
		let nowMs = 0;
		let stoppedCount = 0;
		const budget = new ByteBudget(3 * (overheadBytes + 1000));
		const memory = new RequestMemory({
			budget, nowMs: () => nowMs, onStopped() {
				stoppedCount++;
			},
		});
		const [stopped, complete, coming, next, last] = Array.from({length: 5}, () => memory.open(0));
		expect([stopped.hold(1000), complete.hold(1000), coming.hold(500)]).toEqual([true, true, true]);
		complete.complete();
		nowMs = 400;
		coming.hold(1000);
		expect(next.hold(1000)).toEqual(false);
		nowMs = 600;
		expect(next.hold(1000)).toEqual(true);
		expect([stopped, complete, coming, next].map(({isEnded}) => isEnded)).toEqual([true, false, false, false]);
		expect(last.hold(1000)).toEqual(false);
		expect([stoppedCount, budget.usedBytes]).toEqual([1, 3 * (overheadBytes + 1000)]);
	});

	it('is given back once', () => {
		const budget = new ByteBudget(100_000);
		const memory = new RequestMemory({budget, nowMs: () => 0, onStopped: () => undefined});
		const held = memory.open(100);
		held.hold(10);
		held.end();
		held.release();
		expect(budget.usedBytes).toEqual(0);
	});
});
