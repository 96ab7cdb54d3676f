/**
Plans the next expert map of a group. The plan is computed in slices: the caller advances the generator whenever it has
time. Changes are selected in order of saving per cost, and only while the saving outweighs the cost.
*/

import type {ExpertMap, LayerMap, RankProfile} from '../expert-map.js';
import {emptySlot, LayerPlacement} from './layer-placement.js';
import {type Improvement, searchLayer} from './layer-search.js';

/** Source from which the weights of a replica are loaded. */
export type WeightSource = 'sameRank' | 'sameVm' | 'sameFailureDomain' | 'weightStore';

/** Loading of an expert's weights on a rank. */
export type Move = {
	readonly layer: number;
	readonly expert: number;
	readonly toRank: number;
	readonly source: WeightSource;
	/** The rank from which the weights are copied, unless they come from the weight store. */
	readonly fromRank?: number;
	readonly bytes: number;
};

/** Weights of skew and cost that the operator sets in the fleet configuration. */
export type PlanWeights = {readonly skewWeight: number; readonly costWeight: number};

/** Limits of one plan. */
export type PlanLimits = {
	readonly maxMoves: number;
	/** Number of replicas that a rank can load in addition to those in use. */
	readonly maxMovesPerRank: number;
	/** Bytes that the group may read from the weight store, which all groups share. */
	readonly maxStoreBytes: number;
};

/** Properties of the group's model and platform. */
export type PlanCosts = {
	readonly bytesPerExpert: number;
	/** Time per token and layer on a nominal rank. */
	readonly tokenTimeMs: number;
	/** Number of steps over which the savings of a plan are summed. */
	readonly horizonSteps: number;
	readonly storeBytesPerMs: number;
	/** Delay that a map switch causes to the group. */
	readonly switchMs: number;
	/** Cost of a byte by source, relative to a byte from the weight store. */
	readonly sourceFactor: Readonly<Record<WeightSource, number>>;
};

/** Input of a plan. */
export type PlanInput = {
	readonly currentMap: ExpertMap;
	/** Version of the planned map. */
	readonly nextVersion: number;
	/** Forecast tokens per step, one array over experts for each layer. */
	readonly loads: readonly Float64Array[];
	readonly ranks: readonly RankProfile[];
	readonly weights: PlanWeights;
	readonly limits?: Partial<PlanLimits>;
	readonly costs?: Partial<PlanCosts>;
	/** Largest number of improvements searched for per layer. */
	readonly maxImprovementsPerLayer?: number;
	/** Skew at which a layer counts as balanced. */
	readonly goalSkew?: number;
};

/** Predictions of a plan. */
export type PlanFigures = {
	/** Slowest rank's time over the balanced time, averaged over the layers. */
	readonly skewBefore: number;
	readonly skewAfter: number;
	readonly savedMsPerStep: number;
	readonly bytes: number;
	readonly costMs: number;
};

/** Result of planning: a new map that is worth its cost, or the decision to keep the current one. */
export type Plan
	= | {readonly kind: 'change'; readonly map: ExpertMap; readonly moves: readonly Move[]; readonly figures: PlanFigures}
		| {readonly kind: 'keep'; readonly figures: PlanFigures};

/** Limits that apply if the input sets none. */
export const defaultLimits: PlanLimits = {maxMoves: 4096, maxMovesPerRank: 64, maxStoreBytes: 180_000_000_000};

/** Costs that apply if the input sets none. */
export const defaultCosts: PlanCosts = {
	bytesPerExpert: 44_000_000,
	tokenTimeMs: 0.001,
	horizonSteps: 20_000,
	storeBytesPerMs: 3_000_000,
	switchMs: 30,
	sourceFactor: {
		sameRank: 0, sameVm: 0.25, sameFailureDomain: 0.5, weightStore: 1,
	},
};

/** Number of moves and of chunks processed between two yields. */
const movesPerYield = 512;
const chunksPerYield = 64;

