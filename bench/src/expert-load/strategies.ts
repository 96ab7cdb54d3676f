/** Ways to choose the map of each window: ours, and those it is measured against. */

import {
	type ExpertMap, estimateLoads, type Forecast, type LayerLoads, type LayerMap, type PlanCosts, type PlanWeights,
	placementKeys, planMap, rankTimes, type RankProfile, type RankReport, repackLayer, runToEnd,
} from '@rattanspring/expert-map';

/** What a strategy may look at before a window. */
export type WindowView = {
	/** Reports of the window before, as far as they arrived. */
	readonly reports: readonly RankReport[];
	/** Exact loads of the window before; only the baselines look. */
	readonly previousLoads: LayerLoads;
	/** Loads of the coming window; only the oracle looks. */
	readonly comingLoads: LayerLoads;
	/** Ranks as in the window before. */
	readonly previousRanks: readonly RankProfile[];
	/** Ranks as in the coming window; only the oracle looks. */
	readonly comingRanks: readonly RankProfile[];
};

/** Chooses maps. */
export abstract class Strategy {
	/** Expert weights loaded so far. */
	loads = 0;
	/** Switches of maps so far, each of which disturbs a step. */
	switches = 0;
	map: ExpertMap;

	constructor(map: ExpertMap) {
		this.map = map;
	}

	/** Chooses the map of the coming window. */
	abstract prepare(view: WindowView): void;

	protected adopt(map: ExpertMap): void {
		const before = placementKeys(this.map);
		for (const place of placementKeys(map)) {
			this.loads += before.has(place) ? 0 : 1;
		}

		this.switches++;
		this.map = map;
	}
}

/** Never changes the map. */
export class FixedStrategy extends Strategy {
	prepare(): void {
		// The first map stays in force.
	}
}

/** Packs all replicas anew before each window, from the window before. */
export class RepackingStrategy extends Strategy {
	prepare({previousLoads, previousRanks}: WindowView): void {
		const layers = previousLoads.map(loads => repackLayer(loads, previousRanks));
		this.adopt({...this.map, version: this.map.version + 1, layers});
	}
}

/** Knows the coming window and pays nothing; takes the better of a free search and a packing with spread shares, layer by layer. */
export class OracleStrategy extends Strategy {
	prepare({comingLoads, comingRanks}: WindowView): void {
		const repacked: ExpertMap = {...this.map, layers: comingLoads.map(loads => repackLayer(loads, comingRanks))};
		const candidates = [this.map, repacked].map(map => freePlan(map, comingLoads, comingRanks));
		const layers = comingLoads.map((loads, layer) => bestOf(candidates.map(map => map.layers[layer]), loads, comingRanks));
		this.adopt({...this.map, version: this.map.version + 1, layers});
	}
}

/** Plans with the product's planner. */
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
			this.adopt(plan.map);
		}
	}
}

/** A plan for which nothing has a price. */
function freePlan(map: ExpertMap, loads: LayerLoads, ranks: readonly RankProfile[]): ExpertMap {
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
