/**
Adapts the expert map of a group to the experts that its requests select. This runs in the agent of the group's first rank:
it sums the selection counts of all ranks, forecasts the load from recent samples, and switches the map if the predicted gain
is large enough. A sudden change of demand resets the forecast, so that a single switch adapts to it.
*/

import type {EngineProfile} from '@rattanspring/desired-state';
import {
	type EvenSharePlan, ExponentialAverageForecast, planEvenShares, type RankLists,
} from '@rattanspring/expert-map';
import type {LogFields, Logger} from '@rattanspring/logger';
import type {EngineClient} from './engine-client.js';
import type {GroupRanks} from './group-engine-clients.js';
import {MapSwitch, type MapSwitchOptions, type SwitchOutcome} from './map-switch.js';
import type {MapVersionAllocator} from './map-version-allocator.js';
import {SkippedRounds, type SkipReason} from './skipped-rounds.js';

/** Options of a rebalancer. */
export type MapRebalancerOptions = {
	readonly nowMs: () => number;
	/** Waits between polls of a switch; by default on a timer. */
	readonly sleep?: MapSwitchOptions['sleep'];
	readonly versions: MapVersionAllocator;
	readonly logger: Logger;
	/** Published performance figures of the engines. */
	readonly engine: Pick<EngineProfile, 'placesPerRank' | 'newPlacesPerRank' | 'stepMs' | 'perSequenceMs' | 'expertShare'>;
	/** Smallest share of the step time that a switch has to save. */
	readonly minStepGain?: number;
	/** Smallest decrease of a set's peak load, as a share of its mean load and summed over the ranks, that justifies copying the weights of one expert. */
	readonly minGainPerCopy?: number;
};

const defaults = {minStepGain: 0.045, minGainPerCopy: 0.012};

/** Weight of the newest sample in the moving average of the requests that a rank processes. */
const newestActiveWeight = 0.4;

/** Fewest expert selections that make a usable sample of the demand. */
const minSelections = 2000;

/** Pause after a switch that left the group held, which stalls it for a second or more: as long as orders get no answer, the next switch would fail in the same way. */
const backoffAfterLeftMs = 3000;

/** In a formation with fewer steps than this, the total counts are recent enough to be a sample. */
const newFormationMaxSteps = 60;

/** Weight of the newest sample, and the share of a set's selections that has to move to other experts to count as a sudden change. */
const newestSampleWeight = 0.35;
const suddenChangeShare = 0.2;

/** Rebalances the map of one group, one round per call. */
export class MapRebalancer {
	readonly #options: MapRebalancerOptions & typeof defaults;
	#formation = '';
	#previousCounts: ReadonlyArray<readonly number[]> | undefined;
	#known: {readonly key: string; readonly lists: RankLists} | undefined;
	#forecast = newForecast();
	#active = 0;
	#backoffUntilMs = Number.NEGATIVE_INFINITY;
	#paces: readonly number[] = [];
	#changeNoticedAtMs: number | undefined;
	readonly #skippedRounds: SkippedRounds;

	constructor(options: MapRebalancerOptions) {
		this.#options = {...defaults, ...options};
		this.#skippedRounds = new SkippedRounds(options.logger);
	}

	/** Runs one round: samples the counts, plans a map, and switches to it if the gain is large enough. */
	async round(ranks: GroupRanks, holdingRank: number): Promise<void> {
		this.#skippedRounds.observe(await this.#tryRound(ranks, holdingRank));
	}

	/** Runs a round; returns the reason if it ended without an attempt to switch. */
	async #tryRound(ranks: GroupRanks, holdingRank: number): Promise<SkipReason | undefined> {
		const startedAtMs = this.#options.nowMs();
		const holding = await ranks.engines[holdingRank].state();
		if (!holding) {
			return 'holdingRankSilent';
		}

		if (holding.armed !== undefined || holding.heldStep !== undefined) {
			return 'switchUnfinished';
		}

		this.#active += (holding.active - this.#active) * newestActiveWeight;
		const lists = await this.#currentLists(ranks, holding.mapVersion);
		if (!lists) {
			return 'mapUnknown';
		}

		const missing = await this.#count(ranks, lists.length);
		if (missing) {
			return missing;
		}

		const samplingMs = Math.round(this.#options.nowMs() - startedAtMs);
		return this.#options.nowMs() < this.#backoffUntilMs ? 'backingOff' : this.#plan(ranks, holdingRank, lists, samplingMs);
	}

	/** The expert lists of the map in use: those of the last switch, or else fetched once per version. */
	async #currentLists(ranks: GroupRanks, version: number | undefined): Promise<RankLists | undefined> {
		const key = mapKey(ranks, version);
		if (this.#known?.key !== key) {
			const lists = await fetchExpertLists(ranks.engines, version);
			this.#known = lists && {key, lists};
		}

