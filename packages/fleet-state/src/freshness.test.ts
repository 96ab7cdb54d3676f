import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FreshnessTracker, type FreshnessLimits} from './freshness.js';

const serving: FreshnessLimits = {limitMs: 10_000, withoutQuorum: 'serve'};
const refusing: FreshnessLimits = {limitMs: 10_000, withoutQuorum: 'refuse'};

function trackerAt(revision: number, confirmedAtMs: number): FreshnessTracker {
	const tracker = new FreshnessTracker();
	tracker.setRevision(revision);
	tracker.confirm({revision, confirmedAtMs});
	return tracker;
}

describe('FreshnessTracker', () => {
	it('refuses work until it has a confirmed revision', () => {
		const tracker = new FreshnessTracker();
		expect(tracker.decide(serving, 0)).toEqual({kind: 'refuse', type: 'neverConfirmed'});
		tracker.setRevision(3);
		expect(tracker.decide(serving, 0)).toEqual({kind: 'refuse', type: 'neverConfirmed'});
		tracker.confirm({revision: 4, confirmedAtMs: 0});
		expect(tracker.decide(serving, 0)).toEqual({kind: 'refuse', type: 'neverConfirmed'});
		tracker.setRevision(4);
		expect(tracker.decide(serving, 0)).toEqual({kind: 'serve', basis: 'confirmed'});
	});

	it('refuses work beyond the limit when it is isolated', () => {
		const tracker = trackerAt(3, 0);
		tracker.reportQuorum('lost', 0);
		expect(tracker.decide(serving, 10_000).kind).toEqual('serve');
		expect(tracker.decide(serving, 10_001)).toEqual({kind: 'refuse', type: 'isolated'});
	});

	it('applies the configured policy beyond the limit when the quorum is lost', () => {
		const tracker = trackerAt(3, 0);
		tracker.reportQuorum('lost', 60_000);
		expect(tracker.decide(serving, 60_000)).toEqual({kind: 'serve', basis: 'quorumLost'});
		expect(tracker.decide(refusing, 60_000)).toEqual({kind: 'refuse', type: 'quorumLost'});
	});

	it('refuses work beyond the limit when a newer revision was confirmed, even if the quorum is lost', () => {
		const tracker = trackerAt(3, 0);
		tracker.confirm({revision: 4, confirmedAtMs: 5000});
		tracker.reportQuorum('lost', 10_001);
		expect(tracker.decide(serving, 10_000).kind).toEqual('serve');
		expect(tracker.decide(serving, 10_001)).toEqual({kind: 'refuse', type: 'behind'});
	});

	it('ignores an older confirmation', () => {
		const tracker = trackerAt(3, 5000);
		tracker.confirm({revision: 3, confirmedAtMs: 1000});
		expect(tracker.ageMs(6000)).toEqual(1000);
	});
});
