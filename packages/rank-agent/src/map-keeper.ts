/**
Keeps the expert map of a group in step with what its requests choose. The agent of the group's first rank does so: it
sums up all ranks' counts, forecasts from the last looks, and switches the map where that pays. A sudden change of demand starts the forecast
afresh, so that one switch meets it.
*/

import type {EngineProfile} from '@rattanspring/desired-state';
import {ExponentialAverageForecast, planEvenShares, type RankLists} from '@rattanspring/expert-map';
import type {Logger} from '@rattanspring/logger';
import type {EngineClient} from './engine-door.js';
import type {GroupRanks} from './group-doors.js';
import {MapSwitch} from './map-switch.js';
import type {MapVersions} from './map-versions.js';

/** What the keeper weighs. */
export type MapKeeperOptions = {
	readonly nowMs: () => number;
	readonly versions: MapVersions;
	readonly logger: Logger;
	/** Published figures of the engines. */
	readonly engine: Pick<EngineProfile, 'placesPerRank' | 'newPlacesPerRank' | 'stepMs' | 'perSequenceMs' | 'expertShare'>;
	/** Share of a step's time that a switch has to save. */
	readonly minStepGain?: number;
	/** Lowering of a set's peak, in mean loads, for which one expert's weights are copied. */
	readonly minGainPerCopy?: number;
};

const defaults = {minStepGain: 0.045, minGainPerCopy: 0.012};

/** Weight of the newest look at how many requests a rank writes. */
const activeWeight = 0.4;

/** Choices that make one look at the demand. */
const minChoices = 2000;

/** A group that was left held stood still for a second or more; while orders get no answer, the next switch would end alike. */
const restAfterLeftMs = 3000;

/** In a formation with fewer passes than this, all counts are of now. */
const newFormationSteps = 60;

/** Weight of the newest look, and the share of a set's choices that has to move to other experts to count as a sudden change. */
const newestLookWeight = 0.35;
const suddenChangeShare = 0.2;

/** Keeps the map of one group while it is asked to. */
export class MapKeeper {
	readonly #options: Required<MapKeeperOptions>;
	#formation = '';
	#last: ReadonlyArray<readonly number[]> | undefined;
	#known: {readonly key: string; readonly lists: RankLists} | undefined;
	#forecast = newForecast();
	#active = 0;
	#restUntilMs = Number.NEGATIVE_INFINITY;
	#paces: readonly number[] = [];

	constructor(options: MapKeeperOptions) {
		this.#options = {...defaults, ...options};
	}

	/** One round: count, plan, switch if that pays. */
	async round(ranks: GroupRanks, holdingRank: number): Promise<void> {
		const holding = await ranks.engines[holdingRank].state();
		if (!holding || holding.armed !== undefined || holding.heldStep !== undefined) {
			return;
		}

		this.#active += (holding.active - this.#active) * activeWeight;
		const lists = await this.#listsOf(ranks, holding.mapVersion);
		if (lists && await this.#count(ranks, lists.length) && this.#options.nowMs() >= this.#restUntilMs) {
			await this.#plan(ranks, holdingRank, lists);
		}
	}

	/** The lists of the map in use; asked for once a version. */
	async #listsOf(ranks: GroupRanks, version: number | undefined): Promise<RankLists | undefined> {
		const key = `${ranks.group} ${ranks.epoch} ${version}`;
		if (this.#known?.key !== key) {
			const lists = await heldLists(ranks.engines, version);
			this.#known = lists && {key, lists};
		}

		return this.#known?.lists;
	}

	/** Looks at what was chosen since the last look; false where that is too little to plan from. */
	async #count(ranks: GroupRanks, sets: number): Promise<boolean> {
		const answers = await Promise.all(ranks.engines.map(async engine => engine.counts()));
		const known = answers.flatMap(answer => answer?.epoch === ranks.epoch ? [answer] : []);
		if (known.length < ranks.engines.length) {
			return false;
		}

		const counts = known.map(answer => answer.counts);
		this.#paces = known.map(({pace = 1}) => pace);
		const formation = `${ranks.group} ${ranks.epoch}`;
		if (this.#formation !== formation || !this.#last) {
			const isNew = known.every(({step}) => step < newFormationSteps);
			this.#formation = formation;
			this.#last = isNew ? counts.map(rankCounts => rankCounts.map(() => 0)) : counts;
			this.#forecast = newForecast();
		}

		const chosen = chosenSince(this.#last, counts);
		if (chosen.reduce((sum, count) => sum + count, 0) < minChoices) {
			return false;
		}

		this.#last = counts;
		this.#forecast.observe(sharesBySet(chosen, sets));
		return true;
	}

	/** Time of a step at the number of requests that ranks write now. */
	#stepMs(skew: number): number {
		const {stepMs, perSequenceMs, expertShare} = this.#options.engine;
		return stepMs + (perSequenceMs * this.#active * (1 - expertShare + (expertShare * skew)));
	}

	/** Share of a step's time that a lower skew saves. */
	#stepGain(skewBefore: number, skewAfter: number): number {
		return 1 - (this.#stepMs(skewAfter) / this.#stepMs(skewBefore));
	}

	async #plan(ranks: GroupRanks, holdingRank: number, current: RankLists): Promise<void> {
		const {nowMs, logger, engine, minGainPerCopy} = this.#options;
		const loads = this.#forecast.next().map(shares => [...shares]);
		const plan = await inSlices(planEvenShares({
			current, loads, placesPerRank: engine.placesPerRank, newPerRank: engine.newPlacesPerRank, minGainPerCopy, rankPaces: this.#paces,
		}));
		if (this.#stepGain(plan.skewBefore, plan.skewAfter) < this.#options.minStepGain) {
			return;
		}

		const version = this.#options.versions.next();
		const startedAtMs = nowMs();
		const mapSwitch = new MapSwitch({ranks, holdingRank, nowMs});
		const outcome = await mapSwitch.run(version, plan.lists);
		if (outcome === 'left') {
			this.#restUntilMs = nowMs() + restAfterLeftMs;
		}

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
		});
	}
}

function newForecast(): ExponentialAverageForecast {
	return new ExponentialAverageForecast({newestWeight: newestLookWeight, changeLimit: suddenChangeShare});
}

/** Choices of all ranks between two looks, by set and expert. */
function chosenSince(earlier: ReadonlyArray<readonly number[]>, counts: ReadonlyArray<readonly number[]>): number[] {
	return counts[0].map((_, index) => counts.reduce((sum, rankCounts, rank) => sum + Math.max(0, rankCounts[index] - earlier[rank][index]), 0));
}

/** Share of each expert in the choices of its set. */
function sharesBySet(chosen: readonly number[], sets: number): Float64Array[] {
	const perSet = chosen.length / sets;
	return Array.from({length: sets}, (_, set) => {
		const counts = chosen.slice(set * perSet, (set + 1) * perSet);
		const sum = counts.reduce((total, count) => total + count, 0);
		return Float64Array.from(counts, count => count / Math.max(1, sum));
	});
}

/** The experts of each rank, by set and rank, if all ranks use this version. */
async function heldLists(engines: readonly EngineClient[], version: number | undefined): Promise<RankLists | undefined> {
	const held = await Promise.all(engines.map(async engine => engine.experts()));
	const known = held.flatMap(experts => experts ? [experts] : []);
	if (known.length < engines.length || known.some(held => held.version !== version)) {
		return undefined;
	}

	return known[0].experts.map((_, set) => known.map(({experts}) => experts[set]));
}

/** Runs a computation without holding up the event loop. */
async function inSlices<Value>(steps: Generator<undefined, Value>): Promise<Value> {
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
