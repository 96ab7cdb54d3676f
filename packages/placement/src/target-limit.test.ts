import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createQueue, createSelector, request} from './test-fixtures.js';
import type {Admission} from './index.js';

const limited = {targetId: 't0', bornMs: 1, perSecond: 4};
const granted = {granted: 1, retryInMs: 0};
const at = (nowMs: number) => ({askedAtMs: nowMs, nowMs});

describe('limits that targets name', () => {
	it('leave a request to a target only with a permit, and each permit to one request', () => {
		const selector = createSelector(2);
		selector.setLimit(limited);
		const chosen = () => {
			const choice = selector.choose({
				service: 's', nowMs: 10, random: () => 0, excluded: new Set(['t1']),
			});
			return choice.kind;
		};

		expect(chosen()).toEqual('limited');
		selector.permits.record(limited, granted, at(0));
		expect(chosen()).toEqual('target');
		selector.sent('t0', 10);
		expect(chosen()).toEqual('limited');
		selector.setLimit({targetId: 't0', bornMs: 1});
		expect(chosen()).toEqual('target');
	});

	it('leave requests to the other targets meanwhile, and say nothing of the health of the target', () => {
		const selector = createSelector(2);
		selector.setLimit(limited);
		const choice = selector.choose({service: 's', nowMs: 0, random: () => 0});
		expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
		expect(selector.limitedTargets('s', 0)).toEqual([limited]);
		expect(selector.limitedTargets('other', 0)).toEqual([]);
		selector.permits.record(limited, granted, at(0));
		const withPermit = selector.choose({
			service: 's', nowMs: 0, random: () => 0, excluded: new Set(['t1']),
		});
		expect(withPermit.kind === 'target' && withPermit.view.isBackingOff).toEqual(false);
	});

	it('refuse what cannot be sent in time, with the time after which those who wait have had their turn', () => {
		const selector = createSelector(1);
		selector.setLimit(limited);
		for (let index = 0; index < 8; index++) {
			selector.permits.record(limited, granted, at(index * 500));
		}

		selector.permits.use(limited);
		const queue = createQueue(selector);
		const outcomes: Admission[] = [];
		for (let index = 0; index < 4; index++) {
			queue.admit({...request, arrivedAtMs: 3600}, 3600, admission => {
				outcomes.push(admission);
			});
		}

		expect(outcomes).toEqual([]);
		queue.processQueue(3700);
		const retryAfterMs = outcomes.map(outcome => outcome.kind === 'refused' && outcome.reason === 'limited' ? outcome.retryAfterMs : 0);
		expect(retryAfterMs.length).toEqual(4);
		expect(retryAfterMs.every(afterMs => afterMs >= 500 && afterMs <= 4000)).toEqual(true);
	});
});
