/**
Adapts the expert map of a group to the experts that its requests select. This runs in the agent of the group's first rank:
it sums the selection counts of all ranks, forecasts the load from recent samples, and switches the map if the predicted gain
is large enough. A sudden change of demand resets the forecast, so that a single switch adapts to it.
*/

import type {EngineProfile} from '@rattanspring/desired-state';
import {
	planStage, type RankLists, type StageCosts, type StagedPlan,
} from '@rattanspring/expert-map';
import type {LogFields, Logger} from '@rattanspring/logger';
import {DemandTracker} from './demand-tracker.js';
import type {EngineClient, ExpertCounts} from './engine-client.js';
import type {GroupRanks} from './group-engine-clients.js';
import {HoldSteps} from './hold-steps.js';
import {MapSwitch, type MapSwitchOptions, type SwitchOutcome} from './map-switch.js';
import type {MapVersionAllocator} from './map-version-allocator.js';
import {samplePanel} from './sample-panel.js';
import {SkippedRounds, type SkipReason} from './skipped-rounds.js';

/** Options of a rebalancer. */
export type MapRebalancerOptions = {
	readonly nowMs: () => number;
	/** Waits between polls of a switch; by default on a timer. */
	readonly sleep?: MapSwitchOptions['sleep'];
	readonly versions: MapVersionAllocator;
	/** Whether a switch may hold the group now; always by default. */
	readonly mayHold?: MapSwitchOptions['mayHold'];
	readonly logger: Logger;
	/** Published performance figures of the engines. */
	readonly engine: Pick<EngineProfile, 'stepsPerPass' | 'expertsPerSet' | 'placesPerRank' | 'newPlacesPerRank' | 'stepMs' | 'perSequenceMs' | 'expertShare' | 'megabytesPerExpert' | 'linkMegabitsPerSecond'>;
	/** Smallest share of the step time that a switch has to save. */
	readonly minStepGain?: number;
	/** Smallest decrease of a set's peak load, as a share of its mean load and summed over the ranks, that justifies copying the weights of one expert. */
	readonly minGainPerCopy?: number;
};

const defaults = {minStepGain: 0.045, minGainPerCopy: 0.012};

const bitsPerByte = 8;

/** Weight of the newest sample in the moving average of the requests that a rank processes. */
const newestActiveWeight = 0.4;

/** Pause after a switch that left the group held, which stalls it for a second or more: as long as orders get no answer, the next switch would fail in the same way. */
const backoffAfterLeftMs = 3000;

/** Pause between rounds while the map fits the demand. */
const calmPauseMs = 390;

/** Time for which a skew is remembered: about the length of a stream. */
const peakSkewMs = 3000;

/** Number of ranks whose pace is read with each sample. */
const pacesPerSample = 6;

/** Time for which a plan may keep the event loop busy at a stretch. */
const sliceMs = 4;

/** Time of a switch in addition to its copies, before one was measured, and the weight of the newest one in the moving average. */
const initialSwitchMs = 150;
const newestSwitchWeight = 0.3;

/** Rebalances the map of one group, one round per call. */
export class MapRebalancer {
	readonly #options: MapRebalancerOptions & typeof defaults;
	readonly #demand = new DemandTracker();
	#isSampling = false;
	#skews: Array<{readonly atMs: number; readonly skew: number}> = [];
	/** Whether the last switch left a peak that a further one can lower. */
	#isBehind = false;
	/** Whether a pace was told that no plan has taken into account yet. */
	#hasNewPace = false;
	#roundAtMs = Number.NEGATIVE_INFINITY;
	#switchMs = initialSwitchMs;
	#panelTurn = 0;
	#paceTurn = 0;
	#known: {readonly key: string; readonly lists: RankLists} | undefined;
	/** Fencing number of the last switch, if it succeeded, and the formation in which that was. */
	#held: {readonly formation: string; readonly fencing: number} | undefined;
	/** The steps used to hold the group in a formation. */
	#holds: {readonly formation: string; readonly steps: HoldSteps} | undefined;
	#active = 0;
	#backoffUntilMs = Number.NEGATIVE_INFINITY;
	readonly #skippedRounds: SkippedRounds;

	constructor(options: MapRebalancerOptions) {
		this.#options = {...defaults, ...options};
		this.#skippedRounds = new SkippedRounds(options.logger);
	}

	/** The largest skew that the demand caused over the last seconds: it comes again while the demand goes on moving. Undefined before the first plan. */
	get recentPeakSkew(): number | undefined {
		const nowMs = this.#options.nowMs();
		const recent = this.#skews.filter(({atMs}) => nowMs - atMs < peakSkewMs);
		return recent.length === 0 ? undefined : Math.max(...recent.map(({skew}) => skew));
	}

