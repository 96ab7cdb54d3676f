/** What a target says of itself, and what is measured at it. */

/** Whether a target takes new work. `gone` is final for one start of a target. */
export type TargetState = 'ready' | 'draining' | 'gone';

/** The place of a target in a group of ranks that work in lock-step. */
export type RankPlace = {
	readonly group: string;
	/** Counts how often the group was formed. */
	readonly epoch: number;
	readonly rank: number;
	readonly size: number;
	readonly isOpen: boolean;
};

/** One report of a target. */
export type TargetReport = {
	readonly targetId: string;
	/** Wall time of the target's start in Unix milliseconds: tells its starts apart. */
	readonly bornMs: number;
	/** Rises with each report of one start. */
	readonly sequence: number;
	readonly service: string;
	/** `host:port` */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly state: TargetState;
	/** Time for which the target stays slow after its start. */
	readonly coldLeftMs: number;
	readonly rankPlace?: RankPlace;
};

/** Load of a target as measured on its own VM. */
export type TargetLoad = {
	readonly address: string;
	readonly bornMs: number;
	/** Counts the figures that are told. */
	readonly sequence?: number;
	readonly active: number;
	readonly queued: number;
	/** Part of the context memory in use, in [0, 1]. */
	readonly memoryShare: number;
	/** Slowness: 1 is the published speed, above is slower. */
	readonly pace: number;
	readonly rankPlace?: RankPlace;
	/** Skew of the expert map in use: time of the slowest rank over the even time. */
	readonly skew?: number;
};
