import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';
import {LockstepGroup, type OrderFate} from './lockstep-group.js';
import {MapSwitch} from './map-switch.js';
import {MapVersions} from './map-versions.js';

const rankCount = 4;
const lists = [[[0, 4], [1, 5], [2, 6], [3, 7]]];
const nextMap = [[[0, 5], [1, 4], [2, 7], [3, 6]]];

type Bed = {readonly group: LockstepGroup; readonly timer: NodeJS.Timeout};

const timers: NodeJS.Timeout[] = [];

/** Two orders in ten come late, one loses its answer, one is lost. */
function fateOf(draw: number): OrderFate {
	const fates: OrderFate[] = ['late', 'late', 'answerLost', 'lost'];
	return fates[Math.floor(draw * 10)] ?? 'prompt';
}

/** A group whose passes and late orders go on by themselves, in real time. */
function groupWith(fateOf: () => OrderFate, random: () => number): Bed {
	const group = new LockstepGroup({
		ranks: rankCount, lists, copyMs: 10, passMs: 5, fateOf, lateMs: () => 20 + (random() * 300), nowMs: () => performance.now(),
	});
	const timer = setInterval(() => {
		group.advance();
	}, 1);
	timers.push(timer);
	return {group, timer};
}

function switchOf(group: LockstepGroup): MapSwitch {
	return new MapSwitch({ranks: {group: 'g', epoch: group.epoch, engines: group.engines}, holdingRank: 1, nowMs: () => performance.now()});
}

/** What the agent of the holding rank does with a group that was left held. */
async function releaseIfHeld(group: LockstepGroup, version: number): Promise<void> {
	let next = version;
	const {heldStep} = group.state(1);
	if (heldStep !== undefined) {
		await switchOf(group).recover(heldStep, () => next++);
	}
}

/** An engine that is reached late now and then, as from a VM that stands still. */
class SlowEngine extends EngineClient {
	readonly #inner: EngineClient;
	readonly #delayMs: () => number;

	constructor(inner: EngineClient, delayMs: () => number) {
		super();
		this.#inner = inner;
		this.#delayMs = delayMs;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#inner.state();
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#inner.counts();
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#inner.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		await sleep(this.#delayMs());
		return this.#inner.order(order);
	}

	close(): void {
		this.#inner.close();
	}
}

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

describe('MapSwitch', () => {
	describe('where all orders are answered', () => {
		it('switches all ranks with the same pass and leaves nothing held', async () => {
			const {group} = groupWith(() => 'prompt', Math.random);
			expect(await switchOf(group).run(10, nextMap)).toEqual('switched');
			await sleep(80);
			expect(group.versions).toEqual([10, 10, 10, 10]);
			expect(group.mixedPasses).toEqual(0);
			expect(group.isHeld).toEqual(false);
		});
	});

	describe('where orders are lost, unanswered or carried out late', () => {
		for (let seed = 1; seed <= 24; seed++) {
			it(`never mixes maps in a pass, and leaves no group held: seed ${seed}`, async () => {
				const random = seededRandom(seed * 7919);
				const {group, timer} = groupWith(() => fateOf(random()), random);
				group.isBusy = seed % 3 !== 0;
				for (let version = 10; version < 13; version++) {
					await switchOf(group).run(version * 10, nextMap);
					await releaseIfHeld(group, (version * 10) + 5);
				}

				group.isBusy = true;
				for (let look = 0; look < 20; look++) {
					await sleep(20);
					await releaseIfHeld(group, 1000 + (look * 10));
				}

				clearInterval(timer);
				expect(group.mixedPasses).toEqual(0);
				expect(group.isHeld).toEqual(false);
			});
		}
	});

	describe('where the coordinator stands still and another takes over', () => {
		for (let seed = 1; seed <= 12; seed++) {
			it(`never mixes maps in a pass, and leaves no group held: seed ${seed}`, async () => {
				const random = seededRandom(seed * 104_729);
				const {group, timer} = groupWith(() => random() < 0.1 ? 'late' : 'prompt', random);
				const slow = group.engines.map(engine => new SlowEngine(engine, () => random() < 0.15 ? 150 : 0));
				const running = new MapSwitch({ranks: {group: 'g', epoch: 1, engines: slow}, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap);
				const versions = new MapVersions(() => 0);
				const nextVersion = () => versions.next() + 100;
				for (let look = 0; look < 60; look++) {
					await sleep(15);
					const {heldStep} = group.state(1);
					if (heldStep !== undefined) {
						await new MapSwitch({ranks: {group: 'g', epoch: 1, engines: group.engines}, holdingRank: 1, nowMs: () => performance.now()}).recover(heldStep, nextVersion);
					}

					group.isBusy = look % 4 !== 3;
				}

				await running;
				group.isBusy = true;
				await sleep(350);
				clearInterval(timer);
				expect(group.mixedPasses).toEqual(0);
				expect(group.isHeld).toEqual(false);
			});
		}
	});

	describe('where a rank restarts meanwhile', () => {
		it('gives up, and the new formation works from its first map', async () => {
			const {group} = groupWith(() => 'prompt', Math.random);
			const running = switchOf(group).run(10, nextMap);
			setTimeout(() => {
				group.restart();
			}, 6);
			const outcome = await running;
			expect(outcome === 'groupChanged' || outcome === 'notPrepared').toEqual(true);
			expect(group.mixedPasses).toEqual(0);
			expect(group.isHeld).toEqual(false);
		});
	});
});

describe('a group that a coordinator left held', () => {
	it('is released without mixing maps, and its late orders do nothing any more', async () => {
		const {group} = groupWith(() => 'prompt', Math.random);
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
		expect(await switchOf(group).recover(step + 3, () => 6)).toEqual('aborted');
		expect(await other.order({
			kind: 'arm', version: 5, step: step + 100, ...under,
		})).toEqual('refused');
		await sleep(60);
		expect(group.isHeld).toEqual(false);
		expect(group.mixedPasses).toEqual(0);
		expect(group.versions).toEqual([0, 0, 0, 0]);
	});
});
