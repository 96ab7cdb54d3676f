/** Elections: pre-vote, votes, and a leader that steps down when it no longer reaches a quorum. */

import {
	becomeFollower, type Context, resetElectionDeadline, saveVoteState, sendAfterSync, setRole,
} from './context.js';
import type {VoterId} from './log-entry.js';
import {isVoter, quorumSize} from './membership.js';
import type {
	PreVoteMessage, PreVoteReplyMessage, TimeoutNowMessage, VoteMessage, VoteReplyMessage,
} from './messages.js';
import {quorumContactMs} from './quorum-contact.js';
import {currentMembership, mayStand, type ReplicaState} from './replica-state.js';
import {becomeLeader} from './replication.js';

/** Starts a pre-vote once no leader was heard for long enough. */
export function checkElectionDeadline(context: Context): void {
	const {state, nowMs} = context;
	if (!mayStand(state)) {
		return;
	}

	const {voters} = currentMembership(state);
	const isAlone = voters.length === 1 && voters[0].voterId === state.id;
	if (isAlone || nowMs >= state.electionDeadlineMs) {
		startPreVote(context);
	}
}

/** A leader that heard no quorum for an election timeout steps down. */
export function checkQuorum(context: Context): void {
	const {state, nowMs} = context;
	const contactMs = Math.max(quorumContactMs(state, nowMs), state.leader!.since.nowMs);
	if (nowMs - contactMs > state.options.electionTimeoutMs) {
		becomeFollower(context, state.voteState.term);
	}
}

/** Answers a pre-vote; changes nothing. */
export function onPreVote(context: Context, from: VoterId, message: PreVoteMessage): void {
	const {state} = context;
	const granted = message.term > state.voteState.term && isUpToDate(state, message) && !hearsLeader(context);
	sendAfterSync(context, from, {type: 'preVoteReply', term: granted ? message.term : state.voteState.term, granted});
}

/** Counts an answer to a pre-vote. */
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

/** Answers a vote request. While a leader is heard, only an election the leader asked for is heeded. */
export function onVote(context: Context, from: VoterId, message: VoteMessage): void {
	const {state} = context;
	const {term} = state.voteState;
	if (message.term < term || (hearsLeader(context) && !message.isTransfer)) {
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

/** Counts an answer to a vote request. */
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

/** Starts an election at once, as the leader asked. */
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
		sendAfterSync(context, voter, {type: 'preVote', term: state.voteState.term + 1, ...lastPosition(state)});
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
			type: 'vote', term, isTransfer, ...lastPosition(state),
		});
	}
}

/** Whether a leader was heard so recently that its lease may still run. */
function hearsLeader(context: Context): boolean {
	const {state, nowMs} = context;
	const {electionTimeoutMs} = state.options;
	const contactMs = state.leader ? Math.max(quorumContactMs(state, nowMs), state.leader.since.nowMs) : state.lastContactMs;
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
	const {lastIndex, lastTerm} = lastPosition(state);
	return position.lastTerm > lastTerm || (position.lastTerm === lastTerm && position.lastIndex >= lastIndex);
}

function lastPosition(state: ReplicaState): {lastIndex: number; lastTerm: number} {
	return {lastIndex: state.entries.lastIndex, lastTerm: state.entries.lastTerm};
}

function otherVoters(state: ReplicaState): VoterId[] {
	return currentMembership(state).voters.map(voter => voter.voterId).filter(voterId => voterId !== state.id);
}
