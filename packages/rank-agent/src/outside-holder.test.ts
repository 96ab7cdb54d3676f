import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	LinkCalls, NodeCard, RankReply, RankRequest,
} from '@rattanspring/fleet-link';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {FakeRankGroup} from './fake-rank-group.js';
import {GroupEngineClients} from './group-engine-clients.js';
import {MapSwitch} from './map-switch.js';
import {OutsideHolder} from './outside-holder.js';
import {RankRequestHandler} from './rank-request-handler.js';

const rankCount = 4;
const initialMap = [Array.from({length: rankCount}, (_, rank) => [rank])];
const nextMap = [Array.from({length: rankCount}, (_, rank) => [rank, (rank + 1) % rankCount])];

/** Longest time for which the VM that gave the hold may hold the group by being frozen. */
const maxHoldMs = 450;

const timers: NodeJS.Timeout[] = [];

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

function cardOf(rank: number): NodeCard {
	return {
		nodeId: `agent-${rank}`, role: 'agent', failureDomain: 'a', linkAddress: `agent-${rank}`, targetAddress: `target-${rank}`, isLeaving: false, rankPlace: {
			group: 'g', epoch: 1, rank, size: rankCount, isOpen: true,
		},
	};
}

function controlCard(index: number): NodeCard {
	return {
		nodeId: `control-${index}`, role: 'control', failureDomain: 'a', linkAddress: `control-${index}`, isLeaving: false,
	};
}

/** An engine that is reached directly: it does not answer while its VM is frozen. */
class DirectClient extends EngineClient {
	readonly #engine: EngineClient;
	readonly #isFrozen: () => boolean;

	constructor(engine: EngineClient, isFrozen: () => boolean) {
		super();
		this.#engine = engine;
		this.#isFrozen = isFrozen;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#isFrozen() ? undefined : this.#engine.state();
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#isFrozen() ? undefined : this.#engine.counts();
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#isFrozen() ? undefined : this.#engine.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		return this.#isFrozen() ? 'unknown' : this.#engine.order(order);
	}

	close(): void {
		this.#engine.close();
	}
}

/** The only group of a fleet. A VM freezes as soon as its process has given the hold order, together with the engine on it, if there is one. */
class OnlyGroup {
	readonly group = new FakeRankGroup({
		ranks: rankCount, lists: initialMap, copyMs: 10, stepMs: 5, nextDelivery: () => 'prompt', orderDelayMs: () => 0, nowMs: () => performance.now(),
	});

	frozen: string | undefined;
	heldMs = 0;
	readonly #freezesAfterHold: (address: string) => boolean;
	readonly #clients: GroupEngineClients;
	readonly #holder = new OutsideHolder(address => this.group.unfencedEngines[rankOf(address)]);
	readonly #handlers = this.group.engines.map((engine, rank) => new RankRequestHandler({
		targetAddress: `target-${rank}`, engine, directClient: address => this.group.unfencedEngines[rankOf(address)], calls: this.#calls(),
	}));

	constructor(freezesAfterHold: (address: string) => boolean = () => true) {
		this.#freezesAfterHold = freezesAfterHold;
		this.#clients = new GroupEngineClients({
			nodeId: 'agent-0', localEngine: this.group.engines[0], calls: this.#calls(), createEngineClient: address => this.#directClient(rankOf(address)), onAgentTimeout: () => undefined,
		});
		let lastMs = performance.now();
		timers.push(setInterval(() => {
			this.group.advance();
			const nowMs = performance.now();
			this.heldMs += this.group.isHeld ? nowMs - lastMs : 0;
			lastMs = nowMs;
		}, 1));
	}

	async switchOnce(cards: readonly NodeCard[], version: number): Promise<string> {
		const ranks = this.#clients.ranks(cardOf(0).rankPlace!, cards)!;
		return new MapSwitch({ranks, holdingRank: 1, nowMs: () => performance.now()}).run(version, nextMap);
	}

	#directClient(rank: number): EngineClient {
		return new DirectClient(this.group.unfencedEngines[rank], () => this.frozen === `agent-${rank}`);
	}

	#calls(): Pick<LinkCalls, 'call'> {
		const call = async (address: string, _method: unknown, request: RankRequest<EngineOrder>, timeoutMs: number): Promise<RankReply | undefined> => {
			if (address === this.frozen) {
				await sleep(timeoutMs);
				return undefined;
			}

			const handler = address.startsWith('control') ? this.#holder : this.#handlers[rankOf(address)];
			const reply = await handler.handle(request);
			if (request.kind === 'order' && request.order.kind === 'hold' && this.#freezesAfterHold(address)) {
				this.frozen = address;
			}

			return reply;
		};

		return {call: call as unknown as LinkCalls['call']};
	}
}

function rankOf(address: string): number {
	return Number(address.split('-')[1]);
}

describe('a group that is the only one of its fleet', () => {
	const agents = Array.from({length: rankCount}, (_, rank) => cardOf(rank));

	it('is held through a control process, whose freeze holds it no longer', async () => {
		const only = new OnlyGroup();
		expect(await only.switchOnce([...agents, controlCard(1), controlCard(2)], 10)).toEqual('switched');
		await waitUntil(() => only.group.isAt(10), {timeoutMs: 2000});
		await sleep(80);
		expect(only.frozen?.startsWith('control')).toEqual(true);
		expect([only.group.versions.join(','), only.group.mixedSteps, only.group.isHeld]).toEqual(['10,10,10,10', 0, false]);
		expect(only.heldMs).toBeLessThan(maxHoldMs);
	});

	it('is held through its own agent by the same switch if the control process does not answer or is too late, and through another control process by the next one', async () => {
		const only = new OnlyGroup(() => false);
		only.frozen = 'control-1';
		expect(await only.switchOnce([...agents, controlCard(1)], 10)).toEqual('switched');
		await waitUntil(() => only.group.isAt(10), {timeoutMs: 2000});
		await sleep(80);
		expect(only.group.versions).toEqual([10, 10, 10, 10]);
		const startedAtMs = performance.now();
		expect(await only.switchOnce([...agents, controlCard(1), controlCard(2)], 20)).toEqual('switched');
		expect(performance.now() - startedAtMs).toBeLessThan(200);
	});

	it('is held through another control process by the next switch', async () => {
		const only = new OnlyGroup();
		await only.switchOnce([...agents, controlCard(1), controlCard(2)], 10);
		await waitUntil(() => only.group.isAt(10), {timeoutMs: 2000});
		const first = only.frozen;
		expect(await only.switchOnce([...agents, controlCard(1), controlCard(2)], 20)).toEqual('switched');
		expect(only.frozen === first).toEqual(false);
	});
});

describe('OutsideHolder', () => {
	it('gives hold orders only', async () => {
		const {group} = new OnlyGroup();
		const holder = new OutsideHolder(address => group.unfencedEngines[rankOf(address)]);
		const under = {fencing: 1, epoch: 1};
		const answerTo = async (order: unknown): Promise<unknown> => {
			const reply = await holder.handle({kind: 'order', targetAddress: 'target-1', order});
			return reply.answer;
		};

		expect(await answerTo({kind: 'hold', step: group.step + 100, ...under})).toEqual('done');
		expect(await answerTo({kind: 'go', step: group.step + 100, ...under})).toEqual('refused');
		expect(await answerTo({kind: 'hold', ...under})).toEqual('refused');
		expect(await holder.handle({kind: 'state', targetAddress: 'target-1'})).toEqual({answer: 'refused'});
	});
});
