/** The leader's last contact with a quorum. */

import {quorumValue} from './membership.js';
import {currentMembership, type ReplicaState} from './replica-state.js';

/** Send time of the latest broadcast that a quorum has acknowledged. */
export function lastQuorumContactMs(state: ReplicaState, nowMs: number): number {
	return quorumValue(currentMembership(state), voterId => voterId === state.id ? nowMs : state.leader?.progress.get(voterId)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY);
}
