/** Selectors, queues and requests for the tests of this package. */

import type {TargetReport} from '@rattanspring/target-table';
import {AdmissionQueue} from './admission.js';
import type {AdmissionRequest} from './admission-request.js';
import {InProgressOrder} from './queue-order.js';
import {TargetSelector} from './target-selector.js';

/** Targets of one service, all ready. */
export function targets(count: number, slots = 2): TargetReport[] {
	return Array.from({length: count}, (_, index) => ({
		targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots, state: 'ready', coldLeftMs: 0,
	}));
}

/** Creates a selector with the given number of targets. */
export function createSelector(count: number, slots = 2): TargetSelector {
	const selector = new TargetSelector({failureDomain: 'a'});
	selector.setTargets(targets(count, slots), 0);
	return selector;
}

/** Creates a queue in which the account `busy` has requests in progress. */
export function createQueue(selector: TargetSelector): AdmissionQueue {
	return new AdmissionQueue({
		selector, random: () => 0.5, order: new InProgressOrder(name => name === 'busy' ? 5 : 0), onWaiting: () => undefined,
	});
}

/** A request that has just arrived. */
export const request: AdmissionRequest = {
	service: 's', priority: 1, accountName: 'a', arrivedAtMs: 0, objectiveMs: 400, deadlineAtMs: 8000,
};

/** Sends requests until all slots of all targets are in use. */
export function fillSlots(selector: TargetSelector): void {
	for (;;) {
		const choice = selector.choose({service: 's', nowMs: 0, random: () => 0});
		if (choice.kind !== 'target') {
			return;
		}

		selector.sent(choice.view.report.targetId, 0);
	}
}
