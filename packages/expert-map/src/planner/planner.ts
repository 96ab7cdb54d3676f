/**
Plans the next expert map of a group. The plan is computed in slices: a caller advances the generator as long as it
can spare time. Changes are taken in the order of what they save for what they cost, and only while they pay.
*/

import type {ExpertMap, LayerMap, RankProfile} from '../expert-map.js';
import {emptySlot, LayerPlacement} from './layer-placement.js';
import {type Improvement, searchLayer} from './layer-search.js';

/** Where the weights of a replica are loaded from. */
export type WeightSource = 'sameRank' | 'sameVm' | 'sameFailureDomain' | 'weightStore';

/** One load of an expert's weights on a rank. */
export type Move = {
	readonly layer: number;
	readonly expert: number;
	readonly toRank: number;
	readonly source: WeightSource;
	/** A rank to copy the weights from, unless they come from the weight store. */
	readonly fromRank?: number;
	readonly bytes: number;
};

/** What the operator weighs, from the fleet configuration. */
export type PlanWeights = {readonly skewWeight: number; readonly costWeight: number};

/** Limits of one plan. */
export type PlanLimits = {
	readonly maxMoves: number;
	/** Loads a rank can stage beside the replicas in use. */
	readonly maxMovesPerRank: number;
	/** Bytes the group may take from the weight store, which all groups share. */
	readonly maxStoreBytes: number;
};

/** Facts of the group's model and platform. */
export type PlanCosts = {
	readonly bytesPerExpert: number;
	/** Time of one token of one layer on a nominal rank. */
	readonly tokenTimeMs: number;
	/** Steps over which the plan's savings are counted. */
	readonly horizonSteps: number;
	readonly storeBytesPerMs: number;
	/** Delay of the group by one switch of maps. */
	readonly switchMs: number;
	/** Price of a byte by its source, against one from the weight store. */
	readonly sourceFactor: Readonly<Record<WeightSource, number>>;
};

/** All inputs of a plan. */
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
	/** Most improvements searched for in a layer. */
	readonly maxImprovementsPerLayer?: number;
	/** A layer is even enough at this skew. */
	readonly goalSkew?: number;
};

/** Predictions of a plan. */
export type PlanFigures = {
	/** Mean over layers of the slowest rank's time over the even time. */
	readonly skewBefore: number;
	readonly skewAfter: number;
	readonly savedMsPerStep: number;
	readonly bytes: number;
	readonly costMs: number;
};

/** The result: a new map worth its cost, or the advice to keep the current one. */
export type Plan
	= | {readonly kind: 'change'; readonly map: ExpertMap; readonly moves: readonly Move[]; readonly figures: PlanFigures}
		| {readonly kind: 'keep'; readonly figures: PlanFigures};

/** Limits that hold where the input names none. */
export const defaultLimits: PlanLimits = {maxMoves: 4096, maxMovesPerRank: 64, maxStoreBytes: 180_000_000_000};

/** Costs that hold where the input names none. */
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

/** Moves and runs of moves looked at between two places to pause. */
const movesPerPause = 512;
const chunksPerPause = 64;

/** A run of improvements of one layer that is taken or left as a whole. */
type Chunk = {readonly layer: number; readonly end: number; readonly moves: readonly Move[]; readonly savedMs: number; readonly costMs: number};

type LayerStudy = {readonly evenTime: number; readonly currentTime: number; readonly settledTime: number; readonly improvements: readonly Improvement[]};

type Context = Required<Omit<PlanInput, 'limits' | 'costs'>> & {readonly limits: PlanLimits; readonly costs: PlanCosts};

