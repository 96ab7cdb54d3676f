import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LinkCalls, RankReply, RankRequest} from '@rattanspring/fleet-link';
import {SuspendAwareClock} from '@rattanspring/types';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import type {EngineClient, EngineOrder} from './engine-client.js';
import {FakeRankGroup} from './fake-rank-group.js';
import {MapSwitch} from './map-switch.js';
import {RemoteEngineClient} from './remote-engine-client.js';

const initialMap = [[[0, 4], [1, 5], [2, 6], [3, 7]]];
const nextMap = [[[0, 5], [1, 4], [2, 7], [3, 6]]];

/** Longest time for which one unresponsive agent may stall its group. */
const maxHoldMs = 500;

const timers: NodeJS.Timeout[] = [];

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

/** Forwards requests to an engine like the agent on its VM, until it stops answering. */
class FakeAgent {
	isUnresponsive = false;
	readonly #engine: EngineClient;
	/** The kind of order after which the agent stops answering: the order is applied, but not answered. */
	readonly #silencingOrder: EngineOrder['kind'] | undefined;

	constructor(engine: EngineClient, silencingOrder?: EngineOrder['kind']) {
		this.#engine = engine;
		this.#silencingOrder = silencingOrder;
	}

	get calls(): Pick<LinkCalls, 'call'> {
		const call = async (_address: string, _method: unknown, request: Exclude<RankRequest<EngineOrder>, {kind: 'relay'}>, timeoutMs: number) => this.answer(request, timeoutMs);
		return {call: call as unknown as LinkCalls['call']};
	}

	async answer(request: Exclude<RankRequest<EngineOrder>, {kind: 'relay'}>, timeoutMs: number): Promise<RankReply | undefined> {
		if (!this.isUnresponsive) {
			const answer = request.kind === 'order' ? await this.#engine.order(request.order) : await this.#engine[request.kind]();
			this.isUnresponsive = request.kind === 'order' && request.order.kind === this.#silencingOrder;
			if (!this.isUnresponsive) {
				return answer === undefined ? {} : {answer};
			}
		}

		await sleep(timeoutMs);
		return undefined;
	}
}

type TestGroup = {readonly group: FakeRankGroup; readonly engines: EngineClient[]; readonly longestHoldMs: () => number};

/** Starts a group in which one rank's agent stops answering right after it has applied an order. */
function startGroup(unresponsiveRank: number, silencingOrder: EngineOrder['kind']): TestGroup {
	const nowMs = (): number => performance.now();
	const group = new FakeRankGroup({
		ranks: 4, lists: initialMap, copyMs: 10, stepMs: 5, nextDelivery: () => 'prompt', orderDelayMs: () => 0, nowMs,
	});
	let heldSinceMs: number | undefined;
	let longestMs = 0;
	timers.push(setInterval(() => {
		group.advance();
		heldSinceMs = group.isHeld ? heldSinceMs ?? nowMs() : undefined;
		longestMs = Math.max(longestMs, heldSinceMs === undefined ? 0 : nowMs() - heldSinceMs);
	}, 1));
	const engines = group.engines.map((engine, rank) => rank === unresponsiveRank
		? new RemoteEngineClient({
			calls: new FakeAgent(engine, silencingOrder).calls, linkAddress: 'agent', targetAddress: 'engine', directClient: () => group.unfencedEngines[rank],
		})
		: engine);
	return {group, engines, longestHoldMs: () => longestMs};
}

describe('a group in which one agent stops answering', () => {
	for (const [rank, order] of [[1, 'hold'], [1, 'arm'], [2, 'arm'], [1, 'go'], [3, 'prepare']] as const) {
		it(`still switches: rank ${rank} after ${order}`, async () => {
			const {group, engines, longestHoldMs} = startGroup(rank, order);
			const outcome = await new MapSwitch({ranks: {group: 'g', epoch: 1, engines}, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap);
			await sleep(100);
			expect(outcome).toEqual('switched');
			expect(group.versions).toEqual([10, 10, 10, 10]);
			expect([group.isHeld, group.mixedSteps]).toEqual([false, 0]);
			expect(longestHoldMs()).toBeLessThan(maxHoldMs);
		});
	}

	it('does not stall when the VM of the outside agent that holds it is paused', async () => {
		const {group, engines, longestHoldMs} = startGroup(3, 'go');
		const outsideAgent = new FakeAgent(group.unfencedEngines[1], 'hold');
		const holdEngine = new RemoteEngineClient({calls: outsideAgent.calls, linkAddress: 'outside', targetAddress: 'engine'});
		const ranks = {
			group: 'g', epoch: 1, engines, holdEngine,
		};
		const switchOnce = async (version: number) => new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(version, nextMap);
		expect(await switchOnce(10)).toEqual('switched');
		await waitUntil(() => group.isAt(10), {timeoutMs: 2000});
		await sleep(100);
		expect(await switchOnce(20)).toEqual('switched');
		await waitUntil(() => group.isAt(20), {timeoutMs: 2000});
		await sleep(300);
		expect(group.versions).toEqual([20, 20, 20, 20]);
		expect([group.isHeld, group.mixedSteps]).toEqual([false, 0]);
		expect(longestHoldMs()).toBeLessThan(maxHoldMs);
	});

	it('is held by a second order if the first one was lost without an answer', async () => {
		const {group, engines} = startGroup(3, 'go');
		const outcomes = ['unknown'];
		const call = async (_address: string, _method: unknown, request: RankRequest<EngineOrder>): Promise<RankReply> => {
			const lost = outcomes.pop();
			return {answer: lost ?? (request.kind === 'order' ? await group.unfencedEngines[1].order(request.order) : undefined)};
		};

		const holdEngine = new RemoteEngineClient({calls: {call: call as unknown as LinkCalls['call']}, linkAddress: 'outside', targetAddress: 'engine'});
		const ranks = {
			group: 'g', epoch: 1, engines, holdEngine,
		};
		expect(await new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap)).toEqual('switched');
		await waitUntil(() => group.isAt(10), {timeoutMs: 2000});
		await sleep(100);
		expect([group.isHeld, group.mixedSteps]).toEqual([false, 0]);
	});

	it('is released by the holding rank if the coordinator that held it stops answering', async () => {
		const {group, engines} = startGroup(0, 'fence');
		const step = group.step + 3;
		await group.engines[1].order({
			kind: 'hold', step, fencing: 1, epoch: 1,
		});
		await sleep(50);
		expect(group.isHeld).toEqual(true);
		const outcome = await new MapSwitch({ranks: {group: 'g', epoch: 1, engines}, holdingRank: 1, nowMs: () => performance.now()}).recover(() => 20);
		expect([outcome, group.isHeld, group.mixedSteps]).toEqual(['aborted', false, 0]);
	});
});

describe('SuspendAwareClock', () => {
	const time = {monotonicMs: 1000, wallMs: 50_000};
	const clock = new SuspendAwareClock({monotonicMs: () => time.monotonicMs, wallMs: () => time.wallMs});

	it('counts time for which the monotonic clock stopped, and never decreases', () => {
		const startMs = clock.nowMs();
		time.monotonicMs += 10;
		time.wallMs += 10;
		expect(clock.nowMs() - startMs).toEqual(10);
		time.monotonicMs += 5;
		time.wallMs += 4005;
		expect(clock.nowMs() - startMs).toEqual(4015);
		time.monotonicMs += 5;
		time.wallMs -= 90_000;
		expect(clock.nowMs() - startMs).toEqual(4020);
	});
});
