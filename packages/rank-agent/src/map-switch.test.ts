import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {FakeRankGroup, type OrderDelivery} from './fake-rank-group.js';
import {MapSwitch} from './map-switch.js';
import {MapVersionAllocator} from './map-version-allocator.js';

const rankCount = 4;
const initialMap = [[[0, 4], [1, 5], [2, 6], [3, 7]]];
const nextMap = [[[0, 5], [1, 4], [2, 7], [3, 6]]];

type TestGroup = {readonly group: FakeRankGroup; readonly timer: NodeJS.Timeout};

const timers: NodeJS.Timeout[] = [];

/** Of ten orders, two are applied late, one loses its answer, and one is lost. */
function deliveryOf(draw: number): OrderDelivery {
	const deliveries: OrderDelivery[] = ['late', 'late', 'answerLost', 'lost'];
	return deliveries[Math.floor(draw * 10)] ?? 'prompt';
}

/** Starts a group that advances in real time on a timer. */
function startGroup(nextDelivery: () => OrderDelivery, random: () => number): TestGroup {
	const group = new FakeRankGroup({
		ranks: rankCount, lists: initialMap, copyMs: 10, stepMs: 5, nextDelivery, orderDelayMs: () => 20 + (random() * 300), nowMs: () => performance.now(),
	});
	const timer = setInterval(() => {
		group.advance();
	}, 1);
	timers.push(timer);
	return {group, timer};
}

function newSwitch(group: FakeRankGroup, heldFencing?: number): MapSwitch {
	return new MapSwitch({
		ranks: {group: 'g', epoch: group.epoch, engines: group.engines}, holdingRank: 1, nowMs: () => performance.now(), heldFencing,
	});
}

/** Recovers a group that was left held, as the agent of the holding rank does. */
async function recoverIfHeld(group: FakeRankGroup, version: number): Promise<void> {
	let next = version;
	const {heldStep} = group.state(1);
	if (heldStep !== undefined) {
		await newSwitch(group).recover(() => next++);
	}
}

/** Delays some orders, as if the coordinator's VM were paused. */
class SlowEngineClient extends EngineClient {
	readonly #engine: EngineClient;
	readonly #delayMs: () => number;

	constructor(engine: EngineClient, delayMs: () => number) {
		super();
		this.#engine = engine;
		this.#delayMs = delayMs;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#engine.state();
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#engine.counts();
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#engine.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		await sleep(this.#delayMs());
		return this.#engine.order(order);
	}

	close(): void {
		this.#engine.close();
	}
}

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