/** Computes a plan; every `yield` is a place to pause. */
export function * planMap(input: PlanInput): Generator<undefined, Plan> {
	const context: Context = {
		maxImprovementsPerLayer: 32,
		goalSkew: 1.005,
		...input,
		limits: {...defaultLimits, ...input.limits},
		costs: {...defaultCosts, ...input.costs},
	};
	const studies: LayerStudy[] = [];
	const chunks: Chunk[] = [];
	for (const layer of input.currentMap.layers.keys()) {
		const study = yield * studyLayer(context, layer);
		studies.push(study);
		chunks.push(...chunksOf(context, layer, study));
		yield;
	}

	const taken = yield * takeChunks(context, chunks);
	yield;
	const figures = figuresOf(context, studies, taken);
	const saving = context.weights.skewWeight * figures.savedMsPerStep * context.costs.horizonSteps;
	if (saving <= context.weights.costWeight * figures.costMs) {
		return {kind: 'keep', figures};
	}

	const map = yield * mapOf(context, studies, taken);
	const moves = yield * neededMoves(context, map, taken.flatMap(chunk => chunk.moves));
	return {
		kind: 'change', map, moves, figures: {...figures, bytes: bytesOf(moves), costMs: context.costs.switchMs + costOf(context, moves)},
	};
}

/** Leaves out loads of replicas that the current map has already, or that a later change of the same plan takes out again. */
function * neededMoves({currentMap, ranks}: Context, map: ExpertMap, moves: readonly Move[]): Generator<undefined, Move[]> {
	const missing: Array<Set<number>> = [];
	for (const [layer, layerMap] of map.layers.entries()) {
		missing.push(newPlaces(currentMap.layers[layer], layerMap, ranks.length));
		yield;
	}

	const needed: Move[] = [];
	for (const [index, move] of moves.entries()) {
		if (missing[move.layer].delete(placeOf(move.expert, move.toRank, ranks.length))) {
			needed.push(move);
		}

		if (index % movesPerPause === 0) {
			yield;
		}
	}

	return needed;
}

function newPlaces(before: LayerMap, after: LayerMap, rankCount: number): Set<number> {
	const known = new Set(before.replicas.map(({expert, rank}) => placeOf(expert, rank, rankCount)));
	const places = after.replicas.map(({expert, rank}) => placeOf(expert, rank, rankCount));
	return new Set(places.filter(place => !known.has(place)));
}

function placeOf(expert: number, rank: number, rankCount: number): number {
	return (expert * rankCount) + rank;
}

/** The places of all replicas of a map, for comparing maps. */
export function placementKeys(map: ExpertMap): ReadonlySet<string> {
	return new Set(map.layers.flatMap(({replicas}, layer) => replicas.map(({expert, rank}) => `${layer} ${expert} ${rank}`)));
}

function bytesOf(moves: readonly Move[]): number {
	let bytes = 0;
	for (const move of moves) {
		bytes += move.bytes;
	}

	return bytes;
}

/** Runs a computation in slices to its end, for callers that need no pauses. */
export function runToEnd<Value>(steps: Generator<undefined, Value>): Value {
	for (;;) {
		const next = steps.next();
		if (next.done) {
			return next.value;
		}
	}
}

function * studyLayer({currentMap, loads, ranks, maxImprovementsPerLayer, goalSkew}: Context, layer: number): Generator<undefined, LayerStudy> {
	const placement = new LayerPlacement(currentMap.layers[layer], loads[layer], ranks);
	const currentTime = placement.maxTime();
	placement.settle();
	const settledTime = placement.maxTime();
	const improvements = yield * searchLayer(placement, {maxImprovements: maxImprovementsPerLayer, goalSkew});
	return {
		evenTime: placement.evenTime, currentTime, settledTime, improvements,
	};
}

