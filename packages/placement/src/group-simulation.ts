/** Simulates a group of ranks by the published formula of the engines, for tests: demand that moves, maps that follow late, copies, bursts and slow ranks. */

import type {EngineProfile} from '@rattanspring/desired-state';
import {seededRandom} from '@rattanspring/test-kit';
import type {PassTime} from './pass-limit.js';

type Random = () => number;

/** Options of a simulated group. */
export type GroupSimulationOptions = {
	readonly engine: EngineProfile;
	readonly ranks: number;
	readonly seed: number;
	readonly pauseObjectiveMs: number;
	readonly durationMs: number;
	/** Requests that arrive for each rank and second, by time. */
	readonly arrivals: (nowMs: number) => number;
	/** Time between moves of the demand. */
	readonly moveIntervalMs?: number;
	/** Slowdown of the first rank, by time. */
	readonly pace?: (nowMs: number) => number;
	/** Writers that a rank may have on average. */
	readonly limit: (figures: SimulatedFigures, nowMs: number) => number;
};

/** What entries and the coordinator know of the group. */
export type SimulatedFigures = {readonly activePerRank: number; readonly pace: number; readonly skew: number; readonly passTimes: readonly PassTime[]};

/** How the streams ended. */
export type Streams = {onTime: number; late: number; refused: number};

type Stream = {readonly rank: number; readonly contextTokens: number; promptTokens: number; eventsLeft: number; isLate: boolean};

/** Times from a move of the demand until its copies begin, and until the new map is in use. */
const noticedMs = 400;
const adaptedMs = 1100;
const copySlowdown = 1.15;

/** Age of the figures when they arrive, span and error of a measured pass, and jitter of the way to the caller. */
const figuresDelayMs = 250;
const spanMs = 700;
const measurementError = 0.07;
const callerJitterMs = 4;

/** Time for which the coordinator remembers a skew. */
const skewMemoryMs = 3000;
const reporters = 6;

/** Runs a simulation. */
export function simulateGroup(options: GroupSimulationOptions): Streams {
	return new GroupSimulation(options).run();
}

class GroupSimulation {
	readonly #options: GroupSimulationOptions;
	readonly #random: Random;
	readonly #result: Streams = {onTime: 0, late: 0, refused: 0};
	#streams: Stream[] = [];
	#demand: number[][] = [];
	/** Part of each set's tokens that each rank computes. */
	#parts: number[][] = [];
	#moved: {readonly atMs: number; isAdapted: boolean} = {atMs: 0, isAdapted: true};
	#passes: Array<{readonly endMs: number; readonly passMs: number}> = [];
	#actives: Array<{readonly atMs: number; readonly perRank: number}> = [];
	#skews: Array<{readonly atMs: number; readonly skew: number}> = [];
	#map: number[][][] = [];

	constructor(options: GroupSimulationOptions) {
		this.#options = options;
		this.#random = seededRandom(options.seed);
		this.#move();
		this.#adapt();
	}

	run(): Streams {
		const {durationMs, moveIntervalMs = Number.POSITIVE_INFINITY, ranks} = this.#options;
		for (let nowMs = 0; nowMs < durationMs;) {
			if (nowMs - this.#moved.atMs >= moveIntervalMs) {
				this.#move();
				this.#moved = {atMs: nowMs, isAdapted: false};
			}

			if (!this.#moved.isAdapted && nowMs - this.#moved.atMs >= adaptedMs) {
				this.#moved.isAdapted = true;
				this.#adapt();
			}

			const passMs = this.#passMs(nowMs);
			this.#runPass(passMs);
			nowMs += passMs;
			this.#passes = [...this.#passes.filter(({endMs}) => nowMs - endMs < spanMs + (2 * figuresDelayMs)), {endMs: nowMs, passMs}];
			this.#actives = [...this.#actives.slice(-20), {atMs: nowMs, perRank: this.#streams.length / ranks}];
			this.#skews = [...this.#skews.filter(({atMs}) => nowMs - atMs < skewMemoryMs), {atMs: nowMs, skew: this.#skew()}];
			this.#arrive(nowMs, passMs);
		}

		return this.#result;
	}

	#move(): void {
		const {expertSets, expertsPerSet} = this.#options.engine;
		this.#demand = Array.from({length: expertSets}, () => {
			const weights = Array.from({length: expertsPerSet}, () => Math.exp(0.9 * normal(this.#random)));
			const sum = weights.reduce((total, weight) => total + weight, 0);
			return weights.map(weight => weight / sum);
		});
		this.#updateParts();
	}

