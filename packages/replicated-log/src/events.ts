/** Input events and output effects of a replica. */

import type {
	Learner, LogEntry, LogPayload, LogSnapshot, VoterId, VoteState,
} from './log-entry.js';
import type {Envelope} from './messages.js';

/** A membership change requested by an operator. */
export type MembershipChange
	= | {readonly kind: 'add'; readonly learner: Learner}
		| {readonly kind: 'remove'; readonly voterId: VoterId};

/** A command to be appended. */
export type Proposal = {readonly requestId: number; readonly command: Uint8Array};

export type ReplicaEventBody
	= | {readonly type: 'tick'}
		| {readonly type: 'received'; readonly envelope: Envelope}
	/** All entries up to this one are durable. */
		| {readonly type: 'synced'; readonly index: number; readonly term: number}
		| {readonly type: 'propose'; readonly proposals: readonly Proposal[]}
		| {readonly type: 'changeMembership'; readonly requestId: number; readonly change: MembershipChange}
		| {readonly type: 'read'; readonly requestId: number}
	/** The state machine's state after the entry at `index` was applied. */
		| {readonly type: 'compact'; readonly index: number; readonly state: Uint8Array}
		| {readonly type: 'transferLeadership'};

/** An event with the replica's monotonic clock time and a random number in [0, 1). */
export type ReplicaEvent = ReplicaEventBody & {readonly nowMs: number; readonly random: number};

/** Why a request was refused. A refusal guarantees that nothing was appended for the request. */
export type RefusalType = 'notLeader' | 'transferring' | 'changeInProgress' | 'alreadyMember' | 'unknownMember' | 'lastVoter' | 'quorumAtRisk' | 'isLeader';

/** A refused request. */
export type Refusal = {readonly type: RefusalType; readonly message: string; readonly leaderAddress?: string};

/**
Effects that the driver must execute, in order within one step.

`saveVoteState`, `append` and `saveSnapshot` must be durable, in order, before a later `send` with `afterSync`
is sent and before `synced` is reported. `apply` and `restore` must be passed to the state machine in log order.
*/
export type Effect
	= | {readonly type: 'saveVoteState'; readonly voteState: VoteState}
	/** Replaces all entries from the first one's index on. */
		| {readonly type: 'append'; readonly entries: readonly LogEntry[]}
		| {readonly type: 'saveSnapshot'; readonly snapshot: LogSnapshot}
		| {readonly type: 'send'; readonly envelope: Envelope; readonly afterSync: boolean}
		| {readonly type: 'apply'; readonly entries: readonly LogEntry[]}
		| {readonly type: 'restore'; readonly snapshot: LogSnapshot}
	/** The request was appended at this position. It is committed once an entry with that index and term is applied. */
		| {readonly type: 'accepted'; readonly requestId: number; readonly index: number; readonly term: number}
		| {readonly type: 'refused'; readonly requestId: number; readonly refusal: Refusal}
	/** A quorum confirmed the read; it may be served from the applied state. */
		| {readonly type: 'readConfirmed'; readonly requestId: number; readonly index: number}
	/** The role, the term or the leader changed. Requests accepted in an earlier term may be lost. */
		| {readonly type: 'roleChanged'; readonly role: ReplicaRole; readonly term: number; readonly leaderId?: VoterId};

/** Current role of a replica. A learner is a follower that never starts an election. */
export type ReplicaRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

export function commandPayload(command: Uint8Array): LogPayload {
	return {kind: 'command', command};
}
