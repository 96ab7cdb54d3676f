/** Types of the replicated log. */

/** Identity of a voter or learner. A voter that lost its disk rejoins under a new identity. */
export type VoterId = string;

/** A voter and the address at which it listens. */
export type Voter = {readonly voterId: VoterId; readonly address: string};

/** A non-voting member that receives the log; it is promoted to a voter once it has caught up. */
export type Learner = Voter & {
	/** Voter that is removed immediately before this learner is promoted. */
	readonly replaces?: VoterId;
};

/** Members of the group that replicates the log. */
export type Membership = {readonly voters: readonly Voter[]; readonly learners: readonly Learner[]};

export type LogPayload
	= | {readonly kind: 'command'; readonly command: Uint8Array}
		| ({readonly kind: 'membership'} & Membership)
	/** Appended by a new leader so that entries of earlier terms can be committed. */
		| {readonly kind: 'noop'};

export type LogEntry = {readonly index: number; readonly term: number; readonly payload: LogPayload};

/** Persistent election state of a voter: its current term and its vote in that term. */
export type VoteState = {readonly term: number; readonly votedFor?: VoterId};

/** Snapshot of the state machine and the membership after all entries up to `lastIndex`. */
export type LogSnapshot = Membership & {
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly state: Uint8Array;
};