/** Consecutive improvements of one layer that are selected or skipped as a whole. */
type Chunk = {readonly layer: number; readonly end: number; readonly moves: readonly Move[]; readonly savedMs: number; readonly costMs: number};

type LayerAnalysis = {readonly balancedTime: number; readonly currentTime: number; readonly settledTime: number; readonly improvements: readonly Improvement[]};

type Context = Required<Omit<PlanInput, 'limits' | 'costs'>> & {readonly limits: PlanLimits; readonly costs: PlanCosts};

/** Computes a plan; the caller may pause it at every `yield`. */
export function * planMap(input: PlanInput): Generator<undefined, Plan> {
	const context: Context = {
		maxImprovementsPerLayer: 32,
		goalSkew: 1.005,
		...input,
		limits: {...defaultLimits, ...input.limits},
		costs: {...defaultCosts, ...input.costs},
	};
	const analyses: LayerAnalysis[] = [];
	const chunks: Chunk[] = [];
	for (const layer of input.currentMap.layers.keys()) {
		const analysis = yield * analyzeLayer(context, layer);
		analyses.push(analysis);
		chunks.push(...createChunks(context, layer, analysis));
		yield;
	}

	const selected = yield * selectChunks(context, chunks);
	yield;
	const figures = estimateFigures(context, analyses, selected);
	const saving = context.weights.skewWeight * figures.savedMsPerStep * context.costs.horizonSteps;
	if (saving <= context.weights.costWeight * figures.costMs) {
		return {kind: 'keep', figures};
	}

	const map = yield * buildMap(context, analyses, selected);
	const moves = yield * removeRedundantMoves(context, map, selected.flatMap(chunk => chunk.moves));
	return {
		kind: 'change', map, moves, figures: {...figures, bytes: totalBytes(moves), costMs: context.costs.switchMs + costOf(context, moves)},
	};
}

/** Removes loads of replicas that the current map already has or that a later change of the same plan removes again. */
function * removeRedundantMoves({currentMap, ranks}: Context, map: ExpertMap, moves: readonly Move[]): Generator<undefined, Move[]> {
	const missing: Array<Set<number>> = [];
	for (const [layer, layerMap] of map.layers.entries()) {
		missing.push(newPlacements(currentMap.layers[layer], layerMap, ranks.length));
		yield;
	}

	const needed: Move[] = [];
	for (const [index, move] of moves.entries()) {
		if (missing[move.layer].delete(placementIndex(move.expert, move.toRank, ranks.length))) {
			needed.push(move);
		}

		if (index % movesPerYield === 0) {
			yield;
		}
	}

	return needed;
}

function newPlacements(before: LayerMap, after: LayerMap, rankCount: number): Set<number> {
	const known = new Set(before.replicas.map(({expert, rank}) => placementIndex(expert, rank, rankCount)));
	const places = after.replicas.map(({expert, rank}) => placementIndex(expert, rank, rankCount));
	return new Set(places.filter(place => !known.has(place)));
}

function placementIndex(expert: number, rank: number, rankCount: number): number {
	return (expert * rankCount) + rank;
}

/** Keys of the form `layer expert rank` for all replicas of a map, to compare maps. */
export function placementKeys(map: ExpertMap): ReadonlySet<string> {
	return new Set(map.layers.flatMap(({replicas}, layer) => replicas.map(({expert, rank}) => `${layer} ${expert} ${rank}`)));
}

function totalBytes(moves: readonly Move[]): number {
	let bytes = 0;
	for (const move of moves) {
		bytes += move.bytes;
	}

	return bytes;
}

/** Runs a sliced computation to completion, for callers that need no pauses. */
export function runToEnd<Value>(steps: Generator<undefined, Value>): Value {
	for (;;) {
		const next = steps.next();
		if (next.done) {
			return next.value;
		}
	}
}

