/**
A stand-in for a group of ranks in lock-step, at the engines' published interface: orders may get no answer and be carried
out late or never, ranks may be asked by several coordinators, and a pass that begins with mixed maps is noted.
*/

import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';
import {FencedDoor} from './fenced-door.js';

type Lists = ReadonlyArray<readonly number[]>;

type RankState = {
	map: {version: number; experts: Lists};
	prepared?: {version: number; experts: Lists; readyAtMs: number};
	newestVersion: number;
	armed?: {version: number; step: number};
	heldStep?: number;
	counts: number[];
};

/** What becomes of an order on its way. */
export type OrderFate = 'prompt' | 'answerLost' | 'late' | 'lost';

/** Options of a group. */
export type LockstepGroupOptions = {
	readonly ranks: number;
	readonly lists: readonly Lists[];
	readonly copyMs: number;
	readonly passMs: number;
	readonly lateMs: () => number;
	readonly fateOf: () => OrderFate;
	readonly nowMs: () => number;
	/** Requests that each rank writes. */
	readonly active?: number;
};

/** A group whose passes are driven by `advance`. */
export class LockstepGroup {
	/** The ranks as their agents let others reach them. */
	readonly engines: EngineClient[];
	/** The engines themselves, which check no fencing numbers. */
	readonly bareEngines: EngineClient[];
	/** Passes that began with mixed maps. */
	mixedPasses = 0;
	step = 0;
	epoch = 1;
	isBusy = true;
	readonly #options: LockstepGroupOptions;
	readonly #states: RankState[];
	#late: Array<{readonly rank: number; readonly order: EngineOrder; readonly atMs: number}> = [];
	#nextPassMs = 0;

	constructor(options: LockstepGroupOptions) {
		this.#options = options;
		this.#states = Array.from({length: options.ranks}, (_, rank) => ({
			map: {version: 0, experts: options.lists.map(ranks => ranks[rank])}, newestVersion: 0, counts: [],
		}));
		this.bareEngines = this.#states.map((_, rank) => new GroupEngine(this, rank));
		this.engines = this.bareEngines.map(engine => new FencedDoor(engine));
	}

	/** Versions in use, by rank. */
	get versions(): number[] {
		return this.#states.map(({map}) => map.version);
	}

	/** Whether some rank holds the group. */
	get isHeld(): boolean {
		return this.#states.some(({heldStep}) => heldStep === this.step + 1);
	}

	/** Carries out late orders, and begins a pass if one is due. */
	advance(): void {
		const nowMs = this.#options.nowMs();
		const due = this.#late.filter(({atMs}) => atMs <= nowMs);
		this.#late = this.#late.filter(({atMs}) => atMs > nowMs);
		for (const {rank, order} of due) {
			this.#carryOut(rank, order);
		}

		if (this.isBusy && nowMs >= this.#nextPassMs && !this.isHeld) {
			this.#beginPass(nowMs);
		}
	}

	/** Restarts a rank: the group forms anew, with its first map and nothing prepared, armed or held. */
	restart(): void {
		this.epoch++;
		for (const [rank, state] of this.#states.entries()) {
			Object.assign(state, {
				map: {version: 0, experts: this.#options.lists.map(ranks => ranks[rank])}, prepared: undefined, armed: undefined, heldStep: undefined,
			});
		}
	}

	/** Sets what a rank's requests chose so far. */
	setCounts(rank: number, counts: number[]): void {
		this.#states[rank].counts = counts;
	}

	state(rank: number): EngineState {
		const state = this.#states[rank];
		const {prepared} = state;
		return {
			bornMs: 1,
			active: this.#options.active ?? 1,
			queued: 0,
			memoryShare: 0,
			pace: 1,
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
		return {step: this.step, epoch: this.epoch, counts: this.#states[rank].counts};
	}

	experts(rank: number): HeldExperts {
		return this.#states[rank].map;
	}

	order(rank: number, order: EngineOrder): OrderOutcome {
		const fate = this.#options.fateOf();
		if (fate === 'late') {
			this.#late.push({rank, order, atMs: this.#options.nowMs() + this.#options.lateMs()});
			return 'unknown';
		}

		if (fate === 'lost') {
			return 'unknown';
		}

		const outcome = this.#carryOut(rank, order);
		return fate === 'answerLost' ? 'unknown' : outcome;
	}

	#beginPass(nowMs: number): void {
		this.step++;
		this.#nextPassMs = nowMs + this.#options.passMs;
		for (const state of this.#states) {
			if (state.armed?.step === this.step) {
				state.map = {version: state.armed.version, experts: state.prepared!.experts};
				state.armed = undefined;
				state.prepared = undefined;
			}
		}

		const [first] = this.#states;
		if (this.#states.some(({map}) => map.version !== first.map.version)) {
			this.mixedPasses++;
		}
	}

	#carryOut(rank: number, order: EngineOrder): OrderOutcome {
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

class GroupEngine extends EngineClient {
	readonly #group: LockstepGroup;
	readonly #rank: number;

	constructor(group: LockstepGroup, rank: number) {
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
		// Nothing is open.
	}
}
