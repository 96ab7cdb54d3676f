/**
The operators' document in the product's own words. A document is replaced as a whole; the highest version is in force.
*/

/** What may be repeated: only idempotent calls, and streams that can be resumed. */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** A service and its share of a route's requests. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** Where requests to a host and path go. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Longest time a caller may be kept waiting. */
	readonly timeoutMs: number;
	/** Time within which an answer, or a stream's first event, is on time. */
	readonly objectiveMs: number;
	/** Rank among routes; 0 goes first. */
	readonly priority: number;
	readonly split: readonly WeightedService[];
	/** Targets that one request may be sent to. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may go on at another target. */
	readonly isResumable: boolean;
	/** Longest pause between events that is on time. */
	readonly pauseObjectiveMs?: number;
};

/** Published figures of a service's model engines. */
export type EngineProfile = {
	/** Requests a target works on at once. */
	readonly slots: number;
	readonly contextTokens: number;
	readonly stepMs: number;
	readonly perSequenceMs: number;
	readonly contextMsPerThousandTokens: number;
	readonly promptTokensPerSecond: number;
	readonly stepsPerPass: number;
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	/** Layers' sets, experts of a set and replicas a rank can hold of a set; 0 without experts. */
	readonly expertSets: number;
	readonly expertsPerSet: number;
	readonly placesPerRank: number;
	/** Replicas of a set that one change may add on a rank. */
	readonly newPlacesPerRank: number;
	readonly megabytesPerExpert: number;
	readonly linkMegabitsPerSecond: number;
	/** Part of the work on tokens that experts do, in [0, 1]. */
	readonly expertShare: number;
};

/** A group of targets that answer the same requests. */
export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections one target accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine?: EngineProfile;
};

/** Bounds on what a caller may send, and how slowly. */
export type CallLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A caller's organisation and its keys. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the rank of the route. */
	readonly priority?: number;
};

/** The whole document. */
export type DesiredState = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallLimits;
	/** Undefined where requests need no keys. */
	readonly clientAccounts?: readonly ClientAccount[];
};
