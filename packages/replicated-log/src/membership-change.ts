/** Single-member membership changes: a member is added as a learner and promoted once it has caught up. */

import {advanceCommit} from './commit.js';
import type {Context} from './context.js';
import type {MembershipChange} from './events.js';
import type {Learner, Membership, Voter} from './log-entry.js';
import {findMember, isVoter, quorumSize} from './membership.js';
import {refuse, refuseNotLeader} from './refusals.js';
import {currentMembership, type ReplicaState} from './replica-state.js';
import {appendAsLeader, broadcast} from './replication.js';
import {onTransferLeadership} from './transfer.js';

/** Handles a membership change requested by an operator. */
export function onChangeMembership(context: Context, requestId: number, change: MembershipChange): void {
	const {state} = context;
	if (!state.leader) {
		refuseNotLeader(context, requestId);
		return;
	}

	if (isChangeInProgress(state)) {
		refuse(context, requestId, {type: 'changeInProgress', message: 'Another membership change or a leadership transfer is in progress; try again.'});
		return;
	}

	if (change.kind === 'add') {
		addLearner(context, requestId, change.learner);
	} else {
		removeMember(context, requestId, change.voterId);
	}
}

/**
Promotes one learner that has all committed entries. The voter that it replaces is removed in a separate change
immediately before, so that the number of tolerated failures stays the same.
*/
export function promoteCaughtUpLearners(context: Context): void {
	const {state} = context;
	const {leader} = state;
	if (!leader || isChangeInProgress(state)) {
		return;
	}

	const membership = currentMembership(state);
	const learner = membership.learners.find(({voterId}) => {
		const progress = leader.progress.get(voterId);
		const isCaughtUp = progress !== undefined && !progress.isProbing && progress.matchIndex >= state.commitIndex;
		return isCaughtUp && isQuorumReachable(context, [...membership.voters, ...membership.learners.filter(other => other.voterId === voterId)]);
	});
	if (!learner) {
		return;
	}

	if (learner.replaces === state.id) {
		onTransferLeadership(context);
		return;
	}

	const replaced = membership.voters.some(voter => voter.voterId === learner.replaces);
	if (replaced) {
		change(context, {...membership, voters: membership.voters.filter(voter => voter.voterId !== learner.replaces)});
		return;
	}

	const {voterId, address} = learner;
	change(context, {
		voters: [...membership.voters, {voterId, address}],
		learners: membership.learners.filter(other => other.voterId !== voterId),
	});
}

function addLearner(context: Context, requestId: number, learner: Learner): void {
	const membership = currentMembership(context.state);
	if (findMember(membership, learner.voterId)) {
		refuse(context, requestId, {type: 'alreadyMember', message: `${learner.voterId} is already a member.`});
		return;
	}

	if (learner.replaces !== undefined && !isVoter(membership, learner.replaces)) {
		refuse(context, requestId, {type: 'unknownMember', message: `${learner.replaces} is not a voter.`});
		return;
	}

	acceptChange(context, requestId, {...membership, learners: [...membership.learners, learner]});
}

function removeMember(context: Context, requestId: number, voterId: string): void {
	const {state} = context;
	const membership = currentMembership(state);
	if (!findMember(membership, voterId)) {
		refuse(context, requestId, {type: 'unknownMember', message: `${voterId} is not a member.`});
		return;
	}

	const voters = membership.voters.filter(voter => voter.voterId !== voterId);
	if (voters.length === 0) {
		refuse(context, requestId, {type: 'lastVoter', message: 'The last voter cannot be removed.'});
		return;
	}

	if (!isQuorumReachable(context, voters)) {
		refuse(context, requestId, {type: 'quorumAtRisk', message: 'The remaining reachable voters do not form a quorum; restore or add a voter first.'});
		return;
	}

	if (voterId === state.id) {
		onTransferLeadership(context);
		refuse(context, requestId, {type: 'isLeader', message: 'The voter is the leader and is transferring leadership first; try again.'});
		return;
	}

	acceptChange(context, requestId, {voters, learners: membership.learners.filter(learner => learner.voterId !== voterId)});
}

function acceptChange(context: Context, requestId: number, membership: Membership): void {
	const entry = change(context, membership);
	context.effects.push({
		type: 'accepted', requestId, index: entry.index, term: entry.term,
	});
}

function change(context: Context, {voters, learners}: Membership): {readonly index: number; readonly term: number} {
	const [entry] = appendAsLeader(context, [{kind: 'membership', voters, learners}]);
	broadcast(context);
	advanceCommit(context);
	return entry;
}

/** Whether the voters that replied within the last election timeout form a quorum of the given ones. */
function isQuorumReachable({state, nowMs}: Context, voters: readonly Voter[]): boolean {
	const sinceMs = nowMs - state.options.electionTimeoutMs;
	const reached = voters.filter(({voterId}) => voterId === state.id || (state.leader!.progress.get(voterId)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY) >= sinceMs);
	return reached.length >= quorumSize({voters, learners: []});
}

/** Whether a leadership transfer or an earlier membership change is in progress. */
function isChangeInProgress(state: ReplicaState): boolean {
	return state.leader?.transfer !== undefined || !isLastChangeCommitted(state);
}

/** Whether the last membership change and an entry of the current term are committed. Before that, a change could overlap with one of an earlier leader. */
function isLastChangeCommitted(state: ReplicaState): boolean {
	return currentMembership(state).index <= state.commitIndex && state.commitIndex >= state.leader!.termStart.index;
}
