/** Leader election: pre-vote, voting, and a leader that steps down when it loses contact with a quorum. */

import {
	becomeFollower, type Context, resetElectionDeadline, saveVoteState, sendAfterSync, setRole,
} from './context.js';
import type {VoterId} from './log-entry.js';
import {isVoter, quorumSize} from './membership.js';
import type {
	PreVoteMessage, PreVoteReplyMessage, TimeoutNowMessage, VoteMessage, VoteReplyMessage,
} from './messages.js';
import {lastQuorumContactMs} from './quorum-contact.js';
import {currentMembership, canStartElection, type ReplicaState} from './replica-state.js';
import {becomeLeader} from './replication.js';

/** Part of the election timeout for which a voter that has granted a pre-vote leaves the election to the other one; less than any pause between two pre-votes, so that it gets its own turn. */
const deferralRatio = 0.25;

/** Starts a pre-vote once the election timeout has elapsed without contact from a leader. */
export function checkElectionDeadline(context: Context): void {
	const {state, nowMs} = context;
	if (!canStartElection(state)) {
		return;
	}

	const {voters} = currentMembership(state);
	const isAlone = voters.length === 1 && voters[0].voterId === state.id;
	if (isAlone || nowMs >= state.electionDeadlineMs) {
		startPreVote(context);
	}
}

/** Makes a leader step down after an election timeout without contact with a quorum. */
export function checkQuorum(context: Context): void {
	const {state, nowMs} = context;
	const contactMs = Math.max(lastQuorumContactMs(state, nowMs), state.leader!.termStart.nowMs);
	if (nowMs - contactMs > state.options.electionTimeoutMs) {
		becomeFollower(context, state.voteState.term);
	}
}

/** Replies to a pre-vote request. A voter that grants it starts no election of its own for a moment, so that the votes are not split. */
export function onPreVote(context: Context, from: VoterId, message: PreVoteMessage): void {
	const {state, nowMs} = context;
	const granted = message.term > state.voteState.term && isUpToDate(state, message) && !hasRecentLeaderContact(context);
	if (granted) {
		state.electionDeadlineMs = Math.max(state.electionDeadlineMs, nowMs + (state.options.electionTimeoutMs * deferralRatio));
	}

	sendAfterSync(context, from, {type: 'preVoteReply', term: granted ? message.term : state.voteState.term, granted});
}

/** Handles a pre-vote reply; starts an election once a quorum has granted the pre-vote. */
export function onPreVoteReply(context: Context, from: VoterId, message: PreVoteReplyMessage): void {
	const {state} = context;
	if (!message.granted) {
		if (message.term > state.voteState.term) {
			becomeFollower(context, message.term);
		}

		return;
	}

	if (state.role === 'preCandidate' && message.term === state.voteState.term + 1 && hasQuorumOfVotes(state, from)) {
		startElection(context, false);
	}
}

/** Replies to a vote request. While there is contact with a leader, only an election that is part of a leadership transfer is considered. */
export function onVote(context: Context, from: VoterId, message: VoteMessage): void {
	const {state} = context;
	const {term} = state.voteState;
	if (message.term < term || (hasRecentLeaderContact(context) && !message.isTransfer)) {
		sendAfterSync(context, from, {type: 'voteReply', term, granted: false});
		return;
	}

	if (message.term > term) {
		becomeFollower(context, message.term);
	}

	const {votedFor} = state.voteState;
	const granted = (votedFor === undefined || votedFor === from) && isUpToDate(state, message);
	if (granted && votedFor === undefined) {
		saveVoteState(context, message.term, from);
		resetElectionDeadline(context);
	}

	sendAfterSync(context, from, {type: 'voteReply', term: message.term, granted});
}

/** Handles a vote reply; becomes leader once a quorum has granted its vote. */
export function onVoteReply(context: Context, from: VoterId, message: VoteReplyMessage): void {
	const {state} = context;
	if (message.term > state.voteState.term) {
		becomeFollower(context, message.term);
		return;
	}

	if (message.granted && state.role === 'candidate' && message.term === state.voteState.term && hasQuorumOfVotes(state, from)) {
		becomeLeader(context);
	}
}

/** Starts an election immediately, as requested by the leader for a leadership transfer. */
export function onTimeoutNow(context: Context, message: TimeoutNowMessage): void {
	const {state} = context;
	if (message.term === state.voteState.term && state.role === 'follower' && isVoter(currentMembership(state), state.id)) {
		startElection(context, true);
	}
}

function startPreVote(context: Context): void {
	const {state} = context;
	resetElectionDeadline(context);
	setRole(context, 'preCandidate');
	state.votes = new Set();
	if (hasQuorumOfVotes(state, state.id)) {
		startElection(context, false);
		return;
	}

	for (const voter of otherVoters(state)) {
		sendAfterSync(context, voter, {type: 'preVote', term: state.voteState.term + 1, ...lastLogPosition(state)});
	}
}

function startElection(context: Context, isTransfer: boolean): void {
	const {state} = context;
	const term = state.voteState.term + 1;
	saveVoteState(context, term, state.id);
	resetElectionDeadline(context);
	setRole(context, 'candidate');
	state.votes = new Set();
	if (hasQuorumOfVotes(state, state.id)) {
		becomeLeader(context);
		return;
	}

	for (const voter of otherVoters(state)) {
		sendAfterSync(context, voter, {
			type: 'vote', term, isTransfer, ...lastLogPosition(state),
		});
	}
}

/** Whether the last contact with a leader is so recent that its lease may still be valid. */
function hasRecentLeaderContact(context: Context): boolean {
	const {state, nowMs} = context;
	const {electionTimeoutMs} = state.options;
	const contactMs = state.leader ? Math.max(lastQuorumContactMs(state, nowMs), state.leader.termStart.nowMs) : state.lastContactMs;
	return nowMs - contactMs < electionTimeoutMs;
}

function hasQuorumOfVotes(state: ReplicaState, from: VoterId): boolean {
	const membership = currentMembership(state);
	state.votes.add(state.id);
	state.votes.add(from);
	const count = membership.voters.filter(voter => state.votes.has(voter.voterId)).length;
	return count >= quorumSize(membership);
}

function isUpToDate(state: ReplicaState, position: {readonly lastIndex: number; readonly lastTerm: number}): boolean {
	const {lastIndex, lastTerm} = lastLogPosition(state);
	return position.lastTerm > lastTerm || (position.lastTerm === lastTerm && position.lastIndex >= lastIndex);
}

function lastLogPosition(state: ReplicaState): {lastIndex: number; lastTerm: number} {
	return {lastIndex: state.entries.lastIndex, lastTerm: state.entries.lastTerm};
}

function otherVoters(state: ReplicaState): VoterId[] {
	return currentMembership(state).voters.map(voter => voter.voterId).filter(voterId => voterId !== state.id);
}