	#adapt(): void {
		this.#map = this.#demand.map(demand => evenMap(demand, this.#options.ranks, this.#options.engine.placesPerRank));
		this.#updateParts();
	}

	#updateParts(): void {
		this.#parts = this.#map.map((holders, set) => {
			const parts = Array.from({length: this.#options.ranks}, () => 0);
			for (const [expert, ranks] of holders.entries()) {
				for (const rank of ranks) {
					parts[rank] += this.#demand[set][expert] / ranks.length;
				}
			}

			return parts;
		});
	}

	#skew(): number {
		const {ranks} = this.#options;
		return this.#parts.reduce((sum, parts) => sum + (Math.max(...parts) * ranks), 0) / this.#parts.length;
	}

	#passMs(nowMs: number): number {
		const {engine: {stepsPerPass, stepMs, perSequenceMs, contextMsPerThousandTokens, promptTokensPerSecond, expertShare}, ranks, pace} = this.#options;
		const work = Array.from({length: ranks}, () => 0);
		for (const {rank, promptTokens, contextTokens} of this.#streams) {
			work[rank] += promptTokens > 0 ? promptTokens / promptTokensPerSecond * 1000 : stepsPerPass * (perSequenceMs + (contextMsPerThousandTokens * contextTokens / 1000));
		}

		const paceOf = (rank: number): number => rank === 0 ? pace?.(nowMs) ?? 1 : 1;
		const own = Math.max(...work.map((ms, rank) => paceOf(rank) * ((stepsPerPass * stepMs) + (ms * (1 - expertShare)))));
		const shared = work.reduce((sum, ms) => sum + ms, 0) * expertShare / this.#parts.length;
		const experts = this.#parts.reduce((sum, parts) => sum + (shared * Math.max(...parts.map((part, rank) => part * paceOf(rank)))), 0);
		const isCopying = !this.#moved.isAdapted && nowMs - this.#moved.atMs >= noticedMs;
		return (own + experts) * (isCopying ? copySlowdown : 1);
	}

	#runPass(passMs: number): void {
		for (const stream of this.#streams) {
			if (stream.promptTokens > 0) {
				stream.promptTokens = 0;
			} else {
				stream.eventsLeft--;
				stream.isLate ||= passMs + (this.#random() * callerJitterMs) > this.#options.pauseObjectiveMs;
			}
		}

		for (const {isLate} of this.#streams.filter(({eventsLeft}) => eventsLeft <= 0)) {
			this.#result[isLate ? 'late' : 'onTime']++;
		}

		this.#streams = this.#streams.filter(({eventsLeft}) => eventsLeft > 0);
	}

	#arrive(nowMs: number, passMs: number): void {
		const {engine: {slots, usualPromptTokens, usualAnswerTokens, stepsPerPass}, ranks, arrivals, limit} = this.#options;
		const places = Math.floor(ranks * Math.min(slots, limit(this.#figures(nowMs), nowMs))) - this.#streams.length;
		const count = poisson(arrivals(nowMs) * ranks * passMs / 1000, this.#random);
		const busy = Array.from({length: ranks}, () => 0);
		for (const {rank} of this.#streams) {
			busy[rank]++;
		}

		for (let arrival = 0; arrival < count; arrival++) {
			if (arrival >= places) {
				this.#result.refused++;
				continue;
			}

			const rank = busy.indexOf(Math.min(...busy));
			busy[rank]++;
			const promptTokens = Math.max(20, usualPromptTokens * Math.exp((0.6 * normal(this.#random)) - 0.18));
			const tokens = -Math.log(1 - this.#random()) * usualAnswerTokens;
			this.#streams.push({
				rank, promptTokens, contextTokens: promptTokens + tokens, eventsLeft: Math.max(1, Math.ceil(tokens / stepsPerPass)), isLate: false,
			});
		}
	}

	#figures(nowMs: number): SimulatedFigures {
		const seenAtMs = nowMs - figuresDelayMs;
		const span = this.#passes.filter(({endMs}) => endMs <= seenAtMs && endMs > seenAtMs - spanMs);
		const measuredMs = span.reduce((sum, {passMs}) => sum + passMs, 0) / span.length;
		return {
			activePerRank: this.#actives.findLast(({atMs}) => atMs <= seenAtMs)?.perRank ?? 0,
			pace: this.#options.pace?.(Math.max(0, seenAtMs)) ?? 1,
			skew: Math.max(1, ...this.#skews.filter(({atMs}) => atMs <= seenAtMs - noticedMs).map(({skew}) => skew)),
			passTimes: span.length < 3
				? []
				: Array.from({length: reporters}, (_, index) => ({
					passMs: measuredMs * (1 + (((2 * this.#random()) - 1) * measurementError * 2)), ageMs: 100 * index,
				})),
		};
	}
}

/** Ranks that hold each expert, if the demand is known: additional replicas for the experts in most demand, and the heaviest replicas first to the least loaded rank. */
function evenMap(demand: readonly number[], ranks: number, placesPerRank: number): number[][] {
	const replicas = demand.map(() => 1);
	for (let spare = (ranks * placesPerRank) - demand.length; spare > 0; spare--) {
		const perReplica = demand.map((share, expert) => replicas[expert] < ranks ? share / replicas[expert] : 0);
		replicas[perReplica.indexOf(Math.max(...perReplica))]++;
	}

	const loads = Array.from({length: ranks}, () => 0);
	const counts = Array.from({length: ranks}, () => 0);
	const holders: number[][] = demand.map(() => []);
	const order = demand.map((share, expert) => ({expert, load: share / replicas[expert]})).toSorted((left, right) => right.load - left.load);
	for (const {expert, load} of order.flatMap(item => Array.from({length: replicas[item.expert]}, () => item))) {
		const free = loads.map((sum, rank) => counts[rank] < placesPerRank && !holders[expert].includes(rank) ? sum : Number.POSITIVE_INFINITY);
		const rank = free.indexOf(Math.min(...free));
		if (Number.isFinite(free[rank])) {
			holders[expert].push(rank);
			loads[rank] += load;
			counts[rank]++;
		}
	}

	return holders;
}

function normal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function poisson(mean: number, random: Random): number {
	let count = 0;
	for (let left = Math.exp(-mean), product = random(); product > left; product *= random()) {
		count++;
	}

	return count;
}
