/** Entry point of the consensus core: handles an event and returns the resulting effects. */

import type {Transition} from '@rattanspring/types';
import {onAppendReply} from './append-reply.js';
import {onContact, onContactReply} from './contact.js';
import {advanceCommit} from './commit.js';
import type {Context} from './context.js';
import {entryBytes} from './entry-bytes.js';
import {
	checkElectionDeadline, checkQuorum, onPreVote, onPreVoteReply, onTimeoutNow, onVote, onVoteReply,
} from './election.js';
import {
	commandPayload, type Effect, type Proposal, type ReplicaEvent,
} from './events.js';
import {onAppend, onSnapshot} from './follower.js';
import {onChangeMembership} from './membership-change.js';
import type {Envelope} from './messages.js';
import {onRead} from './reads.js';
import {refuse, refuseNotLeader} from './refusals.js';
import {membershipAt, type ReplicaState} from './replica-state.js';
import {appendAsLeader, broadcast, sendNewEntries} from './replication.js';
import {checkTransferDeadline, onTransferLeadership} from './transfer.js';

/** Handles one event. The state is modified in place; the returned state is the same object. */
export function step(state: ReplicaState, event: ReplicaEvent): Transition<ReplicaState, Effect> {
	const context: Context = {
		state, nowMs: event.nowMs, random: event.random, effects: [],
	};
	dispatch(context, event);
	return {state, effects: context.effects};
}

function dispatch(context: Context, event: ReplicaEvent): void {
	switch (event.type) {
		case 'tick': {
			onTick(context);
			break;
		}

		case 'received': {
			onReceived(context, event.envelope);
			break;
		}

		case 'synced': {
			onSynced(context, event.index, event.term);
			break;
		}

		case 'propose': {
			onPropose(context, event.proposals);
			break;
		}

		case 'changeMembership': {
			onChangeMembership(context, event.requestId, event.change);
			break;
		}

		case 'read': {
			onRead(context, event.requestId);
			break;
		}

		case 'compact': {
			onCompact(context, event.index, event.state);
			break;
		}

		case 'transferLeadership': {
			onTransferLeadership(context);
			break;
		}
	}
}

function onTick(context: Context): void {
	const {state, nowMs} = context;
	if (!state.leader) {
		checkElectionDeadline(context);
		return;
	}

	checkTransferDeadline(context);
	checkQuorum(context);
	if (state.leader && nowMs >= state.leader.nextHeartbeatMs) {
		broadcast(context);
	}
}

function onReceived(context: Context, {from, to, message}: Envelope): void {
	if (to !== context.state.id) {
		return;
	}

	switch (message.type) {
		case 'preVote': {
			onPreVote(context, from, message);
			break;
		}

		case 'preVoteReply': {
			onPreVoteReply(context, from, message);
			break;
		}

		case 'vote': {
			onVote(context, from, message);
			break;
		}

		case 'voteReply': {
			onVoteReply(context, from, message);
			break;
		}

		case 'append': {
			onAppend(context, from, message);
			break;
		}

		case 'appendReply': {
			onAppendReply(context, from, message);
			break;
		}

		case 'snapshot': {
			onSnapshot(context, from, message);
			break;
		}

		case 'contact': {
			onContact(context, from, message);
			break;
		}

		case 'contactReply': {
			onContactReply(context, from, message);
			break;
		}

		case 'timeoutNow': {
			onTimeoutNow(context, message);
			break;
		}
	}
}

function onSynced(context: Context, index: number, term: number): void {
	const {state} = context;
	if (state.entries.termAt(index) !== term) {
		return;
	}

	state.durableIndex = Math.max(state.durableIndex, index);
	if (state.leader) {
		advanceCommit(context);
	}
}

function onPropose(context: Context, proposals: readonly Proposal[]): void {
	const {leader} = context.state;
	if (!leader) {
		for (const {requestId} of proposals) {
			refuseNotLeader(context, requestId);
		}

		return;
	}

	if (leader.transfer) {
		for (const {requestId} of proposals) {
			refuse(context, requestId, {type: 'transferring', message: 'A leadership transfer is in progress; try again.'});
		}

		return;
	}

	const entries = appendAsLeader(context, proposals.map(({command}) => commandPayload(command)));
	for (const [position, {index, term}] of entries.entries()) {
		context.effects.push({
			type: 'accepted', requestId: proposals[position].requestId, index, term,
		});
	}

	sendNewEntries(context);
}

/** Replaces the snapshot and removes the entries it covers, except for the trailing ones that slightly lagging members still need. */
function onCompact(context: Context, index: number, machineState: Uint8Array): void {
	const {state} = context;
	const lastTerm = state.entries.termAt(index);
	if (index > state.commitIndex || lastTerm === undefined || index <= (state.snapshot?.lastIndex ?? 0)) {
		return;
	}

	const {voters, learners} = membershipAt(state, index);
	state.snapshot = {
		lastIndex: index, lastTerm, voters, learners, state: machineState,
	};
	state.memberships = [membershipAt(state, index), ...state.memberships.filter(membership => membership.index > index)];
	state.entries.dropThrough(lastDroppedIndex(state, index));
	context.effects.push({type: 'saveSnapshot', snapshot: state.snapshot});
}

/** The last entry that need not be retained after a snapshot up to `index`. */
function lastDroppedIndex({entries, options}: ReplicaState, index: number): number {
	const oldest = Math.max(entries.baseIndex, index - options.trailingEntries);
	const trailing = entries.slice(oldest + 1, index - oldest);
	let bytes = 0;
	const beyond = trailing.findLastIndex(entry => {
		bytes += entryBytes(entry);
		return bytes > options.trailingBytes;
	});
	return oldest + beyond + 1;
}
