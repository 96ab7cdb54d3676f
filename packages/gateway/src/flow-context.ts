/** What all requests of an entry share. */

import type {RouteTable} from '@rattanspring/desired-state';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import type {
	AdmissionQueue, Crash, CrashGuard, RetryBudget, TargetSelector,
} from '@rattanspring/placement';
import type {TargetExchange} from '@rattanspring/target-connection';
import type {CallDialect} from './call-dialect.js';
import type {FirstTries} from './first-tries.js';

/** Shared by the requests of one entry. */
export type FlowContext = {
	readonly dialect: CallDialect;
	readonly exchange: TargetExchange;
	readonly board: TargetSelector;
	readonly admission: AdmissionQueue;
	readonly budget: RetryBudget;
	readonly guard: CrashGuard;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
	readonly firstTries: FirstTries;
	readonly inProgress: Map<string, number>;
	readonly nowMs: () => number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	readonly table: () => RouteTable | undefined;
	/** Entries that share the retry budget. */
	readonly entryCount: () => number;
	/** Called where the connection of a running request broke: its target may have died. */
	readonly onBroken: (crash: Crash, address: string) => void;
};
