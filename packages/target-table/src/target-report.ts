/** Reports of targets on their state, and load figures measured at targets. */

/** Whether a target accepts new work. `gone` is final for one start of a target. */
export type TargetState = 'ready' | 'draining' | 'gone';

/** Membership of a target in a group of ranks that run in lock-step. */
export type RankPlace = {
	readonly group: string;
	/** Number of times the group was formed. */
	readonly epoch: number;
	readonly rank: number;
	readonly size: number;
	readonly isOpen: boolean;
};

/** A report of a target on its own state. */
export type TargetReport = {
	readonly targetId: string;
	/** Wall-clock time of the target's start in Unix milliseconds; distinguishes starts of the same target. */
	readonly bornMs: number;
	/** Increases with each report of the same start. */
	readonly sequence: number;
	readonly service: string;
	/** `host:port` */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly state: TargetState;
	/** Remaining time for which the target is cold; absent if the target says nothing about it. */
	readonly coldLeftMs?: number;
	readonly rankPlace?: RankPlace;
};

/** One lifetime of a target. */
export type TargetLifetime = Pick<TargetReport, 'targetId' | 'bornMs'>;

/** A heartbeat of a target whose report has not changed otherwise. */
export type TargetHeartbeat = Pick<TargetReport, 'targetId' | 'bornMs' | 'sequence'>;

/** Load of a target, measured on its own VM. */
export type TargetLoad = {
	readonly address: string;
	readonly bornMs: number;
	/** Increases with each set of figures that is sent. */
	readonly sequence?: number;
	readonly active: number;
	readonly queued: number;
	/** Share of the context memory in use, in [0, 1]. */
	readonly memoryShare: number;
	/** Slowdown factor: 1 is the published speed, higher values are slower. */
	readonly pace: number;
	readonly rankPlace?: RankPlace;
	/** Skew of the group's expert map, at most over the last seconds: time of the slowest rank divided by the time under an even distribution. Only the coordinating rank reports it. */
	readonly skew?: number;
	/** Duration of the group's last passes, as measured at this rank. Only some ranks report it, and only while passes run. */
	readonly passMs?: number;
};
