/** The leader's handling of append replies. */

import {advanceCommit} from './commit.js';
import {recordContact} from './contact.js';
import {becomeFollower, type Context} from './context.js';
import type {VoterId} from './log-entry.js';
import {promoteCaughtUpLearners} from './membership-change.js';
import type {AppendReplyMessage} from './messages.js';
import {answerConfirmedReads} from './reads.js';
import type {Progress} from './replica-state.js';
import {sendAppend} from './replication.js';
import {continueTransfer} from './transfer.js';

/** Updates a member's progress, then commits entries, answers reads and promotes learners as far as the reply allows. */
export function onAppendReply(context: Context, from: VoterId, message: AppendReplyMessage): void {
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
	updateMatchIndex(progress, message);
	advanceCommit(context);
	if (!state.leader) {
		return;
	}

	answerConfirmedReads(context);
	continueTransfer(context);
	promoteCaughtUpLearners(context);
	if (progress.nextIndex <= state.entries.lastIndex) {
		sendAppend(context, from, {isHeartbeat: false});
	}
}

function updateMatchIndex(progress: Progress, message: AppendReplyMessage): void {
	if (message.success) {
		progress.matchIndex = Math.max(progress.matchIndex, message.matchIndex);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		progress.isProbing = false;
		progress.snapshot = undefined;
		return;
	}

	if (progress.snapshot && message.sentAtMs > progress.snapshot.sentAtMs) {
		progress.snapshot.isMissing = true;
	}

	const isStale = message.prevIndex <= progress.matchIndex;
	if (!isStale) {
		progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(message.prevIndex, message.matchIndex + 1));
		progress.isProbing = true;
	}
}
