import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createQueue, createSelector, request, targets,
} from './test-fixtures.js';
import {type AdmissionQueue, type Admission, TargetSelector} from './index.js';

const coldPerSecond = 4;
const granted = {granted: 1, retryInMs: 0};
const at = (nowMs: number) => ({askedAtMs: nowMs, nowMs});

function createColdSelector(isCold: (targetId: string, nowMs: number) => boolean, permitNowMs?: () => number): TargetSelector {
	const selector = new TargetSelector({
		failureDomain: 'a', coldLimitOf: ({targetId}, nowMs) => isCold(targetId, nowMs) ? coldPerSecond : undefined, hasSeenStart: ({targetId}) => targetId === 't0', ...(permitNowMs && {permitNowMs}),
	});
	selector.setTargets(targets(2), 0);
	return selector;
}

const kindOf = (selector: TargetSelector, nowMs: number, excluded = new Set(['t1'])) => selector.choose({
	service: 's', nowMs, random: () => 0, excluded,
}).kind;

describe('cold targets', () => {
	it('get a request only with a permit while they are cold, and at any moment again', () => {
		const selector = createColdSelector((targetId, nowMs) => targetId === 't0' && (nowMs < 1000 || nowMs >= 2000));
		expect([kindOf(selector, 0), kindOf(selector, 1000), kindOf(selector, 2000)]).toEqual(['limited', 'target', 'limited']);
		const [limit] = selector.limitedTargets('s', 0);
		expect(limit).toEqual({targetId: 't0', bornMs: 1, coldPerSecond});
		selector.permits.record(limit, granted, at(2000));
		expect(kindOf(selector, 2001)).toEqual('target');
		selector.sent('t0', 2001);
		expect(kindOf(selector, 2001)).toEqual('limited');
	});

	it('get none with a permit from before the process was suspended', () => {
		let suspendedMs = 0;
		const selector = createColdSelector(() => true, () => suspendedMs);
		const [limit] = selector.limitedTargets('s', 0);
		selector.permits.record(limit, granted, at(0));
		expect(kindOf(selector, 10)).toEqual('target');
		suspendedMs = 1000;
		expect(kindOf(selector, 10)).toEqual('limited');
	});

	it('refuse at once, with a time, what no permit can be there for', () => {
		const selector = createColdSelector(() => true);
		for (const limit of selector.limitedTargets('s', 0)) {
			selector.permits.record(limit, {granted: 0, retryInMs: 700}, at(0));
		}

		const queue: AdmissionQueue = createQueue(selector);
		const outcomes: Admission[] = [];
		queue.admit({...request, arrivedAtMs: 10}, 10, admission => {
			outcomes.push(admission);
		});
		expect([queue.waitingCount, outcomes.map(outcome => outcome.kind === 'refused' && outcome.reason === 'limited' && outcome.retryAfterMs > 0)]).toEqual([0, [true]]);
	});
});

describe('targets that were seen to start', () => {
	it('get one request at a time until they have answered one', () => {
		const selector = createColdSelector(() => false);
		expect(kindOf(selector, 0)).toEqual('target');
		selector.sent('t0', 0);
		expect(kindOf(selector, 0)).toEqual('full');
		selector.answered({targetId: 't0', bornMs: 0});
		expect(kindOf(selector, 0)).toEqual('full');
		selector.answered({targetId: 't0', bornMs: 1});
		expect(kindOf(selector, 0)).toEqual('target');
	});

	it('leave the others as they are', () => {
		const selector = createColdSelector(() => false);
		selector.sent('t1', 0);
		expect(kindOf(selector, 0, new Set(['t0']))).toEqual('target');
		const other = createSelector(1);
		other.sent('t0', 0);
		expect(kindOf(other, 0)).toEqual('target');
	});
});
