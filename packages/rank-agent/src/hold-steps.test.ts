import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HoldSteps, maxHoldLeadSteps} from './hold-steps.js';

const marginSteps = 3;

/** All steps that are left while the last one begun stands still. */
function stepsAt(steps: HoldSteps, step: number): number[] {
	const taken: number[] = [];
	for (let next = steps.next(step, marginSteps); next !== undefined; next = steps.next(step, marginSteps)) {
		taken.push(next);
	}

	return taken;
}

describe('HoldSteps', () => {
	it('gives no step twice while the group rests, none too far ahead, and goes on after a step', () => {
		const steps = new HoldSteps();
		steps.noteFencing(1);
		steps.noteStep(10);
		const first = stepsAt(steps, 11);
		expect(first).toEqual([11 + maxHoldLeadSteps]);
		expect([steps.hasNext(11), steps.hasNext(12)]).toEqual([false, true]);
		expect(stepsAt(steps, 30)).toEqual([33, 34, 35, 36, 37, 38]);
	});

	it('counts as used what another coordinator may have used, once the step is known that was begun after it was fenced off', () => {
		const earlier = new HoldSteps();
		earlier.noteFencing(1);
		earlier.noteStep(0);
		const used = new Set([...stepsAt(earlier, 9), ...stepsAt(earlier, 10)]);
		const later = new HoldSteps();
		later.noteFencing(2);
		later.noteStep(10);
		expect([...stepsAt(later, 10), ...stepsAt(later, 12)].filter(step => used.has(step))).toEqual([]);
		earlier.noteFencing(4);
		earlier.noteStep(12);
		expect(stepsAt(earlier, 12)).toEqual([]);
	});

	it('still takes over after an attempt that was fenced and ended before it knew the step', () => {
		const steps = new HoldSteps();
		steps.noteFencing(1);
		steps.noteFencing(2);
		steps.noteStep(10);
		expect(stepsAt(steps, 10)).toEqual([]);
	});
});
