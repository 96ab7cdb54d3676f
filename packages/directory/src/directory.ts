/**
The directory: which targets have announced themselves, and until when each announcement counts.
*/

import type {ServiceId, TargetAnnouncement, TargetId} from '@rattanspring/types';
import {
	applyToLeaseTable, emptyLeaseTable, endLease, expireLeaseTable, type LeaseEntry, type LeaseTable,
} from './lease-table.js';

/** For this long after its lease a target is tried when a service has no other. */
export const lastResortMs = 10_000;

/** A target as the directory knows it. */
export type DirectoryEntry = LeaseEntry<TargetAnnouncement>;

/** All known targets. `applyAnnouncement`, `reportUnreachable` and `expire` change it in place. */
export type DirectoryState = {
	readonly table: LeaseTable<TargetAnnouncement>;
	/** The targets within their lease. */
	readonly targets: ReadonlyMap<TargetId, DirectoryEntry>;
	/** Announcements after which a target could not be reached; a newer one makes it a candidate again. */
	readonly unreachable: Map<TargetId, TargetAnnouncement>;
};

/** A directory that knows no target. */
export function emptyDirectory(): DirectoryState {
	const table = emptyLeaseTable<TargetAnnouncement>();
	return {table, targets: table.live, unreachable: new Map()};
}

/** Takes in an announcement unless a newer one is known; returns whether it was taken in. */
export function applyAnnouncement(state: DirectoryState, announcement: TargetAnnouncement, nowMs: number, ageMs = 0): boolean {
	const known = state.targets.get(announcement.targetId);
	const isApplied = applyToLeaseTable(state.table, {
		name: announcement.targetId, announcement, ageMs, nowMs,
	});
	if (!isApplied) {
		return false;
	}

	state.unreachable.delete(announcement.targetId);
	if (known?.announcement.incarnation !== announcement.incarnation) {
		endReplaced(state, announcement, nowMs);
	}

	return true;
}

/** Takes a target out of the candidates until it announces itself anew. */
export function reportUnreachable(state: DirectoryState, targetId: TargetId): void {
	const known = state.targets.get(targetId);
	if (known) {
		state.unreachable.set(targetId, known.announcement);
	}
}

/** Removes the targets whose lease has run out and returns their names. */
export function expire(state: DirectoryState, nowMs: number): TargetId[] {
	const expired = expireLeaseTable(state.table, nowMs);
	for (const targetId of expired) {
		state.unreachable.delete(targetId);
	}

	return expired;
}

/**
Targets that serve a service and take new work. Where none is left, those whose lease has run out lately: a relay
that was lost looks the same as targets that were lost, and asking a lost target costs one failed attempt.
*/
export function servingTargets(state: DirectoryState, service: ServiceId, nowMs: number): DirectoryEntry[] {
	const live = [...state.targets.values()].filter(entry => isServing(entry, service));
	const reachable = live.filter(({announcement}) => !state.unreachable.has(announcement.targetId));
	if (reachable.length > 0) {
		return reachable;
	}

	return live.length > 0 ? live : lastResort(state, service, nowMs);
}

function lastResort(state: DirectoryState, service: ServiceId, nowMs: number): DirectoryEntry[] {
	const candidates: DirectoryEntry[] = [];
	for (const {last, expiredAtMs} of state.table.tombstones.values()) {
		if (isServing(last, service) && nowMs - expiredAtMs <= lastResortMs) {
			candidates.push(last);
		}
	}

	return candidates;
}

function isServing({announcement}: DirectoryEntry, service: ServiceId): boolean {
	return announcement.state === 'serving' && announcement.services.includes(service);
}

/** Ends the targets that an earlier incarnation announced at the same address: another model runs there now. */
function endReplaced(state: DirectoryState, announcement: TargetAnnouncement, nowMs: number): void {
	const {agentAddress, incarnation, targetId} = announcement;
	for (const [otherId, {announcement: other}] of state.targets) {
		if (otherId !== targetId && other.agentAddress === agentAddress && other.incarnation < incarnation) {
			endLease(state.table, otherId, nowMs);
			state.table.tombstones.set(otherId, retired(state, otherId));
		}
	}
}

/** The tombstone of a replaced target, which is never a last resort. */
function retired(state: DirectoryState, targetId: TargetId): {last: DirectoryEntry; expiredAtMs: number} {
	const tombstone = state.table.tombstones.get(targetId)!;
	return {...tombstone, last: {...tombstone.last, announcement: {...tombstone.last.announcement, state: 'leaving'}}};
}
