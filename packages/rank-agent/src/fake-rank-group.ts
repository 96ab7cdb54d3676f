/**
A fake group of ranks that run in lockstep, for tests, with the published interface of the engines. Orders may go unanswered
and be applied late or never, several coordinators may send orders, and steps that begin with mixed maps are counted.
*/

import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {FencedEngineClient} from './fenced-engine-client.js';

type Lists = ReadonlyArray<readonly number[]>;

type RankState = {
	map: {version: number; experts: Lists};
	prepared?: {version: number; experts: Lists; readyAtMs: number};
	newestVersion: number;
	armed?: {version: number; step: number};
	heldStep?: number;
	pace: number;
	counts: number[];
};

/** How an order is delivered: `late` and `lost` orders get no answer, and an `answerLost` order is applied without one. */
export type OrderDelivery = 'prompt' | 'answerLost' | 'late' | 'lost';

/** Options of a fake group. */
export type FakeRankGroupOptions = {
	readonly ranks: number;
	readonly lists: readonly Lists[];
	readonly copyMs: number;
	readonly stepMs: number;
	readonly orderDelayMs: (order: EngineOrder) => number;
	readonly nextDelivery: (rank: number, order: EngineOrder) => OrderDelivery;
	readonly nowMs: () => number;
	/** Requests that each rank processes. */
	readonly active?: number;
};

/** A group whose steps are driven by `advance`. */
export class FakeRankGroup {
	/** The engines as reached through their agents, which check fencing numbers. */
	readonly engines: EngineClient[];
	/** The engines as reached directly, without a check of fencing numbers. */
	readonly unfencedEngines: EngineClient[];
	/** Steps that began with mixed maps. */
	mixedSteps = 0;
	step = 0;
	epoch = 1;
	isBusy = true;
	readonly #options: FakeRankGroupOptions;
	readonly #states: RankState[];
	#late: Array<{readonly rank: number; readonly order: EngineOrder; readonly atMs: number}> = [];
	#nextStepAtMs = 0;

