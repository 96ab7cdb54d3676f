/** Replication on the leader's side: entries, heartbeats and snapshots. */

import {type Context, sendNow, setRole} from './context.js';
import {entryBytes, limitBytes} from './entry-bytes.js';
import type {LogEntry, LogPayload, VoterId} from './log-entry.js';
import {members} from './membership.js';
import {
	currentMembership, type LeaderState, type Progress, type ReplicaState,
} from './replica-state.js';

/** Becomes leader and appends a no-op entry, so that entries of earlier terms can be committed. */
export function becomeLeader(context: Context): void {
	const {state, nowMs} = context;
	setRole(context, 'leader', state.id);
	state.leader = {
		termStart: {nowMs, index: state.entries.lastIndex + 1},
		progress: new Map(),
		round: 0,
		nextHeartbeatMs: nowMs,
		pendingReads: [],
		deferredReads: [],
		isLeaseInvalidated: false,
	};
	appendAsLeader(context, [{kind: 'noop'}]);
	broadcast(context);
}

/** Appends payloads to the leader's log and returns the new entries. */
export function appendAsLeader(context: Context, payloads: readonly LogPayload[]): LogEntry[] {
	const {state} = context;
	const appended = payloads.map(payload => {
		const entry = {index: state.entries.lastIndex + 1, term: state.voteState.term, payload};
		state.entries.push(entry);
		return entry;
	});
	for (const {index, payload} of appended) {
		if (payload.kind === 'membership') {
			state.memberships.push({index, voters: payload.voters, learners: payload.learners});
		}
	}

	context.effects.push({type: 'append', entries: appended});
	return appended;
}

/** Starts a new round: sends each member its missing entries, or a heartbeat if there are none. */
export function broadcast(context: Context): void {
	const leader = context.state.leader!;
	leader.round++;
	leader.nextHeartbeatMs = context.nowMs + context.state.options.heartbeatIntervalMs;
	for (const member of members(currentMembership(context.state))) {
		if (member.voterId !== context.state.id) {
			sendContactIfBehind(context, member.voterId);
			sendAppend(context, member.voterId, {isHeartbeat: true});
		}
	}
}

/** Sends new entries to the members that can receive more. */
export function sendNewEntries(context: Context): void {
	for (const member of members(currentMembership(context.state))) {
		if (member.voterId !== context.state.id) {
			sendAppend(context, member.voterId, {isHeartbeat: false});
		}
	}
}

/** Advances the commit index and passes the newly committed entries to the state machine. */
export function commitThrough(context: Context, index: number): void {
	const {state, effects} = context;
	if (index <= state.commitIndex) {
		return;
	}

	const entries = state.entries.slice(state.commitIndex + 1, index - state.commitIndex);
	state.commitIndex = index;
	effects.push({type: 'apply', entries});
}

/** Sends a member its missing entries or the snapshot; an empty message only as a heartbeat or a probe. */
export function sendAppend(context: Context, to: VoterId, options: {readonly isHeartbeat: boolean}): void {
	const {state, nowMs} = context;
	const leader = state.leader!;
	const progress = progressOf(state, leader, to);
	const needsSnapshot = progress.nextIndex <= state.entries.baseIndex;
	if (needsSnapshot) {
		sendSnapshot(context, to, progress);
	}

	const entries = needsSnapshot ? [] : nextEntries(state, progress);
	const isProbe = progress.isProbing && !needsSnapshot;
	if (entries.length === 0 && !options.isHeartbeat && !isProbe) {
		return;
	}

	const prevIndex = needsSnapshot ? state.entries.baseIndex : progress.nextIndex - 1;
	sendNow(context, to, {
		type: 'append',
		term: state.voteState.term,
		prevIndex,
		prevTerm: state.entries.termAt(prevIndex)!,
		commitIndex: state.commitIndex,
		entries,
		round: leader.round,
		sentAtMs: nowMs,
	});
	progress.nextIndex += entries.length;
}

/** Sends a contact message to a member that has not acknowledged all that was sent to it earlier, as a heartbeat may have to wait behind that. */
function sendContactIfBehind(context: Context, to: VoterId): void {
	const {state, nowMs} = context;
	const leader = state.leader!;
	const progress = leader.progress.get(to);
	if (progress && (progress.matchIndex < progress.nextIndex - 1 || progress.snapshot)) {
		sendNow(context, to, {
			type: 'contact', term: state.voteState.term, round: leader.round, sentAtMs: nowMs,
		});
	}
}

function nextEntries(state: ReplicaState, progress: Progress): LogEntry[] {
	const {maxEntriesPerMessage, maxBytesPerMessage, maxEntriesInFlight, maxBytesInFlight} = state.options;
	const isWithinWindow = progress.nextIndex - progress.matchIndex <= maxEntriesInFlight;
	const canSendEntries = isWithinWindow && !progress.isProbing && bytesInFlight(state, progress) < maxBytesInFlight;
	return canSendEntries ? limitBytes(state.entries.slice(progress.nextIndex, maxEntriesPerMessage), maxBytesPerMessage) : [];
}

/** Size of the entries that were sent to a member and not yet acknowledged. */
function bytesInFlight({entries}: ReplicaState, {matchIndex, nextIndex}: Progress): number {
	const lastAcknowledged = Math.max(matchIndex, entries.baseIndex);
	const sent = entries.slice(lastAcknowledged + 1, Math.max(0, nextIndex - 1 - lastAcknowledged));
	return sent.map(entry => entryBytes(entry)).reduce((sum, bytes) => sum + bytes, 0);
}

/** Sends the snapshot, and resends it if it is missing, but not more often than once an election timeout. Heartbeats continue meanwhile. */
function sendSnapshot(context: Context, to: VoterId, progress: Progress): void {
	const {state, nowMs} = context;
	const {round} = state.leader!;
	const isDue = !progress.snapshot || (progress.snapshot.isMissing && nowMs - progress.snapshot.sentAtMs >= state.options.electionTimeoutMs);
	if (!isDue || !state.snapshot) {
		return;
	}

	progress.snapshot = {sentAtMs: nowMs, isMissing: false};
	sendNow(context, to, {
		type: 'snapshot', term: state.voteState.term, snapshot: state.snapshot, round, sentAtMs: nowMs,
	});
}

function progressOf(state: ReplicaState, leader: LeaderState, voterId: VoterId): Progress {
	let progress = leader.progress.get(voterId);
	if (!progress) {
		progress = {
			nextIndex: state.entries.lastIndex + 1, matchIndex: 0, isProbing: true, acknowledgedSentAtMs: Number.NEGATIVE_INFINITY, acknowledgedRound: 0,
		};
		leader.progress.set(voterId, progress);
	}

	return progress;
}
