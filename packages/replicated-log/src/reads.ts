/** Confirmed reads: by the leader's lease while it runs, else by a round that a quorum acknowledges. */

import type {Context} from './context.js';
import {quorumValue} from './membership.js';
import {leaseDurationMs} from './options.js';
import {quorumContactMs} from './quorum-contact.js';
import {refuseNotLeader} from './refusals.js';
import {currentMembership} from './replica-state.js';
import {broadcast} from './replication.js';

/** Starts a read. */
export function onRead(context: Context, requestId: number): void {
	const {leader} = context.state;
	if (!leader) {
		refuseNotLeader(context, requestId);
		return;
	}

	if (context.state.commitIndex < leader.since.index) {
		leader.earlyReads.push(requestId);
		return;
	}

	if (holdsLease(context)) {
		confirm(context, requestId, context.state.commitIndex);
		return;
	}

	broadcast(context);
	leader.pendingReads.push({requestId, index: context.state.commitIndex, round: leader.round});
	answerConfirmedReads(context);
}

/** Answers the reads whose round a quorum has acknowledged. */
export function answerConfirmedReads(context: Context): void {
	const {state} = context;
	const leader = state.leader!;
	if (leader.pendingReads.length === 0) {
		return;
	}

	const confirmedRound = quorumValue(currentMembership(state), voterId => voterId === state.id ? leader.round : leader.progress.get(voterId)?.acknowledgedRound ?? 0);
	const waiting = leader.pendingReads;
	leader.pendingReads = waiting.filter(read => read.round > confirmedRound);
	for (const read of waiting) {
		if (read.round <= confirmedRound) {
			confirm(context, read.requestId, read.index);
		}
	}
}

/** Starts the reads that waited for the first commit of the term. */
export function startEarlyReads(context: Context): void {
	const leader = context.state.leader!;
	const waiting = leader.earlyReads;
	if (waiting.length === 0 || context.state.commitIndex < leader.since.index) {
		return;
	}

	leader.earlyReads = [];
	for (const requestId of waiting) {
		onRead(context, requestId);
	}
}

/** Whether no other leader can exist yet, by this replica's own clock. */
export function holdsLease(context: Context): boolean {
	const {state, nowMs} = context;
	return !state.leader!.isLeaseVoid && nowMs < quorumContactMs(state, nowMs) + leaseDurationMs(state.options);
}

function confirm(context: Context, requestId: number, index: number): void {
	context.effects.push({type: 'readConfirmed', requestId, index});
}
