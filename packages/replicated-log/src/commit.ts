/** Commit: what a quorum has on disk counts. */

import {becomeFollower, type Context} from './context.js';
import {isVoter, quorumValue} from './membership.js';
import {startEarlyReads} from './reads.js';
import {currentMembership} from './replica-state.js';
import {commitThrough} from './replication.js';

/** Commits what a quorum has on disk; a leader that is no longer a voter then steps down. Only an entry of the own term commits, and with it all before. */
export function advanceCommit(context: Context): void {
	const {state} = context;
	const index = quorumValue(currentMembership(state), voterId => voterId === state.id ? state.durableIndex : state.leader!.progress.get(voterId)?.matchIndex ?? 0);
	if (index <= state.commitIndex || state.entries.termAt(index) !== state.voteState.term) {
		return;
	}

	commitThrough(context, index);
	startEarlyReads(context);
	const membership = currentMembership(state);
	if (membership.index <= index && !isVoter(membership, state.id)) {
		becomeFollower(context, state.voteState.term);
	}
}
