import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PlannedStop} from './planned-stop.js';

describe('the planned stop of an entry', () => {
	const begun = (limitMs = 7400) => {
		const stop = new PlannedStop();
		stop.begin({addressLifetimeMs: 3000, limitMs}, 10_000);
		return stop;
	};

	it('takes on everything before it has begun', () => {
		const stop = new PlannedStop();
		expect(stop.mayTakeOn({nowMs: 0, deadlineAtMs: 1_000_000})).toEqual(true);
		expect(stop.sinceBegunMs(0)).toEqual(undefined);
	});

	it('takes on everything while callers may hold addresses from before, also if it has handled the signal late', () => {
		expect(begun().mayTakeOn({nowMs: 12_699, deadlineAtMs: 1_000_000})).toEqual(true);
	});

	it('takes on later only what ends before it does', () => {
		expect(begun().mayTakeOn({nowMs: 12_700, deadlineAtMs: 17_400})).toEqual(true);
		expect(begun().mayTakeOn({nowMs: 12_700, deadlineAtMs: 17_401})).toEqual(false);
	});

	it('leaves half of a short time for the answers', () => {
		expect(begun(2000).mayTakeOn({nowMs: 10_999, deadlineAtMs: 1_000_000})).toEqual(true);
		expect(begun(2000).mayTakeOn({nowMs: 11_000, deadlineAtMs: 1_000_000})).toEqual(false);
	});

	it('is not begun anew by a second signal', () => {
		const stop = begun();
		stop.begin({addressLifetimeMs: 3000, limitMs: 7400}, 12_000);
		expect(stop.sinceBegunMs(13_000)).toEqual(3000);
	});
});
