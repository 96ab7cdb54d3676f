/**
The parts of the directory that are sent to a watcher: its subset of each service's targets, and a digest of all targets.
*/

import type {FailureDomainId, ServiceId, TargetId} from '@rattanspring/types';
import type {DirectoryEntry, DirectoryState} from './directory.js';
import {rankByRendezvous} from './rendezvous.js';

/** Default number of targets of one service whose announcements are sent to an entry. */
export const defaultSubsetSize = 32;

/** Totals over the serving targets of one service in one failure domain. */
export type ServiceDigest = {
	readonly service: ServiceId;
	readonly failureDomain: FailureDomainId;
	readonly servingTargets: number;
	readonly capacityRequests: number;
	readonly inProgressRequests: number;
	readonly queuedTokens: number;
};

/** Returns the ids of the targets in a watcher's subset of one service. */
export function selectSubset(state: DirectoryState, watcher: string, service: ServiceId, subsetSize = defaultSubsetSize): Set<TargetId> {
	const targetIds: TargetId[] = [];
	for (const {announcement} of state.targets.values()) {
		if (announcement.services.includes(service)) {
			targetIds.push(announcement.targetId);
		}
	}

	return new Set(rankByRendezvous(`${watcher}/${service}`, targetIds).slice(0, subsetSize));
}

/** Aggregates the serving targets by service and failure domain. */
export function serviceDigests(state: DirectoryState): ServiceDigest[] {
	const digests = new Map<string, ServiceDigest>();
	for (const entry of state.targets.values()) {
		if (entry.announcement.state === 'serving') {
			addToDigests(digests, entry);
		}
	}

	return [...digests.values()];
}

function addToDigests(digests: Map<string, ServiceDigest>, {announcement}: DirectoryEntry): void {
	const {services, failureDomain, load} = announcement;
	for (const service of services) {
		const key = JSON.stringify([service, failureDomain]);
		const sum = digests.get(key);
		digests.set(key, {
			service,
			failureDomain,
			servingTargets: (sum?.servingTargets ?? 0) + 1,
			capacityRequests: (sum?.capacityRequests ?? 0) + load.capacityRequests,
			inProgressRequests: (sum?.inProgressRequests ?? 0) + load.inProgressRequests,
			queuedTokens: (sum?.queuedTokens ?? 0) + load.queuedTokens,
		});
	}
}
