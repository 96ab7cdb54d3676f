/** Port for reasons to send a target no further requests although it reports that it is ready. */

import type {TargetReport} from '@rattanspring/target-table';

/** Why a ready target gets no requests: its failure domain is drained, or it has failed too many requests. */
export type ExclusionReason = 'domainDrained' | 'ejected';

/** Decides about one kind of reason, on the facts known to this entry. */
export abstract class TargetExclusion {
	/** The reason against any further request to the target; undefined if there is none. */
	abstract reasonAgainst(target: TargetReport, nowMs: number): ExclusionReason | undefined;
}
