/** Replication on the follower's side. */

import {
	type Context, followLeader, sendAfterSync,
} from './context.js';
import type {LogEntry, VoterId} from './log-entry.js';
import {membershipsIn} from './membership.js';
import type {AppendMessage, Round, SnapshotMessage} from './messages.js';
import type {ReplicaState} from './replica-state.js';
import {commitThrough} from './replication.js';

/** Appends the leader's entries if the local log matches at `prevIndex`; otherwise replies with a hint where to continue. */
export function onAppend(context: Context, from: VoterId, message: AppendMessage): void {
	const {state} = context;
	if (!acceptLeader(context, from, message)) {
		return;
	}

	const {prevIndex, entries} = message;
	const lastNewIndex = prevIndex + entries.length;
	if (!matchesLog(state, message)) {
		const hint = Math.min(prevIndex - 1, state.entries.lastIndex);
		reply(context, from, message, {success: false, prevIndex, matchIndex: Math.max(hint, state.commitIndex)});
		return;
	}

	appendAsFollower(context, entries.filter(entry => entry.index > state.commitIndex));
	commitThrough(context, Math.min(message.commitIndex, lastNewIndex));
	reply(context, from, message, {success: true, prevIndex, matchIndex: Math.max(lastNewIndex, state.commitIndex)});
}

/** Installs the leader's snapshot if it is ahead of the local commit index. */
export function onSnapshot(context: Context, from: VoterId, message: SnapshotMessage): void {
	const {state, effects} = context;
	if (!acceptLeader(context, from, message)) {
		return;
	}

	const {snapshot} = message;
	if (snapshot.lastIndex > state.commitIndex) {
		installSnapshot(state, message);
		effects.push({type: 'saveSnapshot', snapshot}, {type: 'restore', snapshot});
	}

	reply(context, from, message, {success: true, prevIndex: snapshot.lastIndex, matchIndex: state.commitIndex});
}

type LeaderMessage = AppendMessage | SnapshotMessage;

/** Accepts the sender as leader and restarts the election timeout; returns false if the sender's term is outdated. */
function acceptLeader(context: Context, from: VoterId, message: LeaderMessage): boolean {
	if (message.term < context.state.voteState.term) {
		reply(context, from, message, {success: false, prevIndex: 0, matchIndex: 0});
		return false;
	}

	followLeader(context, from, message.term);
	return true;
}

function matchesLog(state: ReplicaState, message: AppendMessage): boolean {
	const {prevIndex, prevTerm} = message;
	return prevIndex <= state.commitIndex || state.entries.termAt(prevIndex) === prevTerm;
}

/** Appends new entries. An entry with the same index and another term is replaced, and all entries after it are removed. */
function appendAsFollower(context: Context, entries: readonly LogEntry[]): void {
	const {state, effects} = context;
	const firstNew = entries.findIndex(entry => state.entries.termAt(entry.index) !== entry.term);
	if (firstNew === -1) {
		return;
	}

	const added = entries.slice(firstNew);
	const {index} = added[0];
	state.entries.truncateFrom(index);
	state.durableIndex = Math.min(state.durableIndex, index - 1);
	state.memberships = [...state.memberships.filter(membership => membership.index < index), ...membershipsIn(added)];
	for (const entry of added) {
		state.entries.push(entry);
	}

	effects.push({type: 'append', entries: added});
}

/** Installs a snapshot. Entries after it are retained only if the log contains the snapshot's last entry. */
function installSnapshot(state: ReplicaState, {snapshot}: SnapshotMessage): void {
	const {lastIndex, lastTerm, voters, learners} = snapshot;
	const matchesSnapshot = state.entries.termAt(lastIndex) === lastTerm;
	if (matchesSnapshot) {
		state.entries.dropThrough(lastIndex);
	} else {
		state.entries.reset(lastIndex, lastTerm);
		state.durableIndex = lastIndex;
	}

	const later = matchesSnapshot ? state.memberships.filter(membership => membership.index > lastIndex) : [];
	state.memberships = [{index: lastIndex, voters, learners}, ...later];
	state.durableIndex = Math.max(state.durableIndex, lastIndex);
	state.snapshot = snapshot;
	state.commitIndex = lastIndex;
}

type ReplyContent = {readonly success: boolean; readonly prevIndex: number; readonly matchIndex: number};

function reply(context: Context, to: VoterId, {round, sentAtMs}: Round, content: ReplyContent): void {
	sendAfterSync(context, to, {
		type: 'appendReply', term: context.state.voteState.term, round, sentAtMs, ...content,
	});
}
