/** Context of one step of the consensus core, and the operations on it that several modules share. */

import type {Effect, ReplicaRole} from './events.js';
import type {VoterId} from './log-entry.js';
import type {PeerMessage} from './messages.js';
import type {ReplicaState} from './replica-state.js';

/** State and inputs of the current step, and the effects produced so far. */
export type Context = {
	readonly state: ReplicaState;
	readonly nowMs: number;
	readonly random: number;
	readonly effects: Effect[];
};

/** Sends a message that does not depend on pending writes. */
export function sendNow(context: Context, to: VoterId, message: PeerMessage): void {
	context.effects.push({type: 'send', envelope: {from: context.state.id, to, message}, afterSync: false});
}

/** Sends a message after all writes so far are durable. */
export function sendAfterSync(context: Context, to: VoterId, message: PeerMessage): void {
	context.effects.push({type: 'send', envelope: {from: context.state.id, to, message}, afterSync: true});
}

/** Updates the current term and vote, and persists them. */
export function saveVoteState(context: Context, term: number, votedFor?: VoterId): void {
	context.state.voteState = {term, ...(votedFor !== undefined && {votedFor})};
	context.effects.push({type: 'saveVoteState', voteState: context.state.voteState});
}

/** Changes the role and emits `roleChanged`. */
export function setRole(context: Context, role: ReplicaRole, leaderId?: VoterId): void {
	const {state} = context;
	state.role = role;
	state.leaderId = leaderId;
	if (role !== 'leader') {
		state.leader = undefined;
	}

	context.effects.push({
		type: 'roleChanged', role, term: state.voteState.term, ...(leaderId !== undefined && {leaderId}),
	});
}

/** Restarts the election timeout with a new random duration. */
export function resetElectionDeadline(context: Context): void {
	const {state, nowMs, random} = context;
	state.electionDeadlineMs = nowMs + (state.options.electionTimeoutMs * (1 + random));
}

/** Becomes a follower of `leaderId`, or of no known leader, in a term that is not lower than the current one. */
export function becomeFollower(context: Context, term: number, leaderId?: VoterId): void {
	const {state} = context;
	const isNewTerm = term > state.voteState.term;
	if (isNewTerm) {
		saveVoteState(context, term);
	}

	if (isNewTerm || state.role !== 'follower' || state.leaderId !== leaderId) {
		if (state.role !== 'follower') {
			resetElectionDeadline(context);
		}

		setRole(context, 'follower', leaderId);
	}
}

/** Follows the leader of a term that is not lower than the current one, after a message from it, and restarts the election timeout. */
export function followLeader(context: Context, leaderId: VoterId, term: number): void {
	becomeFollower(context, term, leaderId);
	context.state.lastContactMs = context.nowMs;
	resetElectionDeadline(context);
}
