/** The expert map of a group: which ranks hold replicas of which experts, layer by layer. */

import type {FailureDomainId, GroupId, VmId} from '@rattanspring/types';

/** One replica of an expert. */
export type ExpertReplica = {
	readonly expert: number;
	readonly rank: number;
	/** Share of the expert's tokens that this replica processes; the shares of an expert add up to 1. */
	readonly share: number;
};

/** Replicas of one layer. */
export type LayerMap = {readonly replicas: readonly ExpertReplica[]};

/** An expert map. A version number is never used for two maps. */
export type ExpertMap = {readonly groupId: GroupId; readonly version: number; readonly layers: readonly LayerMap[]};

/** Properties of a rank that the planner uses. */
export type RankProfile = {
	readonly vm: VmId;
	readonly failureDomain: FailureDomainId;
	/** Speed relative to a nominal rank; a rank of speed 0.8 takes a quarter longer for the same tokens. */
	readonly speed: number;
	/** Replicas the rank can hold in each layer. */
	readonly slotsPerLayer: number;
};

/** The reason why a map is invalid. */
export type MapFailure = {
	readonly type: 'expertMissing' | 'sharesWrong' | 'slotsExceeded' | 'duplicateReplica' | 'unknownRank';
	readonly message: string;
	readonly layer: number;
};

/** Largest rounding error allowed in a sum of shares. */
const shareTolerance = 1e-6;

/** Returns the first violation in a map: every expert needs a replica, its shares must add up to 1, and no rank may exceed its slots. */
export function mapFailure(map: ExpertMap, expertCount: number, ranks: readonly RankProfile[]): MapFailure | undefined {
	for (const [layer, layerMap] of map.layers.entries()) {
		const found = layerFailure(layerMap, expertCount, ranks);
		if (found) {
			return {...found, layer};
		}
	}

	return undefined;
}

function layerFailure(layerMap: LayerMap, expertCount: number, ranks: readonly RankProfile[]): Omit<MapFailure, 'layer'> | undefined {
	const shares = Array.from({length: expertCount}, () => 0);
	const used = ranks.map(() => 0);
	const places = new Set<string>();
	for (const {expert, rank, share} of layerMap.replicas) {
		if (rank >= ranks.length) {
			return {type: 'unknownRank', message: `The group has no rank ${rank}.`};
		}

		shares[expert] += share;
		used[rank]++;
		places.add(`${expert} ${rank}`);
	}

	const covered = new Set(layerMap.replicas.map(replica => replica.expert));
	if (covered.size < expertCount) {
		return {type: 'expertMissing', message: 'An expert has no replica.'};
	}

	if (places.size < layerMap.replicas.length) {
		return {type: 'duplicateReplica', message: 'A rank holds an expert twice.'};
	}

	if (shares.some(sum => Math.abs(sum - 1) > shareTolerance)) {
		return {type: 'sharesWrong', message: 'The shares of an expert do not add up to 1.'};
	}

	const isExceeded = used.some((count, rank) => count > ranks[rank].slotsPerLayer);
	return isExceeded ? {type: 'slotsExceeded', message: 'A rank holds more replicas than it has slots.'} : undefined;
}
