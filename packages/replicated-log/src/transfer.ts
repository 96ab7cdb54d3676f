/** Leadership transfer: the most up-to-date voter receives the missing entries and is then asked to start an election. */

import {type Context, sendNow} from './context.js';
import {currentMembership, type Progress} from './replica-state.js';
import {broadcast} from './replication.js';

/** Starts a leadership transfer. New commands are refused until it completes or an election timeout has passed. */
export function onTransferLeadership(context: Context): void {
	const {state, nowMs} = context;
	const {leader} = state;
	if (!leader || leader.transfer) {
		return;
	}

	const others = currentMembership(state).voters.filter(voter => voter.voterId !== state.id && leader.progress.has(voter.voterId));
	const best = others.toSorted((left, right) => byProgress(leader.progress.get(left.voterId)!, leader.progress.get(right.voterId)!)).at(0);
	if (best) {
		leader.transfer = {to: best.voterId, deadlineMs: nowMs + state.options.electionTimeoutMs, isSent: false};
		broadcast(context);
		continueTransfer(context);
	}
}

/** Requests the election once the chosen voter has the complete log. */
export function continueTransfer(context: Context): void {
	const {state} = context;
	const transfer = state.leader?.transfer;
	if (!transfer || transfer.isSent || state.leader!.progress.get(transfer.to)?.matchIndex !== state.entries.lastIndex) {
		return;
	}

	transfer.isSent = true;
	state.leader!.isLeaseInvalidated = true;
	sendNow(context, transfer.to, {type: 'timeoutNow', term: state.voteState.term});
}

/** Aborts a transfer whose deadline has passed. */
export function checkTransferDeadline(context: Context): void {
	const {leader} = context.state;
	if (leader?.transfer && context.nowMs > leader.transfer.deadlineMs) {
		leader.transfer = undefined;
	}
}

/** Orders the most up-to-date member first; among equals, the one with the most recent contact. */
function byProgress(left: Progress, right: Progress): number {
	return right.matchIndex - left.matchIndex || right.acknowledgedSentAtMs - left.acknowledgedSentAtMs;
}
