/** The state of a replica. It is owned by one driver; `step` changes it in place. */

import {EntryList} from './entry-list.js';
import type {ReplicaRole} from './events.js';
import type {
	LogSnapshot, Membership, VoterId, VoteState,
} from './log-entry.js';
import {isVoter, membershipsIn, type MembershipAt} from './membership.js';
import {defaultReplicaOptions, leaseDurationMs, type ReplicaOptions} from './options.js';
import type {RecoveredLog} from './ports.js';

/** What a leader knows of another member. */
export type Progress = {
	nextIndex: number;
	/** Entries up to here are on the member's disk. */
	matchIndex: number;
	/** Until the first match, one message at a time looks for it. */
	isProbing: boolean;
	/** A snapshot is on its way since this time. */
	snapshotSentAtMs?: number;
	/** Send time, by the leader's clock, of the newest broadcast the member acknowledged. */
	acknowledgedSentAtMs: number;
	/** Newest broadcast the member acknowledged. */
	acknowledgedRound: number;
};

/** A read that waits for a quorum. */
export type PendingRead = {readonly requestId: number; readonly index: number; readonly round: number};

/** What only a leader has. */
export type LeaderState = {
	readonly since: {readonly nowMs: number; readonly index: number};
	readonly progress: Map<VoterId, Progress>;
	round: number;
	nextHeartbeatMs: number;
	pendingReads: PendingRead[];
	/** Reads that came before an entry of this term was committed. */
	earlyReads: number[];
	transfer?: {readonly to: VoterId; readonly deadlineMs: number; isSent: boolean};
	/** Once an election was asked for, a later leader may exist at any time: the lease is void for the rest of the term. */
	isLeaseVoid: boolean;
};

/** The whole state. */
export type ReplicaState = {
	readonly id: VoterId;
	readonly options: ReplicaOptions;
	voteState: VoteState;
	snapshot: LogSnapshot | undefined;
	readonly entries: EntryList;
	/** The membership of the snapshot, then those of later entries. The last one is in force. */
	memberships: MembershipAt[];
	role: ReplicaRole;
	leaderId: VoterId | undefined;
	commitIndex: number;
	/** Entries up to here are on this replica's own disk. */
	durableIndex: number;
	/** When a leader was last heard, or the replica started. */
	lastContactMs: number;
	electionDeadlineMs: number;
	votes: Set<VoterId>;
	leader: LeaderState | undefined;
};

/** What a replica starts from. */
export type ReplicaStart = {
	readonly id: VoterId;
	readonly recovered: RecoveredLog;
	readonly nowMs: number;
	readonly random: number;
	readonly options?: Partial<ReplicaOptions>;
};

/** The recovered log of a voter of a new group. All its initial voters start from the same membership. */
export function initialLog(membership: Membership): RecoveredLog {
	return {
		voteState: {term: 0},
		snapshot: {
			lastIndex: 0, lastTerm: 0, ...membership, state: new Uint8Array(),
		},
		entries: [],
	};
}

/** Part of the election timeout after which a replica that no lease binds stands for the first time, and again as much at random. */
const firstElectionShare = 0.2;

/**
Makes a replica from what its disk held. It counts as having just heard a leader, since it may have
acknowledged one just before it stopped, and that leader's lease builds on it. Where the options leave no lease it
stands soon, as all may have started at once; a leader that is there keeps it from disturbing the group by the pre-vote.
*/
export function createReplica(start: ReplicaStart): ReplicaState {
	const options = {...defaultReplicaOptions, ...start.options};
	const {snapshot, entries, voteState} = start.recovered;
	const list = new EntryList(snapshot?.lastIndex ?? 0, snapshot?.lastTerm ?? 0, entries);
	const isBound = leaseDurationMs(options) > 0;
	const firstWaitMs = options.electionTimeoutMs * (isBound ? 1 : firstElectionShare);
	const base: MembershipAt = {index: list.baseIndex, voters: snapshot?.voters ?? [], learners: snapshot?.learners ?? []};
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
		lastContactMs: isBound ? start.nowMs : start.nowMs - options.electionTimeoutMs,
		electionDeadlineMs: start.nowMs + (firstWaitMs * (1 + start.random)),
		votes: new Set(),
		leader: undefined,
	};
}

/** The membership in force. */
export function currentMembership(state: ReplicaState): MembershipAt {
	return state.memberships.at(-1)!;
}

/** The membership as of an entry. */
export function membershipAt(state: ReplicaState, index: number): MembershipAt {
	return state.memberships.findLast(membership => membership.index <= index) ?? state.memberships[0];
}

/**
Whether the replica may stand for election: as a voter, or as one whose removal is not known to be committed. The
latter may be the only one left that holds the removal, without which nobody else could be elected.
*/
export function mayStand(state: ReplicaState): boolean {
	const membership = currentMembership(state);
	const isSettled = membership.index <= state.commitIndex;
	const earlier = isSettled ? undefined : state.memberships.at(-2);
	return isVoter(membership, state.id) || (earlier !== undefined && isVoter(earlier, state.id));
}