	constructor(options: FakeRankGroupOptions) {
		this.#options = options;
		this.#states = Array.from({length: options.ranks}, (_, rank) => ({
			map: {version: 0, experts: options.lists.map(ranks => ranks[rank])}, newestVersion: 0, pace: 1, counts: [],
		}));
		this.unfencedEngines = this.#states.map((_, rank) => new FakeEngineClient(this, rank));
		this.engines = this.unfencedEngines.map(engine => new FencedEngineClient(engine));
	}

	/** Map versions in use, by rank. */
	get versions(): number[] {
		return this.#states.map(({map}) => map.version);
	}

	/** Whether all ranks use this version. */
	isAt(version: number): boolean {
		return this.#states.every(({map}) => map.version === version);
	}

	/** Whether a rank is held at the next step, which holds the whole group. */
	get isHeld(): boolean {
		return this.#states.some(({heldStep}) => heldStep === this.step + 1);
	}

	/** Applies late orders that are due, and begins a step if one is due. */
	advance(): void {
		const nowMs = this.#options.nowMs();
		const due = this.#late.filter(({atMs}) => atMs <= nowMs);
		this.#late = this.#late.filter(({atMs}) => atMs > nowMs);
		for (const {rank, order} of due) {
			this.#checkAndApply(rank, order);
		}

		if (this.isBusy && nowMs >= this.#nextStepAtMs && !this.isHeld) {
			this.#beginStep(nowMs);
		}
	}

	/** Simulates the restart of a rank: the group starts a new formation with its first map and nothing prepared, armed or held. */
	restart(): void {
		this.epoch++;
		for (const [rank, state] of this.#states.entries()) {
			Object.assign(state, {
				map: {version: 0, experts: this.#options.lists.map(ranks => ranks[rank])}, prepared: undefined, armed: undefined, heldStep: undefined,
			});
		}
	}

	/** Sets a rank's total selection counts. */
	setCounts(rank: number, counts: number[]): void {
		this.#states[rank].counts = counts;
	}

	/** Sets how much longer than published a rank takes. */
	setPace(rank: number, pace: number): void {
		this.#states[rank].pace = pace;
	}

	/** Paces of all ranks. */
	get paces(): number[] {
		return this.#states.map(({pace}) => pace);
	}

	/** Experts of the ranks in the maps in use, by set. */
	get lists(): number[][][] {
		return this.#options.lists.map((_, set) => this.#states.map(({map}) => [...map.experts[set]]));
	}

	state(rank: number): EngineState {
		const state = this.#states[rank];
		const {prepared} = state;
		return {
			bornMs: 1,
			active: this.#options.active ?? 1,
			queued: 0,
			memoryShare: 0,
			pace: state.pace,
			step: this.step,
			rankPlace: {
				group: 'g', epoch: this.epoch, rank, size: this.#states.length, isOpen: true,
			},
			mapVersion: state.map.version,
			preparedVersion: prepared && prepared.readyAtMs <= this.#options.nowMs() ? prepared.version : undefined,
			armed: state.armed,
			heldStep: state.heldStep,
		};
	}

	counts(rank: number): ExpertCounts {
		return {
			step: this.step, epoch: this.epoch, counts: this.#states[rank].counts, pace: this.#states[rank].pace,
		};
	}

	experts(rank: number): HeldExperts {
		return this.#states[rank].map;
	}

	order(rank: number, order: EngineOrder): OrderOutcome {
		const delivery = this.#options.nextDelivery(rank, order);
		if (delivery === 'late') {
			this.#late.push({rank, order, atMs: this.#options.nowMs() + this.#options.orderDelayMs(order)});
			return 'unknown';
		}

		if (delivery === 'lost') {
			return 'unknown';
		}

		const outcome = this.#checkAndApply(rank, order);
		return delivery === 'answerLost' ? 'unknown' : outcome;
	}

	#beginStep(nowMs: number): void {
		this.step++;
		this.#nextStepAtMs = nowMs + this.#options.stepMs;
		for (const state of this.#states) {
			if (state.armed?.step === this.step) {
				state.map = {version: state.armed.version, experts: state.prepared!.experts};
				state.armed = undefined;
				state.prepared = undefined;
			}
		}

		const [first] = this.#states;
		if (this.#states.some(({map}) => map.version !== first.map.version)) {
			this.mixedSteps++;
		}
	}

	#checkAndApply(rank: number, order: EngineOrder): OrderOutcome {
		const state = this.#states[rank];
		if (order.epoch !== this.epoch) {
			return 'refused';
		}

		const outcome = this.#apply(rank, state, order);
		if (outcome !== 'begun') {
			return outcome;
		}

		return order.kind === 'prepare' ? 'begun' : 'done';
	}

	#apply(rank: number, state: RankState, order: EngineOrder): OrderOutcome {
		switch (order.kind) {
			case 'fence': {
				return 'refused';
			}

			case 'prepare': {
				if (order.version <= state.newestVersion || state.armed) {
					return 'refused';
				}

				state.newestVersion = order.version;
				state.prepared = {version: order.version, experts: order.map.map(ranks => ranks[rank]), readyAtMs: this.#options.nowMs() + this.#options.copyMs};
				return 'begun';
			}

			case 'arm': {
				if (state.armed?.version === order.version && state.armed.step === order.step) {
					return 'done';
				}

				const isReady = state.prepared?.version === order.version && state.prepared.readyAtMs <= this.#options.nowMs();
				if (!isReady || state.armed !== undefined || order.step <= this.step) {
					return 'refused';
				}

				state.armed = {version: order.version, step: order.step};
				return 'begun';
			}

			case 'disarm': {
				if (state.armed?.version !== order.version) {
					return state.map.version === order.version ? 'refused' : 'done';
				}

				state.armed = undefined;
				return 'begun';
			}

			case 'hold': {
				if (state.heldStep === order.step) {
					return 'done';
				}

				if (state.heldStep !== undefined || order.step <= this.step) {
					return 'refused';
				}

				state.heldStep = order.step;
				return 'begun';
			}

			case 'go': {
				if (state.heldStep !== order.step) {
					return 'refused';
				}

				state.heldStep = undefined;
				return 'begun';
			}
		}
	}
}

class FakeEngineClient extends EngineClient {
	readonly #group: FakeRankGroup;
	readonly #rank: number;

	constructor(group: FakeRankGroup, rank: number) {
		super();
		this.#group = group;
		this.#rank = rank;
	}

	async state(): Promise<EngineState> {
		return this.#group.state(this.#rank);
	}

	async counts(): Promise<ExpertCounts> {
		return this.#group.counts(this.#rank);
	}

	async experts(): Promise<HeldExperts> {
		return this.#group.experts(this.#rank);
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		return this.#group.order(this.#rank, order);
	}

	close(): void {
		// There is nothing to close.
	}
}
