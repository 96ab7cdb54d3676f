/** Boards, queues and requests for the tests of this package. */

import type {TargetReport} from '@rattanspring/target-table';
import {AdmissionQueue, type AdmissionRequest} from './admission.js';
import {TargetSelector} from './target-board.js';

/** Targets of one service, all ready. */
export function targets(count: number, slots = 2): TargetReport[] {
	return Array.from({length: count}, (_, index) => ({
		targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots, state: 'ready', coldLeftMs: 0,
	}));
}

/** A board that knows these targets. */
export function boardOf(count: number, slots = 2): TargetSelector {
	const board = new TargetSelector({failureDomain: 'a'});
	board.setTargets(targets(count, slots));
	return board;
}

/** A queue before a board, in which the account `busy` has requests in progress. */
export function queueOf(board: TargetSelector): AdmissionQueue {
	return new AdmissionQueue({
		selector: board, random: () => 0.5, inProgressOf: name => name === 'busy' ? 5 : 0, onWaiting: () => undefined,
	});
}

/** A request that just came. */
export const request: AdmissionRequest = {
	service: 's', priority: 1, accountName: 'a', arrivedAtMs: 0, objectiveMs: 400, deadlineAtMs: 8000,
};

/** Fills all places that a board allows. */
export function fill(board: TargetSelector): void {
	for (;;) {
		const choice = board.choose({service: 's', nowMs: 0, random: () => 0});
		if (choice.kind !== 'target') {
			return;
		}

		board.recordSent(choice.view.report.targetId, 0);
	}
}
