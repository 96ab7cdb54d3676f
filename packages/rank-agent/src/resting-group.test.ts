/**
Random lives of a group in virtual time: it rests and works in turn, half of the orders get no answer and are applied 2 to 12 s later, and its coordinator and the agent
of its holding rank are restarted at any moment, without memory.
*/

import {describe, it} from 'node:test';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {FakeRankGroup, type OrderDelivery} from './fake-rank-group.js';
import {FencedEngineClient} from './fenced-engine-client.js';
import {HoldSteps} from './hold-steps.js';
import {MapSwitch} from './map-switch.js';
import {VirtualTime} from './simulated-links.js';

const maps = [[[[0, 4], [1, 5], [2, 6], [3, 7]]], [[[0, 5], [1, 4], [2, 7], [3, 6]]]];
const rankCount = 4;
const holdingRank = 1;
const stepMs = 40;
const answerMs = 2;
const orderTimeoutMs = 120;
const roundIntervalMs = 200;
const abandonedAfterMs = 600;
const livesMs = 240_000;

/** Lateness of orders as the platform has it, and the time after which none is on the way. */
const minLateMs = 2000;
const maxLateMs = 12_000;

/** An engine as one process reaches it: no longer once the process has ended, and with the waits of real calls. */
class ProcessEngineClient extends EngineClient {
	isEnded = false;
	readonly #time: VirtualTime;
	readonly #agent: () => EngineClient;

	constructor(time: VirtualTime, agent: () => EngineClient) {
		super();
		this.#time = time;
		this.#agent = agent;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#call(async agent => agent.state());
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#call(async agent => agent.counts());
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#call(async agent => agent.experts());
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		const outcome = await this.#call(async agent => agent.order(order)) ?? 'unknown';
		if (outcome === 'unknown') {
			await this.#time.sleep(orderTimeoutMs);
		}

		return outcome;
	}

	close(): void {
		// There is nothing to close.
	}

	async #call<Answer>(run: (agent: EngineClient) => Promise<Answer>): Promise<Answer | undefined> {
		await this.#time.sleep(answerMs);
		const answer = this.isEnded ? undefined : await run(this.#agent());
		await this.#time.sleep(answerMs);
		return this.isEnded ? undefined : answer;
	}
}

/** What is random about a life. */
type LifeOptions = {
	readonly seed: number;
	/** Share of the orders that get no answer and are applied late. */
	readonly lateShare: number;
	/** Shares of the rounds after which the coordinator and the agent of the holding rank are restarted. */
	readonly coordinatorRestarts: number;
	readonly holderRestarts: number;
};

/** The options of a switch of a group whose ranks are reached through these clients. */
function switchOptions(time: VirtualTime, group: FakeRankGroup, engines: readonly EngineClient[]) {
	const holdEngine = new ProcessEngineClient(time, () => group.unfencedEngines[holdingRank]);
	const ranks = {
		group: 'g', epoch: 1, engines, holdEngine,
	};
	return {
		ranks, holdingRank, nowMs: () => time.nowMs, sleep: async (durationMs: number) => time.sleep(durationMs), stepMs,
	};
}

class Life {
	readonly time = new VirtualTime();
	readonly group: FakeRankGroup;
	switchedCount = 0;
	readonly #options: LifeOptions;
	readonly #random: () => number;
	readonly #agents: FencedEngineClient[];
	#version = 0;
	#rankInTrouble = rankCount;
	#troubleEndsAtMs = 0;

	constructor(options: LifeOptions) {
		this.#options = options;
		this.#random = seededRandom(options.seed * 15_485_863);
		this.group = new FakeRankGroup({
			ranks: rankCount, lists: maps[0], copyMs: 60, stepMs, nextDelivery: rank => this.#delivery(rank), orderDelayMs: () => this.#between(minLateMs, maxLateMs), nowMs: () => this.time.nowMs,
		});
		this.#agents = this.group.unfencedEngines.map(engine => new FencedEngineClient(engine));
	}

	/** Plays the life, then a calm time in which all orders are answered and the group works. */
	async play(): Promise<void> {
		await this.time.run(Promise.all([this.#passes(), this.#traffic(), this.#coordinators(), this.#holders()]));
	}

	get #isOver(): boolean {
		return this.time.nowMs > livesMs + maxLateMs + 10_000;
	}

	#between(low: number, high: number): number {
		return low + (this.#random() * (high - low));
	}

	/** Late orders come at random, or one rank has none but late ones for a while. */
	#delivery(rank: number): OrderDelivery {
		if (this.time.nowMs > livesMs) {
			return 'prompt';
		}

		if (this.time.nowMs > this.#troubleEndsAtMs) {
			this.#rankInTrouble = Math.floor(this.#random() * rankCount * 2);
			this.#troubleEndsAtMs = this.time.nowMs + this.#between(500, 6000);
		}

		return rank === this.#rankInTrouble || this.#random() < this.#options.lateShare ? 'late' : 'prompt';
	}

	async #passes(): Promise<void> {
		while (!this.#isOver) {
			this.group.advance();
			await this.time.sleep(10);
		}
	}