		return this.#known?.lists;
	}

	/** Adds the selections since the last sample to the forecast; returns the reason if that is not possible. */
	async #count(ranks: GroupRanks, sets: number): Promise<SkipReason | undefined> {
		const answers = await Promise.all(ranks.engines.map(async engine => engine.counts()));
		const known = answers.flatMap(answer => answer?.epoch === ranks.epoch ? [answer] : []);
		if (known.length < ranks.engines.length || known.some(({counts}) => counts.length !== known[0].counts.length)) {
			return 'countsMissing';
		}

		const counts = known.map(answer => answer.counts);
		this.#paces = known.map(({pace = 1}) => pace);
		const formation = `${ranks.group} ${ranks.epoch}`;
		if (this.#formation !== formation || !this.#previousCounts) {
			const isNew = known.every(({step}) => step < newFormationMaxSteps);
			this.#formation = formation;
			this.#previousCounts = isNew ? counts.map(rankCounts => rankCounts.map(() => 0)) : counts;
			this.#forecast = newForecast();
		}

		const selections = selectionsSince(this.#previousCounts, counts);
		if (selections.reduce((sum, count) => sum + count, 0) < minSelections) {
			return 'tooFewSelections';
		}

		this.#previousCounts = counts;
		this.#observe(sharesBySet(selections, sets));
		return undefined;
	}

	/** Adds a sample to the forecast, and notes when it is replaced by the sample because demand has changed suddenly. */
	#observe(sample: readonly Float64Array[]): void {
		this.#forecast.observe([...sample]);
		if (this.#forecast.next().some((loads, set) => loads === sample[set])) {
			this.#changeNoticedAtMs ??= this.#options.nowMs();
		}
	}

	/** Predicted time of a step with the current number of requests per rank. */
	#stepMs(skew: number): number {
		const {stepMs, perSequenceMs, expertShare} = this.#options.engine;
		return stepMs + (perSequenceMs * this.#active * (1 - expertShare + (expertShare * skew)));
	}

	/** Share of the step time that the lower skew saves. */
	#stepGain(skewBefore: number, skewAfter: number): number {
		return 1 - (this.#stepMs(skewAfter) / this.#stepMs(skewBefore));
	}

	/** Plans a map and switches to it; returns the reason if the gain does not justify a switch. */
	async #plan(ranks: GroupRanks, holdingRank: number, current: RankLists, samplingMs: number): Promise<SkipReason | undefined> {
		const {nowMs, engine, minGainPerCopy} = this.#options;
		const startedAtMs = nowMs();
		const loads = this.#forecast.next().map(shares => [...shares]);
		const plan = await runInSlices(planEvenShares({
			current, loads, placesPerRank: engine.placesPerRank, newPerRank: engine.newPlacesPerRank, minGainPerCopy, rankPaces: this.#paces,
		}));
		if (this.#stepGain(plan.skewBefore, plan.skewAfter) < this.#options.minStepGain) {
			return 'gainTooSmall';
		}

		await this.#switch(ranks, holdingRank, plan, {samplingMs, planningMs: Math.round(nowMs() - startedAtMs)});
		return undefined;
	}

	async #switch(ranks: GroupRanks, holdingRank: number, plan: EvenSharePlan, earlierPhases: LogFields): Promise<void> {
		const {nowMs, sleep, logger} = this.#options;
		const version = this.#options.versions.next();
		const startedAtMs = nowMs();
		const mapSwitch = new MapSwitch({
			ranks, holdingRank, nowMs, sleep,
		});
		const outcome = await mapSwitch.run(version, plan.lists);
		logger.log('info', 'mapSwitch', {
			group: ranks.group,
			epoch: ranks.epoch,
			version,
			outcome,
			refusal: mapSwitch.firstRefusal,
			copies: plan.copies,
			skewBefore: round(plan.skewBefore),
			skewAfter: round(plan.skewAfter),
			tookMs: Math.round(nowMs() - startedAtMs),
			...earlierPhases,
			...mapSwitch.phaseTimes,
			sinceChangeMs: this.#changeNoticedAtMs === undefined ? undefined : Math.round(nowMs() - this.#changeNoticedAtMs),
		});
		this.#noteOutcome(outcome);
		if (outcome === 'switched') {
			this.#known = {key: mapKey(ranks, version), lists: plan.lists};
		}
	}

	#noteOutcome(outcome: SwitchOutcome): void {
		if (outcome === 'left') {
			this.#backoffUntilMs = this.#options.nowMs() + backoffAfterLeftMs;
		}

		if (outcome === 'switched') {
			this.#changeNoticedAtMs = undefined;
		}
	}
}

/** Identifies a map: versions are unique within a formation of a group. */
function mapKey({group, epoch}: GroupRanks, version: number | undefined): string {
	return `${group} ${epoch} ${version}`;
}

function newForecast(): ExponentialAverageForecast {
	return new ExponentialAverageForecast({newestWeight: newestSampleWeight, changeLimit: suddenChangeShare});
}

/** Selections at all ranks between two samples, by set and expert. */
function selectionsSince(earlier: ReadonlyArray<readonly number[]>, counts: ReadonlyArray<readonly number[]>): number[] {
	return counts[0].map((_, index) => counts.reduce((sum, rankCounts, rank) => sum + Math.max(0, rankCounts[index] - earlier[rank][index]), 0));
}

/** Share of each expert in the selections of its set. */
function sharesBySet(selections: readonly number[], sets: number): Float64Array[] {
	const perSet = selections.length / sets;
	return Array.from({length: sets}, (_, set) => {
		const counts = selections.slice(set * perSet, (set + 1) * perSet);
		const sum = counts.reduce((total, count) => total + count, 0);
		return Float64Array.from(counts, count => count / Math.max(1, sum));
	});
}

/** Fetches the experts of each rank, by set and rank; undefined unless all ranks use this version. */
async function fetchExpertLists(engines: readonly EngineClient[], version: number | undefined): Promise<RankLists | undefined> {
	const held = await Promise.all(engines.map(async engine => engine.experts()));
	const known = held.flatMap(experts => experts ? [experts] : []);
	if (known.length < engines.length || known.some(held => held.version !== version)) {
		return undefined;
	}

	return known[0].experts.map((_, set) => known.map(({experts}) => experts[set]));
}

/** Runs a computation in slices, so that it does not block the event loop. */
async function runInSlices<Value>(steps: Generator<undefined, Value>): Promise<Value> {
	for (;;) {
		const next = steps.next();
		if (next.done) {
			return next.value;
		}

		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
