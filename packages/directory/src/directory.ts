/**
The target directory: the targets that have announced themselves, each valid for the lease of its latest announcement.
*/

import type {ServiceId, TargetAnnouncement, TargetId} from '@rattanspring/types';
import {
	applyToLeaseTable, emptyLeaseTable, endLease, expireLeaseTable, type LeaseEntry, type LeaseTable,
} from './lease-table.js';

/** Time after lease expiry during which a target is still used if its service has no other. */
export const expiredFallbackMs = 10_000;

/** A target's latest announcement and its time. */
export type DirectoryEntry = LeaseEntry<TargetAnnouncement>;

/** All known targets; `applyAnnouncement`, `reportUnreachable` and `expire` mutate it in place. */
export type DirectoryState = {
	readonly table: LeaseTable<TargetAnnouncement>;
	/** Targets whose lease has not expired. */
	readonly targets: ReadonlyMap<TargetId, DirectoryEntry>;
	/** Targets that could not be reached, with their announcement at that time; a newer announcement removes the target from the map. */
	readonly unreachable: Map<TargetId, TargetAnnouncement>;
};

/** Creates an empty directory. */
export function emptyDirectory(): DirectoryState {
	const table = emptyLeaseTable<TargetAnnouncement>();
	return {table, targets: table.live, unreachable: new Map()};
}

/** Applies an announcement unless it is stale or its lease has expired in transit; returns whether it was applied. */
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
		endReplacedTargets(state, announcement, nowMs);
	}

	return true;
}

/** Excludes a target from the candidates until its next announcement. */
export function reportUnreachable(state: DirectoryState, targetId: TargetId): void {
	const known = state.targets.get(targetId);
	if (known) {
		state.unreachable.set(targetId, known.announcement);
	}
}

/** Removes the targets whose lease has expired and returns their ids. */
export function expire(state: DirectoryState, nowMs: number): TargetId[] {
	const expired = expireLeaseTable(state.table, nowMs);
	for (const targetId of expired) {
		state.unreachable.delete(targetId);
	}

	return expired;
}

/**
Returns the reachable targets that serve a service. Falls back to the unreachable ones, and then to those whose lease
expired recently: the failure of a relay cannot be told from the failure of targets, and trying a failed target only
costs one failed attempt.
*/
export function servingTargets(state: DirectoryState, service: ServiceId, nowMs: number): DirectoryEntry[] {
	const live = [...state.targets.values()].filter(entry => isServing(entry, service));
	const reachable = live.filter(({announcement}) => !state.unreachable.has(announcement.targetId));
	if (reachable.length > 0) {
		return reachable;
	}

	return live.length > 0 ? live : recentlyExpired(state, service, nowMs);
}

function recentlyExpired(state: DirectoryState, service: ServiceId, nowMs: number): DirectoryEntry[] {
	const candidates: DirectoryEntry[] = [];
	for (const {last, expiredAtMs} of state.table.tombstones.values()) {
		if (isServing(last, service) && nowMs - expiredAtMs <= expiredFallbackMs) {
			candidates.push(last);
		}
	}

	return candidates;
}

function isServing({announcement}: DirectoryEntry, service: ServiceId): boolean {
	return announcement.state === 'serving' && announcement.services.includes(service);
}

/** Ends the leases of other targets announced at the same address by an earlier incarnation, since the address now belongs to this target. */
function endReplacedTargets(state: DirectoryState, announcement: TargetAnnouncement, nowMs: number): void {
	const {agentAddress, incarnation, targetId} = announcement;
	for (const [otherId, {announcement: other}] of state.targets) {
		if (otherId !== targetId && other.agentAddress === agentAddress && other.incarnation < incarnation) {
			endLease(state.table, otherId, nowMs);
			state.table.tombstones.set(otherId, replacedTombstone(state, otherId));
		}
	}
}

/** Returns the tombstone of a replaced target, marked as leaving so that it is never used as a fallback. */
function replacedTombstone(state: DirectoryState, targetId: TargetId): {last: DirectoryEntry; expiredAtMs: number} {
	const tombstone = state.table.tombstones.get(targetId)!;
	return {...tombstone, last: {...tombstone.last, announcement: {...tombstone.last.announcement, state: 'leaving'}}};
}
