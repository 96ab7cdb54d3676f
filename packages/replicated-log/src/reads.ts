/** Linearizable reads, confirmed by the leader's lease while it is valid, otherwise by a round that a quorum acknowledges. */

import type {Context} from './context.js';
import {quorumValue} from './membership.js';
import {leaseDurationMs} from './options.js';
import {lastQuorumContactMs} from './quorum-contact.js';
import {refuseNotLeader} from './refusals.js';
import {currentMembership} from './replica-state.js';
import {broadcast} from './replication.js';

/** Handles a read request. It is deferred until an entry of the current term is committed. */
export function onRead(context: Context, requestId: number): void {
	const {leader} = context.state;
	if (!leader) {
		refuseNotLeader(context, requestId);
		return;
	}

	if (context.state.commitIndex < leader.termStart.index) {
		leader.deferredReads.push(requestId);
		return;
	}

	if (hasValidLease(context)) {
		confirmRead(context, requestId, context.state.commitIndex);
		return;
	}

	broadcast(context);
	leader.pendingReads.push({requestId, index: context.state.commitIndex, round: leader.round});
	answerConfirmedReads(context);
}

/** Confirms the pending reads whose round a quorum has acknowledged. */
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
			confirmRead(context, read.requestId, read.index);
		}
	}
}

/** Processes the reads that were deferred until the first commit of the term. */
export function startDeferredReads(context: Context): void {
	const leader = context.state.leader!;
	const waiting = leader.deferredReads;
	if (waiting.length === 0 || context.state.commitIndex < leader.termStart.index) {
		return;
	}

	leader.deferredReads = [];
	for (const requestId of waiting) {
		onRead(context, requestId);
	}
}

/** Whether the lease is still valid by this replica's own clock, so that no other leader can exist yet. */
export function hasValidLease(context: Context): boolean {
	const {state, nowMs} = context;
	return !state.leader!.isLeaseInvalidated && nowMs < lastQuorumContactMs(state, nowMs) + leaseDurationMs(state.options);
}

function confirmRead(context: Context, requestId: number, index: number): void {
	context.effects.push({type: 'readConfirmed', requestId, index});
}