function * analyzeLayer({currentMap, loads, ranks, maxImprovementsPerLayer, goalSkew}: Context, layer: number): Generator<undefined, LayerAnalysis> {
	const placement = new LayerPlacement(currentMap.layers[layer], loads[layer], ranks);
	const currentTime = placement.maxTime();
	placement.settle();
	const settledTime = placement.maxTime();
	const improvements = yield * searchLayer(placement, {maxImprovements: maxImprovementsPerLayer, goalSkew});
	return {
		balancedTime: placement.balancedTime, currentTime, settledTime, improvements,
	};
}

/** Splits a layer's improvements into chunks of decreasing saving per cost. */
function createChunks(context: Context, layer: number, analysis: LayerAnalysis): Chunk[] {
	const chunks: Chunk[] = [];
	const {improvements} = analysis;
	let start = 0;
	let time = analysis.settledTime;
	const movesOf = movesByImprovement(context, layer, improvements);
	while (start < improvements.length) {
		const end = findBestEnd(context, {
			improvements, movesOf, start, time,
		});
		if (end === undefined) {
			break;
		}

		const moves = movesOf.slice(start, end).flat();
		const savedMs = (time - improvements[end - 1].maxTime) * context.costs.tokenTimeMs;
		chunks.push({
			layer, end, moves, savedMs, costMs: costOf(context, moves),
		});
		start = end;
		time = improvements[end - 1].maxTime;
	}

	return chunks;
}

type ChunkSearch = {readonly improvements: readonly Improvement[]; readonly movesOf: ReadonlyArray<readonly Move[]>; readonly start: number; readonly time: number};

function findBestEnd(context: Context, {improvements, movesOf, start, time}: ChunkSearch): number | undefined {
	let best: number | undefined;
	let bestRatio = 0;
	let costMs = 0;
	for (let end = start + 1; end <= improvements.length; end++) {
		costMs += costOf(context, movesOf[end - 1]);
		const ratio = (time - improvements[end - 1].maxTime) / Math.max(costMs, Number.MIN_VALUE);
		if (ratio > bestRatio) {
			best = end;
			bestRatio = ratio;
		}
	}

	return best;
}

function costOf({costs}: Context, moves: readonly Move[]): number {
	let costMs = 0;
	for (const {bytes, source} of moves) {
		costMs += bytes * costs.sourceFactor[source] / costs.storeBytesPerMs;
	}

	return costMs;
}

function movesByImprovement(context: Context, layer: number, improvements: readonly Improvement[]): Move[][] {
	const holders = new Map<number, Set<number>>();
	for (const {expert, rank} of context.currentMap.layers[layer].replicas) {
		holders.set(expert, (holders.get(expert) ?? new Set<number>()).add(rank));
	}

	const slotRank = context.ranks.flatMap((rank, index) => Array.from({length: rank.slotsPerLayer}, () => index));
	return improvements.map(({changes}) => changes
		.filter(change => change.expert !== emptySlot)
		.map(change => createMove(context, {layer, expert: change.expert, toRank: slotRank[change.slot]}, holders.get(change.expert)!)));
}

function createMove({ranks, costs}: Context, place: {readonly layer: number; readonly expert: number; readonly toRank: number}, holders: ReadonlySet<number>): Move {
	const target = ranks[place.toRank];
	if (holders.has(place.toRank)) {
		return {...place, source: 'sameRank', bytes: 0};
	}

	const near = [...holders].toSorted((a, b) => a - b);
	const inVm = near.find(rank => ranks[rank].vm === target.vm);
	if (inVm !== undefined) {
		return {
			...place, source: 'sameVm', fromRank: inVm, bytes: costs.bytesPerExpert,
		};
	}

	const inDomain = near.find(rank => ranks[rank].failureDomain === target.failureDomain);
	if (inDomain !== undefined) {
		return {
			...place, source: 'sameFailureDomain', fromRank: inDomain, bytes: costs.bytesPerExpert,
		};
	}

	return {...place, source: 'weightStore', bytes: costs.bytesPerExpert};
}