	/** Whether it is time for the next round: at once while the map is behind the demand, otherwise after a pause. */
	get isDue(): boolean {
		return this.#isBehind || this.#hasNewPace || this.#demand.unansweredChangeAtMs !== undefined || this.#options.nowMs() - this.#roundAtMs >= calmPauseMs;
	}

	/** Records the paces that the agents of the ranks have told: a changed one makes the next round due. */
	tellPaces(paces: readonly number[]): void {
		if (paces.length > 0 && this.#demand.tellPaces(paces)) {
			this.#hasNewPace = true;
		}
	}

	/** Runs one round: samples the counts, plans a map, and switches to it if the gain is large enough. */
	async round(ranks: GroupRanks, holdingRank: number): Promise<void> {
		this.#roundAtMs = this.#options.nowMs();
		this.#skippedRounds.observe(await this.#tryRound(ranks, holdingRank));
	}

	/** Adds a sample of the demand while a switch is in progress, so that the next switch starts from the newest demand. */
	async sample(ranks: GroupRanks): Promise<void> {
		const sets = this.#known?.lists.length;
		if (sets !== undefined && !this.#isSampling) {
			await this.#sampleOnce(ranks, sets);
		}
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

		if (!this.#holdStepsOf(ranks).hasNext(holding.step)) {
			return 'groupRests';
		}

		this.#active += (holding.active - this.#active) * newestActiveWeight;
		const lists = await this.#currentLists(ranks, holding.mapVersion);
		if (!lists) {
			return 'mapUnknown';
		}

		const missing = await this.#sampleOnce(ranks, lists.length);
		const isPlannable = missing === 'tooFewSelections' && this.#hasNewPace && this.#demand.loads.length === lists.length;
		if (missing && !isPlannable) {
			return missing;
		}

		const samplingMs = Math.round(this.#options.nowMs() - startedAtMs);
		return this.#options.nowMs() < this.#backoffUntilMs ? 'backingOff' : this.#plan(ranks, holdingRank, lists, samplingMs);
	}

	/** The steps that this coordinator has used in the present formation. */
	#holdStepsOf(ranks: GroupRanks): HoldSteps {
		const formation = formationOf(ranks);
		if (this.#holds?.formation !== formation) {
			this.#holds = {formation, steps: new HoldSteps()};
		}

		return this.#holds.steps;
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

	async #sampleOnce(ranks: GroupRanks, sets: number): Promise<SkipReason | undefined> {
		this.#isSampling = true;
		try {
			return await this.#sample(ranks, sets);
		} finally {
			this.#isSampling = false;
		}
	}

	/** Adds a sample of the demand; returns the reason if that is not possible. */
	async #sample(ranks: GroupRanks, sets: number): Promise<SkipReason | undefined> {
		const {epoch, engines} = ranks;
		const panel = samplePanel(engines.length, sets * this.#options.engine.expertsPerSet, this.#panelTurn);
		const answers: Array<ExpertCounts | undefined> = engines.map(() => undefined);
		await Promise.all([
			panel.length < engines.length ? this.#readPaces(engines) : undefined,
			...panel.map(async rank => {
				const answer = await engines[rank].counts();
				answers[rank] = answer?.epoch === epoch ? answer : undefined;
			}),
		]);
		const unusable = this.#demand.observe(formationOf(ranks), sets, answers, this.#options.nowMs(), panel.length);
		this.#panelTurn += unusable === 'countsMissing' ? 1 : 0;
		return unusable;
	}

