/**
Contact between a leader and a member to which entries or a snapshot are on their way. It shows that both are alive and
connected, as heartbeats do, but does not wait for the transfer. It has no effect on logs.
*/

import {
	becomeFollower, type Context, followLeader, sendAfterSync,
} from './context.js';
import type {VoterId} from './log-entry.js';
import type {ContactMessage, ContactReplyMessage, Round} from './messages.js';
import {answerConfirmedReads} from './reads.js';
import type {Progress} from './replica-state.js';

/** Counts as contact from the leader, unless the sender's term is outdated. */
export function onContact(context: Context, from: VoterId, {term, round, sentAtMs}: ContactMessage): void {
	const {state} = context;
	if (term >= state.voteState.term) {
		followLeader(context, from, term);
	}

	sendAfterSync(context, from, {
		type: 'contactReply', term: state.voteState.term, round, sentAtMs,
	});
}

/** Counts as contact with the member. Nothing is known about its log. */
export function onContactReply(context: Context, from: VoterId, message: ContactReplyMessage): void {
	const {state} = context;
	if (message.term > state.voteState.term) {
		becomeFollower(context, message.term);
		return;
	}

	const progress = state.leader?.progress.get(from);
	if (message.term < state.voteState.term || !progress) {
		return;
	}

	recordContact(progress, message);
	answerConfirmedReads(context);
}

/** Records the broadcast to which a member replied. */
export function recordContact(progress: Progress, {round, sentAtMs}: Round): void {
	progress.acknowledgedRound = Math.max(progress.acknowledgedRound, round);
	progress.acknowledgedSentAtMs = Math.max(progress.acknowledgedSentAtMs, sentAtMs);
}