	async #traffic(): Promise<void> {
		while (!this.#isOver) {
			this.group.isBusy = true;
			await this.time.sleep(this.#between(20, 600));
			this.group.isBusy = this.time.nowMs > livesMs;
			await this.time.sleep(this.#between(50, 3000));
		}
	}

	/** Versions come from a clock, so that any remainder may follow any other. */
	#nextVersion(): number {
		this.#version += 1 + Math.floor(this.#random() * 9);
		return this.#version;
	}

	#clients(): ProcessEngineClient[] {
		return this.#agents.map((_, rank) => new ProcessEngineClient(this.time, () => this.#agents[rank]));
	}

	/** Coordinators, one after the other. Each ends at any moment, in the middle of a switch, too, and the next one knows nothing of it. */
	async #coordinators(): Promise<void> {
		while (!this.#isOver) {
			const engines = this.#clients();
			const endsAtMs = this.time.nowMs + (this.#random() < this.#options.coordinatorRestarts ? this.#between(100, 4000) : livesMs);
			const running = this.#coordinate(engines, endsAtMs);
			await this.time.sleep(Math.min(endsAtMs, livesMs + maxLateMs + 10_000) - this.time.nowMs);
			for (const engine of engines) {
				engine.isEnded = true;
			}

			await running;
		}
	}

	async #coordinate(engines: ProcessEngineClient[], endsAtMs: number): Promise<void> {
		const holdSteps = new HoldSteps();
		let heldFencing: number | undefined;
		while (this.time.nowMs < endsAtMs && !this.#isOver) {
			await this.time.sleep(roundIntervalMs);
			const state = await engines[holdingRank].state();
			if (!state || state.armed !== undefined || state.heldStep !== undefined || !holdSteps.hasNext(state.step)) {
				continue;
			}

			const mapSwitch = new MapSwitch({
				...switchOptions(this.time, this.group, engines), holdSteps, heldFencing,
			});
			const outcome = await mapSwitch.run(this.#nextVersion(), maps[Math.floor(this.#random() * 2)]);
			heldFencing = outcome === 'switched' ? mapSwitch.fencing : undefined;
			this.switchedCount += outcome === 'switched' ? 1 : 0;
		}
	}

	/** The agent of the holding rank: releases the group where it was left held, and is restarted at any moment. */
	async #holders(): Promise<void> {
		let heldSinceMs: number | undefined;
		while (!this.#isOver) {
			await this.time.sleep(100);
			const {heldStep} = this.group.state(holdingRank);
			heldSinceMs = heldStep === undefined ? undefined : heldSinceMs ?? this.time.nowMs;
			if (heldSinceMs !== undefined && this.time.nowMs - heldSinceMs >= abandonedAfterMs) {
				await this.#release();
				heldSinceMs = undefined;
			}
		}
	}

	async #release(): Promise<void> {
		const engines = this.#clients();
		const released = new MapSwitch(switchOptions(this.time, this.group, engines)).recover(() => this.#nextVersion());
		if (this.#random() >= this.#options.holderRestarts) {
			await released;
			return;
		}

		await this.time.sleep(this.#between(10, 1500));
		for (const engine of engines) {
			engine.isEnded = true;
		}

		this.#agents[holdingRank] = new FencedEngineClient(this.group.unfencedEngines[holdingRank]);
	}
}

describe('A group that rests at times while orders are applied 2 to 12 s late', () => {
	const kinds = {
		'half of the orders late': {lateShare: 0.5, coordinatorRestarts: 0, holderRestarts: 0},
		'one coordinator': {lateShare: 0.25, coordinatorRestarts: 0, holderRestarts: 0},
		'restarted coordinators': {lateShare: 0.3, coordinatorRestarts: 0.8, holderRestarts: 0},
		'restarted coordinators and holding agents': {lateShare: 0.3, coordinatorRestarts: 0.8, holderRestarts: 0.5},
		'few late orders': {lateShare: 0.1, coordinatorRestarts: 0.3, holderRestarts: 0.3},
	};
	for (const [kind, shares] of Object.entries(kinds)) {
		for (let seed = 1; seed <= 16; seed++) {
			it(`begins no step with two maps and is released in the end: ${kind}, seed ${seed}`, async () => {
				const life = new Life({seed, ...shares});
				await life.play();
				expect([life.group.mixedSteps, life.group.isHeld]).toEqual([0, false]);
				expect(life.switchedCount).toBeGreaterThan(0);
			});
		}
	}
});