	/** Reads the paces of some ranks, in turn: a rank that is not sampled may be the slowest one. */
	async #readPaces(engines: readonly EngineClient[]): Promise<void> {
		const first = this.#paceTurn;
		const count = Math.min(pacesPerSample, engines.length);
		this.#paceTurn = (first + count) % engines.length;
		await Promise.all(Array.from({length: count}, async (_, index) => {
			const rank = (first + index) % engines.length;
			const state = await engines[rank].state();
			if (state) {
				this.#demand.observePace(rank, state.pace);
			}
		}));
	}

	/** What a switch costs under the present load, from the published figures of the engines. */
	#stageCosts(): StageCosts {
		const {stepMs, perSequenceMs, expertShare, megabytesPerExpert, linkMegabitsPerSecond} = this.#options.engine;
		const sequencesMs = perSequenceMs * this.#active;
		return {
			copyMs: megabytesPerExpert * bitsPerByte / linkMegabitsPerSecond * 1000,
			switchMs: this.#switchMs,
			horizonMs: this.#demand.horizonMs(this.#options.nowMs()),
			fixedStepTime: stepMs + (sequencesMs * (1 - expertShare)),
			stepTimePerSkew: sequencesMs * expertShare,
		};
	}

	/** Approximate duration of a pass of the group: the engines count their passes as steps. */
	#passMs(skew: number): number {
		const {fixedStepTime, stepTimePerSkew} = this.#stageCosts();
		return this.#options.engine.stepsPerPass * (fixedStepTime + (stepTimePerSkew * skew));
	}

	/** Plans the next switch and runs it; returns the reason if its gain does not justify a switch. */
	async #plan(ranks: GroupRanks, holdingRank: number, current: RankLists, samplingMs: number): Promise<SkipReason | undefined> {
		const {nowMs, engine, minGainPerCopy} = this.#options;
		const startedAtMs = nowMs();
		const costs = this.#stageCosts();
		this.#hasNewPace = false;
		const plan = await runInSlices(planStage({
			current, loads: this.#demand.loads, placesPerRank: engine.placesPerRank, newPerRank: engine.newPlacesPerRank, minGainPerCopy, rankPaces: this.#demand.paces, costs,
		}));
		this.#skews = [...this.#skews.filter(({atMs}) => nowMs() - atMs < peakSkewMs), {atMs: nowMs(), skew: plan.skewBefore}];
		if (stepGain(costs, plan.skewBefore, plan.skewAfter) < this.#options.minStepGain) {
			this.#isBehind = false;
			this.#demand.markAnswered();
			return 'gainTooSmall';
		}

		this.#isBehind = stepGain(costs, plan.skewAfter, plan.reachableSkew) >= this.#options.minStepGain;
		await this.#switch(ranks, holdingRank, plan, {samplingMs, planningMs: Math.round(nowMs() - startedAtMs)});
		const withoutCopiesMs = Math.max(0, nowMs() - startedAtMs + samplingMs - (plan.copiesPerRank * costs.copyMs));
		this.#switchMs += (withoutCopiesMs - this.#switchMs) * newestSwitchWeight;
		return undefined;
	}

	async #switch(ranks: GroupRanks, holdingRank: number, plan: StagedPlan, earlierPhases: LogFields): Promise<void> {
		const {
			nowMs, sleep, logger, mayHold,
		} = this.#options;
		const version = this.#options.versions.next();
		const startedAtMs = nowMs();
		const changedAtMs = this.#demand.unansweredChangeAtMs;
		const formation = formationOf(ranks);
		const heldFencing = this.#held?.formation === formation ? this.#held.fencing : undefined;
		const mapSwitch = new MapSwitch({
			ranks, holdingRank, nowMs, sleep, mayHold, stepMs: this.#passMs(plan.skewBefore), holdSteps: this.#holdStepsOf(ranks), heldFencing,
		});
		const outcome = await mapSwitch.run(version, plan.lists);
		logger.log('info', 'mapSwitch', {
			group: ranks.group,
			epoch: ranks.epoch,
			version,
			step: mapSwitch.holdStep,
			outcome,
			refusal: mapSwitch.firstRefusal,
			copies: plan.copies,
			copiesPerRank: plan.copiesPerRank,
			skewBefore: round(plan.skewBefore),
			skewAfter: round(plan.skewAfter),
			reachableSkew: round(plan.reachableSkew),
			tookMs: Math.round(nowMs() - startedAtMs),
			...earlierPhases,
			...mapSwitch.phaseTimes,
			sinceChangeMs: changedAtMs === undefined ? undefined : Math.round(nowMs() - changedAtMs),
		});
		this.#noteOutcome(outcome);
		this.#held = outcome === 'switched' ? {formation, fencing: mapSwitch.fencing} : undefined;
		if (outcome === 'switched') {
			this.#known = {key: mapKey(ranks, version), lists: plan.lists};
		}
	}

	#noteOutcome(outcome: SwitchOutcome): void {
		if (outcome === 'left') {
			this.#backoffUntilMs = this.#options.nowMs() + backoffAfterLeftMs;
		}

		if (outcome === 'switched') {
			this.#demand.markAnswered();
		}
	}
}

/** Share of the step time that the lower skew saves. */
function stepGain({fixedStepTime, stepTimePerSkew}: StageCosts, skewBefore: number, skewAfter: number): number {
	return stepTimePerSkew * (skewBefore - skewAfter) / (fixedStepTime + (stepTimePerSkew * skewBefore));
}

function formationOf({group, epoch}: GroupRanks): string {
	return `${group} ${epoch}`;
}

/** Identifies a map: versions are unique within a formation of a group. */
function mapKey(ranks: GroupRanks, version: number | undefined): string {
	return `${formationOf(ranks)} ${version}`;
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
		const next = runSlice(steps);
		if (next.done) {
			return next.value;
		}

		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Runs steps for the length of a slice, or until the last one. */
function runSlice<Value>(steps: Generator<undefined, Value>): IteratorResult<undefined, Value> {
	const endMs = performance.now() + sliceMs;
	let next = steps.next();
	while (!next.done && performance.now() < endMs) {
		next = steps.next();
	}

	return next;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
