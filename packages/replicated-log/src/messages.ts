/** Messages between replicas. They may be lost, delayed, duplicated or reordered. */

import type {LogEntry, LogSnapshot, VoterId} from './log-entry.js';

/** Asks whether an election could be won, without changing any state. `term` is the term of that election. */
export type PreVoteMessage = {readonly type: 'preVote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number};

/** Reply to a pre-vote; `term` is the requested term if granted, otherwise the sender's own. */
export type PreVoteReplyMessage = {readonly type: 'preVoteReply'; readonly term: number; readonly granted: boolean};

/** Requests a vote. `isTransfer` marks an election that the leader itself initiated as a leadership transfer. */
export type VoteMessage = {readonly type: 'vote'; readonly term: number; readonly lastIndex: number; readonly lastTerm: number; readonly isTransfer: boolean};

export type VoteReplyMessage = {readonly type: 'voteReply'; readonly term: number; readonly granted: boolean};

/** Identifies the broadcast of a message: `round` serves to confirm reads, `sentAtMs` (leader's clock) the leader's lease. */
export type Round = {readonly round: number; readonly sentAtMs: number};

/** Entries after `prevIndex`; a heartbeat if there are none. */
export type AppendMessage = Round & {
	readonly type: 'append';
	readonly term: number;
	readonly prevIndex: number;
	readonly prevTerm: number;
	readonly commitIndex: number;
	readonly entries: readonly LogEntry[];
};

/** Reply to `append` and `snapshot`. On success all entries up to `matchIndex` are durable; otherwise `matchIndex` is a hint where to continue. */
export type AppendReplyMessage = Round & {
	readonly type: 'appendReply';
	readonly term: number;
	readonly success: boolean;
	readonly prevIndex: number;
	readonly matchIndex: number;
};

/** A complete snapshot, for a member that needs entries before the start of the leader's log. */
export type SnapshotMessage = Round & {readonly type: 'snapshot'; readonly term: number; readonly snapshot: LogSnapshot};

/** Tells a member that its leader is alive while entries or a snapshot are on their way to it, however long these take. */
export type ContactMessage = Round & {readonly type: 'contact'; readonly term: number};

/** Reply to `contact`. It says nothing about the sender's log; `term` is the sender's own. */
export type ContactReplyMessage = Round & {readonly type: 'contactReply'; readonly term: number};

/** Asks the receiver to start an election immediately. */
export type TimeoutNowMessage = {readonly type: 'timeoutNow'; readonly term: number};

export type PeerMessage
	= | PreVoteMessage
		| PreVoteReplyMessage
		| VoteMessage
		| VoteReplyMessage
		| AppendMessage
		| AppendReplyMessage
		| SnapshotMessage
		| ContactMessage
		| ContactReplyMessage
		| TimeoutNowMessage;

/** A message with its sender and receiver. A receiver ignores messages addressed to another identity. */
export type Envelope = {readonly from: VoterId; readonly to: VoterId; readonly message: PeerMessage};

/**
How a message is to be sent. Messages of the lane `bulk` keep their order: an append that arrives shows whether those before it did. Messages
of the lane `prompt` are small, and may not wait behind `bulk` ones.
*/
export type MessageLane = 'bulk' | 'prompt';

export function laneOf(message: PeerMessage): MessageLane {
	return message.type === 'append' || message.type === 'snapshot' ? 'bulk' : 'prompt';
}
