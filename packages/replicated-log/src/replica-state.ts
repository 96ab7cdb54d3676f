/** State of a replica. It is owned by one driver; `step` modifies it in place. */

import {EntryList} from './entry-list.js';
import type {ReplicaRole} from './events.js';
import type {
	LogSnapshot, Membership, VoterId, VoteState,
} from './log-entry.js';
import {isVoter, membershipsIn, type IndexedMembership} from './membership.js';
import {defaultReplicaOptions, leaseDurationMs, type ReplicaOptions} from './options.js';
import type {RecoveredLog} from './ports.js';

/** Replication progress of another member, as known to the leader. */
export type Progress = {
	nextIndex: number;
	/** Index up to which the member's log is known to be durable and to match the leader's. */
	matchIndex: number;
	/** Whether the matching position is still being searched for, with empty messages only. */
	isProbing: boolean;
	/** An unacknowledged snapshot; undefined if there is none. */
	snapshot?: SentSnapshot;
	/** Send time, by the leader's clock, of the latest broadcast that the member acknowledged. */
	acknowledgedSentAtMs: number;
	/** Round of the latest broadcast that the member acknowledged. */
	acknowledgedRound: number;
};

/** A snapshot on its way to a member. */
export type SentSnapshot = {
	readonly sentAtMs: number;
	/** Whether a reply shows that the member lacks the snapshot although a message sent later has arrived. */
	isMissing: boolean;
};

/** A read that is waiting for a quorum to acknowledge its round. */
export type PendingRead = {readonly requestId: number; readonly index: number; readonly round: number};

/** State that only a leader has. */
export type LeaderState = {
	readonly termStart: {readonly nowMs: number; readonly index: number};
	readonly progress: Map<VoterId, Progress>;
	round: number;
	nextHeartbeatMs: number;
	pendingReads: PendingRead[];
	/** Reads received before an entry of the current term was committed. */
	deferredReads: number[];
	transfer?: {readonly to: VoterId; readonly deadlineMs: number; isSent: boolean};
	/** Set once a leadership transfer has requested an election: a later leader may exist from then on, so the lease is invalid for the rest of the term. */
	isLeaseInvalidated: boolean;
};

export type ReplicaState = {
	readonly id: VoterId;
	readonly options: ReplicaOptions;
	voteState: VoteState;
	snapshot: LogSnapshot | undefined;
	readonly entries: EntryList;
	/** The membership of the snapshot, followed by those of later entries. The last one is in effect. */
	memberships: IndexedMembership[];
	role: ReplicaRole;
	leaderId: VoterId | undefined;
	commitIndex: number;
	/** Index up to which this replica's own log is durable. */
	durableIndex: number;
	/** Time of the last contact from a leader, or of the replica's start. */
	lastContactMs: number;
	electionDeadlineMs: number;
	votes: Set<VoterId>;
	leader: LeaderState | undefined;
};

/** Inputs of `createReplica`. */
export type ReplicaInit = {
	readonly id: VoterId;
	readonly recovered: RecoveredLog;
	readonly nowMs: number;
	readonly random: number;
	readonly options?: Partial<ReplicaOptions>;
};

/** Initial log of the voters of a new group. All of them start from the same membership. */
export function initialLog(membership: Membership): RecoveredLog {
	return {
		voteState: {term: 0},
		snapshot: {
			lastIndex: 0, lastTerm: 0, ...membership, state: new Uint8Array(),
		},
		entries: [],
	};
}

/** Without leases, the first election timeout after a start is within this range, as fractions of the configured one: with a narrow range, voters that start together split their votes. */
const minFirstElectionTimeoutRatio = 0.05;
const maxFirstElectionTimeoutRatio = 0.45;

/**
Creates a replica from its recovered log. With leases, it assumes contact with a leader at the time of its start: it may
have acknowledged a heartbeat immediately before it stopped, and that leader's lease relies on it. Without leases, it
starts an election early, since all replicas may have started at the same time; if there is a leader, the pre-vote
prevents a disruption of the group.
*/
export function createReplica(start: ReplicaInit): ReplicaState {
	const options = {...defaultReplicaOptions, ...start.options};
	const {snapshot, entries, voteState} = start.recovered;
	const list = new EntryList(snapshot?.lastIndex ?? 0, snapshot?.lastTerm ?? 0, entries);
	const hasLeases = leaseDurationMs(options) > 0;
	const base: IndexedMembership = {index: list.baseIndex, voters: snapshot?.voters ?? [], learners: snapshot?.learners ?? []};
	return {
		id: start.id,
		options,
		voteState,
		snapshot,
		entries: list,
		memberships: [base, ...membershipsIn(entries)],
		role: 'follower',
		leaderId: undefined,
		commitIndex: list.baseIndex,
		durableIndex: list.lastIndex,
		lastContactMs: hasLeases ? start.nowMs : start.nowMs - options.electionTimeoutMs,
		electionDeadlineMs: start.nowMs + (options.electionTimeoutMs * firstElectionTimeoutRatio(hasLeases, start.random)),
		votes: new Set(),
		leader: undefined,
	};
}

function firstElectionTimeoutRatio(hasLeases: boolean, random: number): number {
	return hasLeases ? 1 + random : minFirstElectionTimeoutRatio + ((maxFirstElectionTimeoutRatio - minFirstElectionTimeoutRatio) * random);
}

/** The latest membership in the log, which is in effect even before it is committed. */
export function currentMembership(state: ReplicaState): IndexedMembership {
	return state.memberships.at(-1)!;
}

/** The membership in effect at an index. */
export function membershipAt(state: ReplicaState, index: number): IndexedMembership {
	return state.memberships.findLast(membership => membership.index <= index) ?? state.memberships[0];
}

/**
Whether the replica may start an election: it is a voter, or its removal is not known to be committed. In the latter case
it may be the only remaining replica with the removal entry in its log, without which no other voter could be elected.
*/
export function canStartElection(state: ReplicaState): boolean {
	const membership = currentMembership(state);
	const isCommitted = membership.index <= state.commitIndex;
	const previous = isCommitted ? undefined : state.memberships.at(-2);
	return isVoter(membership, state.id) || (previous !== undefined && isVoter(previous, state.id));
}
