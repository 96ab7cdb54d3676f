/**
Announcements by name, each counted for its lease. Order is given by incarnation, then by sequence, so that late,
duplicated and reordered announcements change nothing. A tombstone remembers the order after a lease has run out.
*/

import type {Incarnation, TargetState} from '@rattanspring/types';

/** How long a tombstone is kept; an older announcement that arrives later than this would count again. */
export const tombstoneMs = 600_000;

/** What every announcement carries. */
export type Announced = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly state: TargetState;
	readonly leaseMs: number;
};

/** An announcement within its lease. */
export type LeaseEntry<A extends Announced> = {
	readonly announcement: A;
	/** When it was made as far as is known: the time of receipt less its age then, on the local monotonic clock. */
	readonly receivedAtMs: number;
};

/** What is left of an announcement whose lease has run out. */
export type Tombstone<A extends Announced> = {readonly last: LeaseEntry<A>; readonly expiredAtMs: number};

/** Announcements and tombstones by name. The functions below change it in place. */
export type LeaseTable<A extends Announced> = {
	readonly live: Map<string, LeaseEntry<A>>;
	readonly tombstones: Map<string, Tombstone<A>>;
};

/** A table without announcements. */
export function emptyLeaseTable<A extends Announced>(): LeaseTable<A> {
	return {live: new Map(), tombstones: new Map()};
}

/** An announcement as it arrives. `ageMs` is how old it was then; relays that pass it on fill it in. */
export type Arrival<A extends Announced> = {readonly name: string; readonly announcement: A; readonly ageMs: number; readonly nowMs: number};

/** Takes an announcement in unless a newer one is known or its lease has run out on the way. */
export function applyToLeaseTable<A extends Announced>(table: LeaseTable<A>, arrival: Arrival<A>): boolean {
	const {name, announcement, ageMs, nowMs} = arrival;
	const known = table.live.get(name)?.announcement ?? table.tombstones.get(name)?.last.announcement;
	if (known && !isNewer(announcement, known)) {
		return false;
	}

	if (ageMs > announcement.leaseMs) {
		return false;
	}

	table.tombstones.delete(name);
	table.live.set(name, {announcement: withLeavingKept(announcement, known), receivedAtMs: nowMs - ageMs});
	return true;
}

/** Ends the lease of one name now. */
export function endLease<A extends Announced>(table: LeaseTable<A>, name: string, nowMs: number): void {
	const last = table.live.get(name);
	if (last) {
		table.live.delete(name);
		table.tombstones.set(name, {last, expiredAtMs: nowMs});
	}
}

/** Ends the leases that have run out, returns their names, and drops old tombstones. */
export function expireLeaseTable<A extends Announced>(table: LeaseTable<A>, nowMs: number): string[] {
	const expired: string[] = [];
	for (const [name, entry] of table.live) {
		if (nowMs - entry.receivedAtMs > entry.announcement.leaseMs) {
			endLease(table, name, nowMs);
			expired.push(name);
		}
	}

	for (const [name, tombstone] of table.tombstones) {
		if (nowMs - tombstone.expiredAtMs > tombstoneMs) {
			table.tombstones.delete(name);
		}
	}

	return expired;
}

function isNewer(next: Announced, known: Announced): boolean {
	return next.incarnation > known.incarnation || (next.incarnation === known.incarnation && next.sequence > known.sequence);
}

/** Within one incarnation, leaving is final. */
function withLeavingKept<A extends Announced>(next: A, known: Announced | undefined): A {
	const isSameIncarnation = known?.incarnation === next.incarnation;
	return isSameIncarnation && known?.state === 'leaving' ? {...next, state: 'leaving'} : next;
}
