/**
Selects the entries that a caller is told to use. Entries announce themselves as targets do; client accounts are
distributed over the entries of their nearest failure domain.
*/

import type {EntryAnnouncement, FailureDomainId} from '@rattanspring/types';
import type {LeaseTable} from './lease-table.js';
import {rankByRendezvous} from './rendezvous.js';

/** Maximum number of entries returned: the preferred one and its fallbacks. */
const maxAddresses = 4;

/** Input of the selection. */
export type EntryChoiceInput = {
	readonly entries: LeaseTable<EntryAnnouncement>;
	/** The client account, or another identifier of the caller. */
	readonly caller: string;
	/** The failure domain nearest to the caller. */
	readonly failureDomain: FailureDomainId;
};

/** Returns the serving entries for a caller, best first: those of the nearest failure domain, then the others. */
export function chooseEntries(input: EntryChoiceInput): EntryAnnouncement[] {
	const serving = [...input.entries.live.values()].map(({announcement}) => announcement).filter(({state}) => state === 'serving');
	const byId = new Map(serving.map(entry => [entry.daemonId, entry]));
	const ranked = rankByRendezvous(input.caller, [...byId.keys()]).map(daemonId => byId.get(daemonId)!);
	const sameDomain = ranked.filter(entry => entry.failureDomain === input.failureDomain);
	const otherDomains = ranked.filter(entry => entry.failureDomain !== input.failureDomain);
	return [...sameDomain, ...otherDomains].slice(0, maxAddresses);
}
