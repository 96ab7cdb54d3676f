/** What admission control knows of a request. */

import type {RequestLength} from './target-memory.js';

/** A request to be admitted. */
export type AdmissionRequest = {
	readonly service: string;
	/** Lower values go first. */
	readonly priority: number;
	readonly accountName: string;
	readonly arrivedAtMs: number;
	readonly objectiveMs: number;
	/** Time until which the caller waits. */
	readonly deadlineAtMs: number;
	/** Minimum time since the caller's first try, if it retries after a refusal; 0 by default. */
	readonly sinceFirstTryMs?: number;
	/** Whether the request may be a retry, whose caller makes no further try. */
	readonly mayBeRetry?: boolean;
	/** Whether the request continues at another target: its caller has a part of the answer, or makes no further try. */
	readonly isFailover?: boolean;
	/** Whether the request may crash its target, so that it goes where the fewest others are. */
	readonly isTrial?: boolean;
	readonly excluded?: ReadonlySet<string>;
	/** Length of the request; without it, the memory of targets is not regarded. */
	readonly requestLength?: RequestLength;
};
