/** Targets of one service against which enough is known to eject them. */

import type {BadOutcome} from './accusation.js';
import type {KnownAccusation} from './accusation-book.js';
import type {Evidence, ServiceTarget} from './outcome-record.js';

/** Entries whose accusations suffice. */
export const minEntries = 3;

/** An entry that accuses more than this part of a service, and more than one target, accuses its link. */
const maxAccusedPart = 1 / 5;

/** A target and what speaks against it. */
export type Suspect = ServiceTarget & {readonly kind: BadOutcome; readonly entries: readonly string[]; readonly evidence?: Evidence; readonly sinceMs: number};

/** Options of the search. */
export type SuspectOptions = {
	readonly service: string;
	/** Number of ready targets of the service. */
	readonly targetCount: number;
	/** Whether an accusation still counts, for instance since its target has answered after it. */
	readonly isCurrent: (accusation: KnownAccusation) => boolean;
	readonly ownEntry: string;
	readonly ownEvidence: (accusation: KnownAccusation) => Evidence | undefined;
};

/** The suspects that follow from the accusations against targets of a service, the worst first. */
export function suspectsAmong(accusations: readonly KnownAccusation[], {service, targetCount, isCurrent, ownEntry, ownEvidence}: SuspectOptions): Suspect[] {
	const maxAccused = Math.max(1, Math.floor(targetCount * maxAccusedPart));
	const byEntry = groupBy(accusations, ({entry}) => entry);
	const counting = accusations.filter(accusation => byEntry.get(accusation.entry)!.length <= maxAccused && isCurrent(accusation));
	const suspects = [...groupBy(counting, ({targetId}) => targetId).values()].map((known): Suspect => {
		const own = known.find(({entry}) => entry === ownEntry);
		const evidence = own && ownEvidence(own);
		const {targetId, bornMs, kind} = known.at(-1)!;
		return {
			targetId,
			bornMs,
			service,
			kind: evidence?.kind ?? kind,
			entries: known.map(({entry}) => entry),
			evidence,
			sinceMs: Math.min(...known.map(({madeAtMs}) => madeAtMs), evidence?.sinceMs ?? Number.POSITIVE_INFINITY),
		};
	});
	return suspects
		.filter(({entries, evidence}) => entries.length >= minEntries || evidence?.isWhole)
		.toSorted((left, right) => right.entries.length - left.entries.length || badShareOf(right) - badShareOf(left));
}

function badShareOf({evidence}: Suspect): number {
	return evidence ? evidence.badCount / evidence.count : 0;
}

function groupBy(accusations: readonly KnownAccusation[], keyOf: (accusation: KnownAccusation) => string): Map<string, KnownAccusation[]> {
	const groups = new Map<string, KnownAccusation[]>();
	for (const accusation of accusations) {
		const group = groups.get(keyOf(accusation)) ?? [];
		group.push(accusation);
		groups.set(keyOf(accusation), group);
	}

	return groups;
}
