/** Replica options. */

/** Timing and size limits. All voters of a group must use the same timing. */
export type ReplicaOptions = {
	/** Interval between the leader's heartbeats. */
	readonly heartbeatIntervalMs: number;
	/** Minimum time without contact from a leader before a follower starts an election; randomized up to twice this value. */
	readonly electionTimeoutMs: number;
	/** Maximum relative error of any voter's clock rate; 0.05 allows 5 % fast or slow. */
	readonly clockDriftBound: number;
	readonly maxEntriesPerMessage: number;
	/** Maximum size of the entries in a message; a larger entry is sent by itself. */
	readonly maxBytesPerMessage: number;
	/** Maximum number of entries sent to a member and not yet acknowledged. */
	readonly maxEntriesInFlight: number;
	/** Size of the entries sent to a member and not yet acknowledged, from which on no more are sent. */
	readonly maxBytesInFlight: number;
	/** Number of entries before the last snapshot that are retained in memory for members that are slightly behind. */
	readonly trailingEntries: number;
	/** Size of these entries at most, since each may hold a whole document. */
	readonly trailingBytes: number;
};

export const defaultReplicaOptions: ReplicaOptions = {
	heartbeatIntervalMs: 150,
	electionTimeoutMs: 1000,
	clockDriftBound: 0.05,
	maxEntriesPerMessage: 256,
	maxBytesPerMessage: 1_048_576,
	maxEntriesInFlight: 2048,
	maxBytesInFlight: 8_388_608,
	trailingEntries: 1000,
	trailingBytes: 8_388_608,
};

/**
How long a leader may serve reads after sending a heartbeat that a quorum acknowledged.

Followers refuse votes for `electionTimeoutMs` by their own clocks, which may be fast; the leader measures its lease by
its own clock, which may be slow. The lease expires first as long as all clocks stay within the drift bound.
*/
export function leaseDurationMs(options: ReplicaOptions): number {
	const {electionTimeoutMs, clockDriftBound} = options;
	return electionTimeoutMs * (1 - clockDriftBound) / (1 + clockDriftBound);
}
