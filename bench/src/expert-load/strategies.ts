/** Strategies that choose the expert map of each window: the product's planner and the baselines it is compared with. */

import {
	type ExpertMap, estimateLoads, type Forecast, type LayerLoads, type LayerMap, type PlanCosts, type PlanWeights,
	placementKeys, planMap, rankTimes, type RankProfile, type RankReport, repackLayer, runToEnd,
} from '@rattanspring/expert-map';

/** Information available to a strategy before a window. */
export type WindowView = {
	/** Reports of the previous window that arrived. */
	readonly reports: readonly RankReport[];
	/** Exact loads of the previous window; only the baselines use them. */
	readonly previousLoads: LayerLoads;
	/** Loads of the next window; only the oracle uses them. */
	readonly nextLoads: LayerLoads;
	/** Rank profiles of the previous window. */
	readonly previousRanks: readonly RankProfile[];
	/** Rank profiles of the next window; only the oracle uses them. */
	readonly nextRanks: readonly RankProfile[];
};

/** Chooses the map of each window and counts what the changes cost. */
export abstract class Strategy {
	/** Number of expert weights loaded so far. */
	loads = 0;
	/** Number of map switches so far; each disturbs one step. */
	switches = 0;
	map: ExpertMap;

	constructor(map: ExpertMap) {
		this.map = map;
	}

	/** Sets `map` for the next window. */
	abstract prepare(view: WindowView): void;

	protected switchTo(map: ExpertMap): void {
		const before = placementKeys(this.map);
		for (const place of placementKeys(map)) {
			this.loads += before.has(place) ? 0 : 1;
		}

		this.switches++;
		this.map = map;
	}
}

/** Baseline that never changes the map. */
export class FixedStrategy extends Strategy {
	prepare(): void {
		// Keeps the initial map.
	}
}

/** Baseline that repacks all replicas before each window, from the loads of the previous one. */
export class RepackingStrategy extends Strategy {
	prepare({previousLoads, previousRanks}: WindowView): void {
		const layers = previousLoads.map(loads => repackLayer(loads, previousRanks));
		this.switchTo({...this.map, version: this.map.version + 1, layers});
	}
}

/** Baseline that knows the next window and moves weights at no cost. For each layer it takes the better of two searches, started from the current and from a repacked map. */
export class OracleStrategy extends Strategy {
	prepare({nextLoads, nextRanks}: WindowView): void {
		const repacked: ExpertMap = {...this.map, layers: nextLoads.map(loads => repackLayer(loads, nextRanks))};
		const candidates = [this.map, repacked].map(map => planWithoutCosts(map, nextLoads, nextRanks));
		const layers = nextLoads.map((loads, layer) => bestOf(candidates.map(map => map.layers[layer]), loads, nextRanks));
		this.switchTo({...this.map, version: this.map.version + 1, layers});
	}
}

/** Uses the product's planner. */
export class PlannerStrategy extends Strategy {
	readonly #weights: PlanWeights;
	readonly #costs: Partial<PlanCosts> | undefined;
	readonly #forecast: Forecast;
	#estimate: LayerLoads;

	constructor(map: ExpertMap, options: {readonly weights: PlanWeights; readonly costs?: Partial<PlanCosts>; readonly forecast: Forecast; readonly firstEstimate: LayerLoads}) {
		super(map);
		this.#weights = options.weights;
		this.#costs = options.costs;
		this.#forecast = options.forecast;
		this.#estimate = options.firstEstimate;
	}

	prepare({reports, previousRanks}: WindowView): void {
		this.#estimate = estimateLoads(reports, this.map, this.#estimate);
		this.#forecast.observe(this.#estimate);
		const plan = runToEnd(planMap({
			currentMap: this.map,
			nextVersion: this.map.version + 1,
			loads: this.#forecast.next(),
			ranks: previousRanks,
			weights: this.#weights,
			costs: this.#costs,
		}));
		if (plan.kind === 'change') {
			this.switchTo(plan.map);
		}
	}
}

/** Plans with a cost weight of zero and no limit on moves. */
function planWithoutCosts(map: ExpertMap, loads: LayerLoads, ranks: readonly RankProfile[]): ExpertMap {
	const plan = runToEnd(planMap({
		currentMap: map,
		nextVersion: map.version,
		loads,
		ranks,
		weights: {skewWeight: 1, costWeight: 0},
		limits: {maxMoves: Number.POSITIVE_INFINITY, maxMovesPerRank: Number.POSITIVE_INFINITY, maxStoreBytes: Number.POSITIVE_INFINITY},
		maxImprovementsPerLayer: 64,
		goalSkew: 1.002,
	}));
	return plan.kind === 'change' ? plan.map : map;
}

function bestOf(layers: readonly LayerMap[], loads: Float64Array, ranks: readonly RankProfile[]): LayerMap {
	const longest = (layer: LayerMap): number => Math.max(...rankTimes(layer, loads, ranks));
	return layers.toSorted((a, b) => longest(a) - longest(b))[0];
}
