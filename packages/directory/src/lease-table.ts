/**
A table of announcements by name, each valid for its lease. Announcements are ordered by incarnation, then by sequence,
so that delayed, duplicated and reordered ones have no effect. A tombstone keeps the last announcement's position in
this order after its lease has expired.
*/

import type {Incarnation, TargetState} from '@rattanspring/types';

/** Retention of a tombstone; an older announcement that arrives after it would be applied again. */
export const tombstoneMs = 600_000;

/** Fields common to all announcements. */
export type AnnouncementBase = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly state: TargetState;
	readonly leaseMs: number;
};

/** An announcement and its time. */
export type LeaseEntry<A extends AnnouncementBase> = {
	readonly announcement: A;
	/** Estimated time of the announcement on the local monotonic clock: the time of receipt minus its age at that time. */
	readonly receivedAtMs: number;
};

/** The last announcement of a name whose lease has ended. */
export type Tombstone<A extends AnnouncementBase> = {readonly last: LeaseEntry<A>; readonly expiredAtMs: number};

/** Announcements and tombstones by name; the functions below mutate it in place. */
export type LeaseTable<A extends AnnouncementBase> = {
	readonly live: Map<string, LeaseEntry<A>>;
	readonly tombstones: Map<string, Tombstone<A>>;
};

/** Creates an empty table. */
export function emptyLeaseTable<A extends AnnouncementBase>(): LeaseTable<A> {
	return {live: new Map(), tombstones: new Map()};
}

/** A received announcement. `ageMs` is its age on receipt, as set by relays that forward it. */
export type ReceivedAnnouncement<A extends AnnouncementBase> = {readonly name: string; readonly announcement: A; readonly ageMs: number; readonly nowMs: number};

/** Applies an announcement unless it is stale or its lease has expired in transit; returns whether it was applied. */
export function applyToLeaseTable<A extends AnnouncementBase>(table: LeaseTable<A>, received: ReceivedAnnouncement<A>): boolean {
	const {name, announcement, ageMs, nowMs} = received;
	const known = table.live.get(name)?.announcement ?? table.tombstones.get(name)?.last.announcement;
	if (known && !isNewer(announcement, known)) {
		return false;
	}

	if (ageMs > announcement.leaseMs) {
		return false;
	}

	table.tombstones.delete(name);
	table.live.set(name, {announcement: preserveLeaving(announcement, known), receivedAtMs: nowMs - ageMs});
	return true;
}

/** Ends the lease of a name, leaving a tombstone. */
export function endLease<A extends AnnouncementBase>(table: LeaseTable<A>, name: string, nowMs: number): void {
	const last = table.live.get(name);
	if (last) {
		table.live.delete(name);
		table.tombstones.set(name, {last, expiredAtMs: nowMs});
	}
}

/** Ends the expired leases and drops old tombstones; returns the names whose lease has ended. */
export function expireLeaseTable<A extends AnnouncementBase>(table: LeaseTable<A>, nowMs: number): string[] {
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

function isNewer(next: AnnouncementBase, known: AnnouncementBase): boolean {
	return next.incarnation > known.incarnation || (next.incarnation === known.incarnation && next.sequence > known.sequence);
}

/** Keeps the state `leaving`, which is final within an incarnation. */
function preserveLeaving<A extends AnnouncementBase>(next: A, known: AnnouncementBase | undefined): A {
	const isSameIncarnation = known?.incarnation === next.incarnation;
	return isSameIncarnation && known?.state === 'leaving' ? {...next, state: 'leaving'} : next;
}
