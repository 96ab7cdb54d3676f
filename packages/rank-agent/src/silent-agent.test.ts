import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LinkCalls, RankReply, RankRequest} from '@rattanspring/fleet-link';
import {expect} from 'earl';
import type {EngineClient, EngineOrder} from './engine-door.js';
import {LockstepGroup} from './lockstep-group.js';
import {MapSwitch} from './map-switch.js';
import {RemoteEngine} from './remote-engine.js';
import {StandstillClock} from './standstill-clock.js';

const lists = [[[0, 4], [1, 5], [2, 6], [3, 7]]];
const nextMap = [[[0, 5], [1, 4], [2, 7], [3, 6]]];

/** Longest time for which a group may stand still for one silent agent. */
const longestStandstillMs = 500;

const timers: NodeJS.Timeout[] = [];

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

/** Answers for a door like the agent on its VM, until it falls silent. */
class AgentCalls {
	isSilent = false;
	readonly #door: EngineClient;
	/** Orders after whose carrying out the agent falls silent, without an answer. */
	readonly #lastOrder: EngineOrder['kind'] | undefined;

	constructor(door: EngineClient, lastOrder?: EngineOrder['kind']) {
		this.#door = door;
		this.#lastOrder = lastOrder;
	}

	get calls(): Pick<LinkCalls, 'call'> {
		const call = async (_address: string, _method: unknown, request: RankRequest<EngineOrder>, timeoutMs: number) => this.answer(request, timeoutMs);
		return {call: call as unknown as LinkCalls['call']};
	}

	async answer(request: RankRequest<EngineOrder>, timeoutMs: number): Promise<RankReply | undefined> {
		if (!this.isSilent) {
			const answer = request.kind === 'order' ? await this.#door.order(request.order) : await this.#door[request.kind]();
			this.isSilent = request.kind === 'order' && request.order.kind === this.#lastOrder;
			if (!this.isSilent) {
				return answer === undefined ? {} : {answer};
			}
		}

		await sleep(timeoutMs);
		return undefined;
	}
}

type Bed = {readonly group: LockstepGroup; readonly engines: EngineClient[]; readonly longestHeldMs: () => number};

/** A group of which one rank's agent falls silent right after it has carried out an order. */
function bedWith(silentRank: number, lastOrder: EngineOrder['kind']): Bed {
	const nowMs = (): number => performance.now();
	const group = new LockstepGroup({
		ranks: 4, lists, copyMs: 10, passMs: 5, fateOf: () => 'prompt', lateMs: () => 0, nowMs,
	});
	let heldSinceMs: number | undefined;
	let longestMs = 0;
	timers.push(setInterval(() => {
		group.advance();
		heldSinceMs = group.isHeld ? heldSinceMs ?? nowMs() : undefined;
		longestMs = Math.max(longestMs, heldSinceMs === undefined ? 0 : nowMs() - heldSinceMs);
	}, 1));
	const engines = group.engines.map((engine, rank) => rank === silentRank
		? new RemoteEngine({
			calls: new AgentCalls(engine, lastOrder).calls, linkAddress: 'agent', targetAddress: 'engine', direct: () => group.bareEngines[rank],
		})
		: engine);
	return {group, engines, longestHeldMs: () => longestMs};
}

describe('a group of which one agent falls silent', () => {
	for (const [rank, order] of [[1, 'hold'], [1, 'arm'], [2, 'arm'], [1, 'go'], [3, 'prepare']] as const) {
		it(`is switched all the same: rank ${rank} after ${order}`, async () => {
			const {group, engines, longestHeldMs} = bedWith(rank, order);
			const outcome = await new MapSwitch({ranks: {group: 'g', epoch: 1, engines}, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap);
			await sleep(100);
			expect(outcome).toEqual('switched');
			expect(group.versions).toEqual([10, 10, 10, 10]);
			expect([group.isHeld, group.mixedPasses]).toEqual([false, 0]);
			expect(longestHeldMs()).toBeLessThan(longestStandstillMs);
		});
	}

	it('does not stand still when the agent outside that held it stands still, with its VM', async () => {
		const {group, engines, longestHeldMs} = bedWith(3, 'go');
		const outside = new AgentCalls(group.bareEngines[1], 'hold');
		const holdThrough = new RemoteEngine({calls: outside.calls, linkAddress: 'outside', targetAddress: 'engine'});
		const ranks = {
			group: 'g', epoch: 1, engines, holdThrough,
		};
		const switchOnce = async (version: number) => new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(version, nextMap);
		expect(await switchOnce(10)).toEqual('switched');
		await sleep(100);
		expect(await switchOnce(20)).toEqual('notHeld');
		await sleep(300);
		expect([group.isHeld, group.mixedPasses]).toEqual([false, 0]);
		expect(longestHeldMs()).toBeLessThan(longestStandstillMs);
	});

	it('is held by a second order where the first got no answer and was lost', async () => {
		const {group, engines} = bedWith(3, 'go');
		const outcomes = ['unknown'];
		const call = async (_address: string, _method: unknown, request: RankRequest<EngineOrder>): Promise<RankReply> => {
			const lost = outcomes.pop();
			return {answer: lost ?? (request.kind === 'order' ? await group.bareEngines[1].order(request.order) : undefined)};
		};

		const holdThrough = new RemoteEngine({calls: {call: call as unknown as LinkCalls['call']}, linkAddress: 'outside', targetAddress: 'engine'});
		const ranks = {
			group: 'g', epoch: 1, engines, holdThrough,
		};
		expect(await new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(10, nextMap)).toEqual('switched');
		await sleep(100);
		expect([group.isHeld, group.mixedPasses]).toEqual([false, 0]);
	});

	it('is released by the holding rank when the coordinator that held it is the silent one', async () => {
		const {group, engines} = bedWith(0, 'fence');
		const step = group.step + 3;
		await group.engines[1].order({
			kind: 'hold', step, fencing: 1, epoch: 1,
		});
		await sleep(50);
		expect(group.isHeld).toEqual(true);
		const outcome = await new MapSwitch({ranks: {group: 'g', epoch: 1, engines}, holdingRank: 1, nowMs: () => performance.now()}).recover(step, () => 20);
		expect([outcome, group.isHeld, group.mixedPasses]).toEqual(['aborted', false, 0]);
	});
});

describe('StandstillClock', () => {
	const steady = {monotonicMs: 1000, wallMs: 50_000};
	const clock = new StandstillClock({monotonicMs: () => steady.monotonicMs, wallMs: () => steady.wallMs});

	it('counts time in which the steady clock stood still, and never goes back', () => {
		const startMs = clock.nowMs();
		steady.monotonicMs += 10;
		steady.wallMs += 10;
		expect(clock.nowMs() - startMs).toEqual(10);
		steady.monotonicMs += 5;
		steady.wallMs += 4005;
		expect(clock.nowMs() - startMs).toEqual(4015);
		steady.monotonicMs += 5;
		steady.wallMs -= 90_000;
		expect(clock.nowMs() - startMs).toEqual(4020);
	});
});