describe('MapSwitch', () => {
	describe('when all orders are answered', () => {
		it('switches all ranks at the same step and leaves the group released', async () => {
			const {group} = startGroup(() => 'prompt', Math.random);
			expect(await newSwitch(group).run(10, nextMap)).toEqual('switched');
			await waitUntil(() => group.isAt(10), {timeoutMs: 2000});
			await sleep(80);
			expect(group.versions).toEqual([10, 10, 10, 10]);
			expect(group.mixedSteps).toEqual(0);
			expect(group.isHeld).toEqual(false);
		});
	});

	describe('with the fencing number of the last switch', () => {
		it('takes no new one, and switches all ranks at the same step', async () => {
			const {group} = startGroup(() => 'prompt', Math.random);
			const first = newSwitch(group);
			expect(await first.run(10, nextMap)).toEqual('switched');
			await waitUntil(() => group.isAt(10), {timeoutMs: 2000});
			await sleep(40);
			const second = newSwitch(group, first.fencing);
			expect(await second.run(20, initialMap)).toEqual('switched');
			expect([second.fencing, Object.hasOwn(second.phaseTimes, 'fencingMs')]).toEqual([first.fencing, false]);
			await waitUntil(() => group.isAt(20), {timeoutMs: 2000});
			await sleep(80);
			expect(group.versions).toEqual([20, 20, 20, 20]);
			expect(group.mixedSteps).toEqual(0);
		});

		it('does nothing once another coordinator has taken a higher one', async () => {
			const {group} = startGroup(() => 'prompt', Math.random);
			const first = newSwitch(group);
			await first.run(10, nextMap);
			await waitUntil(() => group.isAt(10), {timeoutMs: 2000});
			const other = newSwitch(group);
			expect(await other.run(20, initialMap)).toEqual('switched');
			await waitUntil(() => group.isAt(20), {timeoutMs: 2000});
			await sleep(40);
			expect(await newSwitch(group, first.fencing).run(30, nextMap)).toEqual('notPrepared');
			await sleep(40);
			expect(group.versions).toEqual([20, 20, 20, 20]);
			expect(group.isHeld).toEqual(false);
		});

		for (let seed = 1; seed <= 12; seed++) {
			it(`never mixes maps while another coordinator takes over and orders come late: seed ${seed}`, async () => {
				const random = seededRandom(seed * 15_485_863);
				const {group, timer} = startGroup(() => deliveryOf(random()), random);
				let heldFencing: number | undefined;
				for (let version = 10; version < 14; version++) {
					const mapSwitch = newSwitch(group, heldFencing);
					const outcome = await mapSwitch.run(version * 10, version % 2 === 0 ? nextMap : initialMap);
					heldFencing = outcome === 'switched' ? mapSwitch.fencing : undefined;
					await recoverIfHeld(group, (version * 10) + 5);
				}

				for (let look = 0; look < 20; look++) {
					await sleep(20);
					await recoverIfHeld(group, 1000 + (look * 10));
				}

				clearInterval(timer);
				expect(group.mixedSteps).toEqual(0);
				expect(group.isHeld).toEqual(false);
			});
		}
	});

	describe('when orders are lost, unanswered or applied late', () => {
		for (let seed = 1; seed <= 24; seed++) {
			it(`never mixes maps in a step, and leaves the group released: seed ${seed}`, async () => {
				const random = seededRandom(seed * 7919);
				const {group, timer} = startGroup(() => deliveryOf(random()), random);
				group.isBusy = seed % 3 !== 0;
				for (let version = 10; version < 13; version++) {
					await newSwitch(group).run(version * 10, nextMap);
					await recoverIfHeld(group, (version * 10) + 5);
				}

				group.isBusy = true;
				for (let look = 0; look < 20; look++) {
					await sleep(20);
					await recoverIfHeld(group, 1000 + (look * 10));
				}

				clearInterval(timer);
				expect(group.mixedSteps).toEqual(0);
				expect(group.isHeld).toEqual(false);
			});
		}
	});

	describe('when it is held from outside, and orders are lost, unanswered or applied late', () => {
		for (let seed = 1; seed <= 12; seed++) {
			it(`never mixes maps in a step, and leaves the group released: seed ${seed}`, async () => {
				const random = seededRandom(seed * 32_452_843);
				const {group, timer} = startGroup(() => deliveryOf(random()), random);
				for (let version = 10; version < 14; version++) {
					const ranks = {
						group: 'g', epoch: group.epoch, engines: group.engines, holdEngine: group.unfencedEngines[1],
					};
					await new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(version * 10, version % 2 === 0 ? nextMap : initialMap);
					await recoverIfHeld(group, (version * 10) + 5);
				}

				for (let look = 0; look < 20; look++) {
					await sleep(20);
					await recoverIfHeld(group, 1000 + (look * 10));
				}

				clearInterval(timer);
				expect([group.mixedSteps, group.isHeld]).toEqual([0, false]);
			});
		}
	});

	describe('when the coordinator is paused and another one takes over', () => {
		for (let seed = 1; seed <= 12; seed++) {
			it(`never mixes maps in a step, and leaves the group released: seed ${seed}`, async () => {
				const random = seededRandom(seed * 104_729);
				const {group, timer} = startGroup(() => random() < 0.1 ? 'late' : 'prompt', random);
				const slow = group.engines.map(engine => new SlowEngineClient(engine, () => random() < 0.15 ? 150 : 0));
				const running = new MapSwitch({ranks: {group: 'g', epoch: 1, engines: slow}, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap);
				const versions = new MapVersionAllocator(() => 0);
				const nextVersion = () => versions.next() + 100;
				for (let look = 0; look < 60; look++) {
					await sleep(15);
					const {heldStep} = group.state(1);
					if (heldStep !== undefined) {
						await new MapSwitch({ranks: {group: 'g', epoch: 1, engines: group.engines}, holdingRank: 1, nowMs: () => performance.now()}).recover(nextVersion);
					}

					group.isBusy = look % 4 !== 3;
				}

				await running;
				group.isBusy = true;
				await sleep(350);
				clearInterval(timer);
				expect(group.mixedSteps).toEqual(0);
				expect(group.isHeld).toEqual(false);
			});
		}
	});

	describe('when a rank restarts during the switch', () => {
		it('ends the switch, and the new formation runs on its first map', async () => {
			const {group} = startGroup(() => 'prompt', Math.random);
			const running = newSwitch(group).run(10, nextMap);
			setTimeout(() => {
				group.restart();
			}, 6);
			const outcome = await running;
			expect(outcome === 'groupChanged' || outcome === 'notPrepared').toEqual(true);
			expect(group.mixedSteps).toEqual(0);
			expect(group.isHeld).toEqual(false);
		});
	});
});

describe('a group that a coordinator left held', () => {
	it('is released without mixing maps, and late orders of that coordinator are refused', async () => {
		const {group} = startGroup(() => 'prompt', Math.random);
		const [, holding, other] = group.engines;
		const {step} = group.state(0);
		const under = {fencing: 1, epoch: 1};
		await holding.order({kind: 'hold', step: step + 3, ...under});
		await other.order({
			kind: 'prepare', version: 5, map: nextMap, ...under,
		});
		await sleep(30);
		await other.order({
			kind: 'arm', version: 5, step: step + 3, ...under,
		});
		expect(await newSwitch(group).recover(() => 6)).toEqual('aborted');
		expect(await other.order({
			kind: 'arm', version: 5, step: step + 100, ...under,
		})).toEqual('refused');
		await sleep(60);
		expect(group.isHeld).toEqual(false);
		expect(group.mixedSteps).toEqual(0);
		expect(group.versions).toEqual([0, 0, 0, 0]);
	});
});
