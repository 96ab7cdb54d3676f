/** What an `EjectionTable` tells of its decisions. */

import type {BadOutcome} from './accusation.js';
import type {Evidence, ServiceTarget} from './outcome-record.js';

/** What led to a change: accusations of entries, this entry's whole evidence, a request on probation, the time, or that too few targets were left in use. */
export type EjectionSource = 'entries' | 'ownEvidence' | 'probation' | 'time' | 'room';

/** A target was ejected, put on probation or reinstated. */
export type EjectionEvent = ServiceTarget & {
	readonly step: 'ejected' | 'onProbation' | 'reinstated';
	readonly source: EjectionSource;
	/** What it was ejected for. */
	readonly kind: BadOutcome;
	/** Entries that accused it. */
	readonly entries: readonly string[];
	/** Evidence of this entry, if it has any. */
	readonly evidence?: Evidence;
	/** Time since the oldest part of what it was ejected for. */
	readonly ageMs: number;
	/** Length of the ejection. */
	readonly forMs: number;
};
