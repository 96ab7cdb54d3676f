/**
The desired state: the operators' document, independent of its serialized format. It is always replaced as a whole, and the highest version is in force.
*/

/** Kind of a call, which decides whether it may be retried: only idempotent calls are retried, and resumable streams resumed. */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** A service and its relative weight in the traffic split of a route. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** Routing of the requests to a host and path prefix. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Maximum time that a caller waits for a response. */
	readonly timeoutMs: number;
	/** Latency objective of a response, or of the first event of a stream. */
	readonly objectiveMs: number;
	/** Priority among routes; 0 is the highest. */
	readonly priority: number;
	readonly split: readonly WeightedService[];
	/** Maximum number of targets that one request is sent to. */
	readonly maxAttempts: number;
	/** Whether requests are accepted without a key. */
	readonly isPublic: boolean;
	/** Whether an interrupted stream may be resumed at another target. */
	readonly isResumable: boolean;
	/** Objective for the longest pause between two events of a stream. */
	readonly pauseObjectiveMs?: number;
};

/** Published performance figures of a service's model engines. */
export type EngineProfile = {
	/** Requests that a target processes concurrently. */
	readonly slots: number;
	readonly contextTokens: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	readonly contextMsPerThousandTokens: number;
	readonly promptTokensPerSecond: number;
	readonly stepsPerPass: number;
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	/** Number of expert sets over all layers; 0 without experts. */
	readonly expertSets: number;
	/** Experts in one set; 0 without experts. */
	readonly expertsPerSet: number;
	/** Expert replicas of one set that a rank can hold; 0 without experts. */
	readonly placesPerRank: number;
	/** Expert replicas of one set that one change may add on a rank. */
	readonly newPlacesPerRank: number;
	readonly megabytesPerExpert: number;
	readonly linkMegabitsPerSecond: number;
	/** Fraction of the token computation that is done by experts, in [0, 1]. */
	readonly expertShare: number;
};

/** A group of interchangeable targets. */
export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections of one target, over all callers. */
	readonly maxConnections: number;
	/** Requests a second that a cold target takes from all entries together; absent if cold targets have no limit. */
	readonly coldPerSecond?: number;
	/** Time for which a target is cold after its start, if it says nothing else. */
	readonly coldMs?: number;
	readonly engine?: EngineProfile;
};

/** Size and time limits on what callers send. */
export type CallLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** An organisation that sends requests, and its keys. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route. */
	readonly priority?: number;
};

/** The complete document. */
export type DesiredState = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallLimits;
	/** Undefined if requests need no key. */
	readonly clientAccounts?: readonly ClientAccount[];
};
