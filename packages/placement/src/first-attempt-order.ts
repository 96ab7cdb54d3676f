/**
Order of the queue that gives callers who come back after a refusal the place of their first attempt, and urgent requests the first slots.

Load that this answers: a burst of one kind of request beside others that are more urgent, and callers who come back early or often.
*/

import type {AdmissionRequest} from './admission-request.js';
import {type QueuedCandidate, QueueOrder} from './queue-order.js';

/** Time since the first attempt that counts as one level of priority, and the most levels that a request gains. On-time requests do not wait that long. */
const agingStepMs = 1000;
const maxAgingLevels = 2;

/** Requests that can be on time first, then by priority with the gain of waiting, then by account, then the earlier first attempt. */
export class FirstAttemptOrder extends QueueOrder {
	/** Rank of the request's client account; lower ones go first. All are equal by default. */
	accountRankOf(_candidate: QueuedCandidate, _nowMs: number): number {
		return 0;
	}

	compare(left: QueuedCandidate, right: QueuedCandidate, nowMs: number): number {
		return (Number(left.isLate) - Number(right.isLate))
			|| (agedPriority(left, nowMs) - agedPriority(right, nowMs))
			|| (this.accountRankOf(left, nowMs) - this.accountRankOf(right, nowMs))
			|| (firstAttemptAtMs(left.request) - firstAttemptAtMs(right.request));
	}
}

function agedPriority({request, isLate}: QueuedCandidate, nowMs: number): number {
	const levels = Math.floor((nowMs - firstAttemptAtMs(request)) / agingStepMs);
	return isLate ? request.priority - Math.min(maxAgingLevels, Math.max(0, levels)) : request.priority;
}

/** The latest time at which the caller's first attempt can have been. */
function firstAttemptAtMs({arrivedAtMs, sinceFirstTryMs = 0}: AdmissionRequest): number {
	return arrivedAtMs - sinceFirstTryMs;
}
