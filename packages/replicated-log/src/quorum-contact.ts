/** When a leader last reached a quorum. */

import {quorumValue} from './membership.js';
import {currentMembership, type ReplicaState} from './replica-state.js';

/** Send time of the newest broadcast that a quorum acknowledged. */
export function quorumContactMs(state: ReplicaState, nowMs: number): number {
	return quorumValue(currentMembership(state), voterId => voterId === state.id ? nowMs : state.leader?.progress.get(voterId)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY);
}