/** Cuts a layer's improvements into runs of falling saving per cost. */
function chunksOf(context: Context, layer: number, study: LayerStudy): Chunk[] {
	const chunks: Chunk[] = [];
	const {improvements} = study;
	let start = 0;
	let time = study.settledTime;
	const movesOf = movesPerImprovement(context, layer, improvements);
	while (start < improvements.length) {
		const end = bestEnd(context, {
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

type Run = {readonly improvements: readonly Improvement[]; readonly movesOf: ReadonlyArray<readonly Move[]>; readonly start: number; readonly time: number};

function bestEnd(context: Context, {improvements, movesOf, start, time}: Run): number | undefined {
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

function movesPerImprovement(context: Context, layer: number, improvements: readonly Improvement[]): Move[][] {
	const holders = new Map<number, Set<number>>();
	for (const {expert, rank} of context.currentMap.layers[layer].replicas) {
		holders.set(expert, (holders.get(expert) ?? new Set<number>()).add(rank));
	}

	const slotRank = context.ranks.flatMap((rank, index) => Array.from({length: rank.slotsPerLayer}, () => index));
	return improvements.map(({changes}) => changes
		.filter(change => change.expert !== emptySlot)
		.map(change => moveOf(context, {layer, expert: change.expert, toRank: slotRank[change.slot]}, holders.get(change.expert)!)));
}

function moveOf({ranks, costs}: Context, place: {readonly layer: number; readonly expert: number; readonly toRank: number}, holders: ReadonlySet<number>): Move {
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

/** Takes runs by saving per cost, while each pays and the limits allow it. A layer's runs are taken in their order. */
function * takeChunks(context: Context, chunks: readonly Chunk[]): Generator<undefined, Chunk[]> {
	const {weights, costs, limits, ranks} = context;
	const ordered = chunks.toSorted((a, b) => (b.savedMs / b.costMs) - (a.savedMs / a.costMs));
	const perRank = ranks.map(() => 0);
	const closed = new Set<number>();
	const taken: Chunk[] = [];
	let moves = 0;
	let storeBytes = 0;
	for (const [index, chunk] of ordered.entries()) {
		if (index % chunksPerPause === 0) {
			yield;
		}

		const pays = weights.skewWeight * chunk.savedMs * costs.horizonSteps > weights.costWeight * chunk.costMs;
		const chunkStoreBytes = storeBytesOf(chunk.moves);
		const fits = moves + chunk.moves.length <= limits.maxMoves && storeBytes + chunkStoreBytes <= limits.maxStoreBytes && fitsRanks(perRank, chunk.moves, limits);
		if (!pays || !fits || closed.has(chunk.layer)) {
			closed.add(chunk.layer);
			continue;
		}

		taken.push(chunk);
		moves += chunk.moves.length;
		storeBytes += chunkStoreBytes;
		for (const {toRank} of chunk.moves) {
			perRank[toRank]++;
		}
	}

	return taken;
}

function storeBytesOf(moves: readonly Move[]): number {
	let bytes = 0;
	for (const move of moves) {
		bytes += move.source === 'weightStore' ? move.bytes : 0;
	}

	return bytes;
}

function fitsRanks(perRank: readonly number[], moves: readonly Move[], limits: PlanLimits): boolean {
	const added = new Map<number, number>();
	for (const {toRank} of moves) {
		added.set(toRank, (added.get(toRank) ?? 0) + 1);
	}

	return [...added].every(([rank, count]) => perRank[rank] + count <= limits.maxMovesPerRank);
}

function figuresOf(context: Context, studies: readonly LayerStudy[], taken: readonly Chunk[]): PlanFigures {
	const times = studies.map(study => study.settledTime);
	let costMs = context.costs.switchMs;
	for (const {layer, end, costMs: chunkCostMs} of taken) {
		times[layer] = Math.min(times[layer], studies[layer].improvements[end - 1].maxTime);
		costMs += chunkCostMs;
	}

	let skewBefore = 0;
	let skewAfter = 0;
	let saved = 0;
	for (const [layer, study] of studies.entries()) {
		const even = Math.max(study.evenTime, Number.MIN_VALUE);
		skewBefore += study.currentTime / even / studies.length;
		skewAfter += times[layer] / even / studies.length;
		saved += study.currentTime - times[layer];
	}

	return {
		skewBefore, skewAfter, savedMsPerStep: saved * context.costs.tokenTimeMs, bytes: bytesOf(taken.flatMap(chunk => chunk.moves)), costMs,
	};
}

function * mapOf(context: Context, studies: readonly LayerStudy[], taken: readonly Chunk[]): Generator<undefined, ExpertMap> {
	const {currentMap, loads, ranks} = context;
	const ends = studies.map(() => 0);
	for (const {layer, end} of taken) {
		ends[layer] = Math.max(ends[layer], end);
	}

	const layers: LayerMap[] = [];
	for (const [layer, study] of studies.entries()) {
		const placement = new LayerPlacement(currentMap.layers[layer], loads[layer], ranks);
		placement.settle();
		for (const {changes} of study.improvements.slice(0, ends[layer])) {
			placement.apply(changes);
			placement.settle();
			yield;
		}

		layers.push(placement.toLayerMap());
		yield;
	}

	return {groupId: currentMap.groupId, version: context.nextVersion, layers};
}