/** Selects chunks by saving per cost, as long as each is worth its cost and within the limits. The chunks of a layer are selected in order. */
function * selectChunks(context: Context, chunks: readonly Chunk[]): Generator<undefined, Chunk[]> {
	const {weights, costs, limits, ranks} = context;
	const ordered = chunks.toSorted((a, b) => (b.savedMs / b.costMs) - (a.savedMs / a.costMs));
	const movesPerRank = ranks.map(() => 0);
	const closedLayers = new Set<number>();
	const selected: Chunk[] = [];
	let moves = 0;
	let storeBytes = 0;
	for (const [index, chunk] of ordered.entries()) {
		if (index % chunksPerYield === 0) {
			yield;
		}

		const isWorthCost = weights.skewWeight * chunk.savedMs * costs.horizonSteps > weights.costWeight * chunk.costMs;
		const chunkStoreBytes = storeBytesOf(chunk.moves);
		const isWithinLimits = moves + chunk.moves.length <= limits.maxMoves && storeBytes + chunkStoreBytes <= limits.maxStoreBytes && isWithinRankLimits(movesPerRank, chunk.moves, limits);
		if (!isWorthCost || !isWithinLimits || closedLayers.has(chunk.layer)) {
			closedLayers.add(chunk.layer);
			continue;
		}

		selected.push(chunk);
		moves += chunk.moves.length;
		storeBytes += chunkStoreBytes;
		for (const {toRank} of chunk.moves) {
			movesPerRank[toRank]++;
		}
	}

	return selected;
}

function storeBytesOf(moves: readonly Move[]): number {
	let bytes = 0;
	for (const move of moves) {
		bytes += move.source === 'weightStore' ? move.bytes : 0;
	}

	return bytes;
}

function isWithinRankLimits(perRank: readonly number[], moves: readonly Move[], limits: PlanLimits): boolean {
	const added = new Map<number, number>();
	for (const {toRank} of moves) {
		added.set(toRank, (added.get(toRank) ?? 0) + 1);
	}

	return [...added].every(([rank, count]) => perRank[rank] + count <= limits.maxMovesPerRank);
}

function estimateFigures(context: Context, analyses: readonly LayerAnalysis[], selected: readonly Chunk[]): PlanFigures {
	const times = analyses.map(analysis => analysis.settledTime);
	let costMs = context.costs.switchMs;
	for (const {layer, end, costMs: chunkCostMs} of selected) {
		times[layer] = Math.min(times[layer], analyses[layer].improvements[end - 1].maxTime);
		costMs += chunkCostMs;
	}

	let skewBefore = 0;
	let skewAfter = 0;
	let saved = 0;
	for (const [layer, analysis] of analyses.entries()) {
		const even = Math.max(analysis.balancedTime, Number.MIN_VALUE);
		skewBefore += analysis.currentTime / even / analyses.length;
		skewAfter += times[layer] / even / analyses.length;
		saved += analysis.currentTime - times[layer];
	}

	return {
		skewBefore, skewAfter, savedMsPerStep: saved * context.costs.tokenTimeMs, bytes: totalBytes(selected.flatMap(chunk => chunk.moves)), costMs,
	};
}

function * buildMap(context: Context, analyses: readonly LayerAnalysis[], selected: readonly Chunk[]): Generator<undefined, ExpertMap> {
	const {currentMap, loads, ranks} = context;
	const ends = analyses.map(() => 0);
	for (const {layer, end} of selected) {
		ends[layer] = Math.max(ends[layer], end);
	}

	const layers: LayerMap[] = [];
	for (const [layer, analysis] of analyses.entries()) {
		const placement = new LayerPlacement(currentMap.layers[layer], loads[layer], ranks);
		placement.settle();
		for (const {changes} of analysis.improvements.slice(0, ends[layer])) {
			placement.apply(changes);
			placement.settle();
			yield;
		}

		layers.push(placement.toLayerMap());
		yield;
	}

	return {groupId: currentMap.groupId, version: context.nextVersion, layers};
}
