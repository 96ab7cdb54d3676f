/** Dependencies that all requests of an entry share. */

import type {ByteBudget, RequestMemory} from '@rattanspring/byte-collector';
import type {RouteTable} from '@rattanspring/desired-state';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import type {
	AdmissionQueue, RetryBudget, StreamSilence, TargetSelector,
} from '@rattanspring/placement';
import type {TargetTransport} from '@rattanspring/target-connection';
import type {ColdWord, TargetLimit} from '@rattanspring/target-limits';
import type {TargetLifetime} from '@rattanspring/target-table';
import type {TableWait} from './table-wait.js';
import type {AccountUsage} from './account-usage.js';
import type {CrashWatch} from './crash-watch.js';
import type {FirstAttemptEstimator} from './first-attempt-estimator.js';
import type {HeaderCodec} from './header-codec.js';
import type {PermitRequests} from './permit-requests.js';
import type {PlannedStop} from './planned-stop.js';
import type {StallWatch} from './stall-watch.js';
import type {TargetOutcomes} from './target-outcomes.js';
import type {UnsentBudget} from './unsent-budget.js';

export type GatewayContext = {
	readonly headerCodec: HeaderCodec;
	readonly exchange: TargetTransport;
	readonly selector: TargetSelector;
	readonly admission: AdmissionQueue;
	readonly retryBudget: RetryBudget;
	readonly streamSilence: StreamSilence;
	readonly crashWatch: CrashWatch;
	/** Bytes that responses may take until they are complete and are forwarded. */
	readonly responseBytes: ByteBudget;
	/** Memory that requests hold: heads and bodies. */
	readonly requestMemory: RequestMemory;
	/** Bytes of streams that wait for their callers. */
	readonly unsentBytes: UnsentBudget;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
	readonly firstAttempts: FirstAttemptEstimator;
	readonly accountUsage: AccountUsage;
	readonly nowMs: () => number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly table: () => RouteTable | undefined;
	/** Requests that wait for the first desired state. */
	readonly tableWait: TableWait;
	/** The highest document version that a control process has announced; it may be higher than that of `table`. */
	readonly newestVersion: () => number;
	/** Number of entries that share the retry budget. */
	readonly entryCount: () => number;
	/** Called when a target said in an answer that it is leaving; returns false if that was known. */
	readonly onTargetLeaving: (target: TargetLifetime) => boolean;
	/** Called with a limit that a target named, or names no more; returns whether that is new. */
	readonly onTargetLimit: (limit: TargetLimit) => boolean;
	/** Called with how much longer a target is cold, as an answer says. */
	readonly onTargetCold: (word: ColdWord, requestId: string | undefined) => void;
	/** What becomes of requests at targets. */
	readonly outcomes: TargetOutcomes;
	/** Whether this process was held up. */
	readonly stallWatch: StallWatch;
	readonly permitRequests: Pick<PermitRequests, 'ask'>;
	/** Whether this entry is being stopped. */
	readonly plannedStop: PlannedStop;
};
