/**
Packs a layer from scratch, ignoring the current map: replicas are given to the experts with the most tokens per replica,
then packed on ranks, heaviest first. Used for initial maps, and as the baseline that plans are compared with.
*/

import type {ExpertReplica, LayerMap, RankProfile} from '../expert-map.js';

type Item = {readonly expert: number; readonly load: number; readonly share: number};

/** Packs one layer for the given tokens per expert. Replicas of an expert have equal shares. */
export function repackLayer(tokens: ArrayLike<number>, ranks: readonly RankProfile[]): LayerMap {
	const items = createItems(tokens, replicaCounts(tokens, ranks));
	const free = ranks.map(rank => rank.slotsPerLayer);
	const load = ranks.map(() => 0);
	const held = ranks.map(() => new Set<number>());
	const replicas: ExpertReplica[] = [];
	for (const item of items) {
		const rank = lightestRank(item, ranks, {free, load, held});
		if (rank === undefined) {
			replaceRedundantReplica(item, replicas, held);
			continue;
		}

		replicas.push({expert: item.expert, rank, share: item.share});
		free[rank]--;
		load[rank] += item.load / ranks[rank].speed;
		held[rank].add(item.expert);
	}

	return {replicas: evenShares(replicas)};
}

function replicaCounts(tokens: ArrayLike<number>, ranks: readonly RankProfile[]): number[] {
	const counts = Array.from({length: tokens.length}, () => 1);
	let spare = -tokens.length;
	for (const rank of ranks) {
		spare += rank.slotsPerLayer;
	}

	for (; spare > 0; spare--) {
		let hottest: number | undefined;
		for (let expert = 0; expert < tokens.length; expert++) {
			if (counts[expert] < ranks.length && (hottest === undefined || tokens[expert] / counts[expert] > tokens[hottest] / counts[hottest])) {
				hottest = expert;
			}
		}

		if (hottest === undefined) {
			break;
		}

		counts[hottest]++;
	}

	return counts;
}

function createItems(tokens: ArrayLike<number>, counts: readonly number[]): Item[] {
	const items: Item[] = [];
	for (const [expert, count] of counts.entries()) {
		for (let index = 0; index < count; index++) {
			items.push({expert, load: tokens[expert] / count, share: 1 / count});
		}
	}

	return items.toSorted((a, b) => b.load - a.load);
}

function lightestRank(item: Item, ranks: readonly RankProfile[], {free, load, held}: {free: readonly number[]; load: readonly number[]; held: ReadonlyArray<ReadonlySet<number>>}): number | undefined {
	let best: number | undefined;
	let bestTime = Number.POSITIVE_INFINITY;
	for (const [rank, {speed}] of ranks.entries()) {
		const time = load[rank] + (item.load / speed);
		if (free[rank] > 0 && !held[rank].has(item.expert) && time < bestTime) {
			best = rank;
			bestTime = time;
		}
	}

	return best;
}

/** Handles a replica that fits nowhere: an additional replica is dropped, and the only replica of an expert replaces one of an expert that has several. */
function replaceRedundantReplica(item: Item, replicas: ExpertReplica[], held: ReadonlyArray<Set<number>>): void {
	if (replicas.some(replica => replica.expert === item.expert)) {
		return;
	}

	const index = replicas.findLastIndex(replica => replicas.filter(other => other.expert === replica.expert).length > 1);
	const {rank, expert} = replicas[index];
	held[rank].delete(expert);
	held[rank].add(item.expert);
	replicas[index] = {expert: item.expert, rank, share: 1};
}

function evenShares(replicas: readonly ExpertReplica[]): ExpertReplica[] {
	const counts = new Map<number, number>();
	for (const {expert} of replicas) {
		counts.set(expert, (counts.get(expert) ?? 0) + 1);
	}

	return replicas.map(replica => ({...replica, share: 1 / counts.get(replica.expert)!}));
}
