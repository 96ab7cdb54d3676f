/**
Announcements that agents send about their targets, and entries about themselves. They are hints: an announcement may be
late, lost, duplicated or reordered.
*/

import type {
	DaemonId, FailureDomainId, GroupId, Incarnation, ServiceId, TargetId, VmId,
} from './identity.js';

/** `model` targets stream tokens; `plain` targets answer ordinary requests. */
export type TargetKind = 'model' | 'plain';

/**
- `serving`: accepts new work.
- `drained`: accepts no new work until an operator admits it again.
- `leaving`: accepts no new work; final within an incarnation.
*/
export type TargetState = 'serving' | 'drained' | 'leaving';

/** Load of a target as last observed by its agent. */
export type TargetLoad = {
	readonly queuedTokens: number;
	/** Prompt tokens of the requests that have not produced a first token yet. */
	readonly prefillTokens: number;
	readonly inProgressRequests: number;
	/** Number of requests that the target runs concurrently without queueing. */
	readonly capacityRequests: number;
	readonly tokensPerSecond: number;
	/** Step time of the slowest rank divided by the mean of the target's group; 1 means balanced. */
	readonly stepTimeSkew: number;
};

/** One announcement of one target. */
export type TargetAnnouncement = {
	readonly targetId: TargetId;
	/** Incarnation of the announcing agent. */
	readonly incarnation: Incarnation;
	/** Sequence number within the incarnation. */
	readonly sequence: number;
	readonly vm: VmId;
	readonly failureDomain: FailureDomainId;
	/** `host:port` of the agent, through which all requests to the target go. */
	readonly agentAddress: string;
	readonly kind: TargetKind;
	readonly services: readonly ServiceId[];
	readonly groupId?: GroupId;
	readonly state: TargetState;
	readonly load: TargetLoad;
	/** How long the announcement is valid after it is received. */
	readonly leaseMs: number;
};

/** One announcement of one entry. */
export type EntryAnnouncement = {
	readonly daemonId: DaemonId;
	/** Incarnation of the entry. */
	readonly incarnation: Incarnation;
	readonly sequence: number;
	/** URL that callers use. */
	readonly url: string;
	readonly failureDomain: FailureDomainId;
	readonly state: TargetState;
	readonly leaseMs: number;
};