describe('A group that rests while it is held for the second time in a switch', () => {
	const lateRank = 3;
	const lateForMs = 5000;
	const lateMs = {
		fence: 0, prepare: 6000, arm: 2200, disarm: 6000, hold: 8000, go: 3000,
	};

	it('is not released by a late go of the first time', async () => {
		const time = new VirtualTime();
		let firstHoldAtMs: number | undefined;
		let isGoLate = false;
		const group = new FakeRankGroup({
			ranks: rankCount,
			lists: maps[0],
			copyMs: 60,
			stepMs,
			nowMs: () => time.nowMs,
			orderDelayMs: ({kind}) => lateMs[kind],
			nextDelivery(rank, {kind}) {
				if (firstHoldAtMs === undefined) {
					firstHoldAtMs = kind === 'hold' ? time.nowMs : undefined;
					return firstHoldAtMs === undefined ? 'prompt' : 'late';
				}

				const isFirstGo = kind === 'go' && !isGoLate;
				isGoLate ||= isFirstGo;
				return isFirstGo || (rank === lateRank && time.nowMs - firstHoldAtMs < lateForMs) ? 'late' : 'prompt';
			},
		});
		const engines = group.engines.map(engine => new ProcessEngineClient(time, () => engine));
		const holdSteps = new HoldSteps();
		const switching = new MapSwitch({...switchOptions(time, group, engines), holdSteps}).run(5, maps[1]);
		const passes = async (): Promise<void> => {
			for (const isBusyAgain of [false, true]) {
				const untilMs = isBusyAgain ? 12_000 : lateMs.go + 500;
				while (time.nowMs < untilMs) {
					group.isBusy = isBusyAgain || firstHoldAtMs === undefined;
					await time.sleep(10);
					group.advance();
				}
			}
		};

		const recovery = async (): Promise<void> => {
			if (await switching === 'left') {
				await time.sleep(abandonedAfterMs);
				await new MapSwitch(switchOptions(time, group, group.engines.map(engine => new ProcessEngineClient(time, () => engine)))).recover(() => 6);
			}
		};

		await time.run(Promise.all([passes(), recovery()]));
		expect([group.mixedSteps, isGoLate]).toEqual([0, true]);
		expect(new Set(group.versions).size).toEqual(1);
	});
});

describe('A group that rests while it is recovered', () => {
	const lateMs = {
		fence: 0, prepare: 3000, arm: 2200, disarm: 3000, hold: 0, go: 0,
	};

	it('is not released for a complete switch while an order to disarm a rank is late', async () => {
		const time = new VirtualTime();
		let isTrouble = false;
		const group = new FakeRankGroup({
			ranks: 2,
			lists: [[[0, 2], [1, 3]]],
			copyMs: 60,
			stepMs,
			nowMs: () => time.nowMs,
			orderDelayMs: ({kind}) => lateMs[kind],
			nextDelivery: (_, {kind}) => isTrouble && lateMs[kind] > 0 && time.nowMs < 2500 ? 'late' : 'prompt',
		});
		const engines = group.engines.map(engine => new ProcessEngineClient(time, () => engine));
		group.isBusy = false;
		const under = {fencing: 1, epoch: 1};
		const leaveHeld = async (): Promise<void> => {
			await Promise.all(engines.map(async engine => engine.order({
				kind: 'prepare', version: 5, map: [[[0, 3], [1, 2]]], ...under,
			})));
			await time.sleep(100);
			await engines[holdingRank].order({kind: 'hold', step: 3, ...under});
			await engines[0].order({
				kind: 'arm', version: 5, step: 3, ...under,
			});
			isTrouble = true;
			await engines[holdingRank].order({
				kind: 'arm', version: 5, step: 3, ...under,
			});
			await new MapSwitch(switchOptions(time, group, engines)).recover(() => 6);
		};

		const passes = async (): Promise<void> => {
			while (time.nowMs < 6000) {
				group.isBusy = time.nowMs > lateMs.disarm + 700;
				await time.sleep(10);
				group.advance();
			}
		};

		await time.run(Promise.all([leaveHeld(), passes()]));
		expect([group.mixedSteps, new Set(group.versions).size, group.isHeld]).toEqual([0, 1, false]);
	});
});
