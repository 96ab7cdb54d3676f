/** Advances the commit index to what a quorum of voters has on disk. */

import {becomeFollower, type Context} from './context.js';
import {isVoter, quorumValue} from './membership.js';
import {startDeferredReads} from './reads.js';
import {currentMembership} from './replica-state.js';
import {commitThrough} from './replication.js';

/**
Commits the entries that a quorum has on disk. Only an entry of the current term is committed directly; it commits all
entries before it. A leader that has committed its own removal steps down.
*/
export function advanceCommit(context: Context): void {
	const {state} = context;
	const index = quorumValue(currentMembership(state), voterId => voterId === state.id ? state.durableIndex : state.leader!.progress.get(voterId)?.matchIndex ?? 0);
	if (index <= state.commitIndex || state.entries.termAt(index) !== state.voteState.term) {
		return;
	}

	commitThrough(context, index);
	startDeferredReads(context);
	const membership = currentMembership(state);
	if (membership.index <= index && !isVoter(membership, state.id)) {
		becomeFollower(context, state.voteState.term);
	}
}
