/** Interfaces that a user of the replicated log implements. */

import type {LogEntry, LogSnapshot, VoteState} from './log-entry.js';
import type {Envelope} from './messages.js';

/** State recovered from storage at startup. */
export type RecoveredLog = {readonly voteState: VoteState; readonly snapshot?: LogSnapshot; readonly entries: readonly LogEntry[]};

/** Persistent log storage. A write is durable only once its promise has resolved, after files and folder are synced. */
export abstract class LogStorage {
	/** Reads the stored state. A torn record at the end is truncated; any other damage is a failure. */
	abstract recover(): Promise<RecoveredLog>;
	/** Appends entries, replacing all stored ones from the first entry's index on. */
	abstract append(entries: readonly LogEntry[]): Promise<void>;
	abstract saveVoteState(voteState: VoteState): Promise<void>;
	/** Replaces the snapshot, then removes the entries it covers. */
	abstract saveSnapshot(snapshot: LogSnapshot): Promise<void>;
	abstract close(): Promise<void>;
}

/** Unreliable message transport between replicas. It sends the messages of each lane (`laneOf`) apart from those of the other. */
export abstract class PeerTransport {
	/** Sends a message to the member at `toAddress` without waiting. `fromAddress` lets a receiver reply that does not know the sender yet. */
	abstract send(envelope: Envelope, toAddress: string, fromAddress: string): void;
	abstract close(): void;
}

/** Deterministic state machine that is replicated through the log. */
export abstract class StateMachine<Answer> {
	/** Applies a command and returns its result. */
	abstract apply(command: Uint8Array): Answer;
	/** Replaces the state with that of a snapshot. */
	abstract restore(state: Uint8Array): void;
	/** Serializes the complete state for a snapshot. */
	abstract serialize(): Uint8Array;
}
