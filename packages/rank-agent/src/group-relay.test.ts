import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	LinkCalls, NodeCard, RankReply, RankRequest,
} from '@rattanspring/fleet-link';
import {seededRandom, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {FakeRankGroup} from './fake-rank-group.js';
import {GroupRelay} from './group-relay.js';
import type {EngineOrder} from './engine-client.js';
import {MapSwitch} from './map-switch.js';
import {RemoteEngineClient} from './remote-engine-client.js';
import {RankRequestHandler} from './rank-request-handler.js';

const rankCount = 9;
const initialMap = [Array.from({length: rankCount}, (_, rank) => [rank])];
const nextMap = [Array.from({length: rankCount}, (_, rank) => [rank, (rank + 1) % rankCount])];

/** Longest time for which one frozen agent may hold its group. */
const maxHoldMs = 450;

const timers: NodeJS.Timeout[] = [];

function cardOf(rank: number): NodeCard {
	return {
		nodeId: `agent-${rank}`, role: 'agent', failureDomain: rank % 2 === 0 ? 'a' : 'b', linkAddress: `agent-${rank}`, targetAddress: `target-${rank}`, isLeaving: false,
	};
}

/** What happens to a message between agents. */
type Delivery = 'prompt' | 'lost' | 'answerLost' | 'late';

/** A group whose coordinator reaches the other ranks through relaying agents. */
class RelayedGroup {
	readonly group: FakeRankGroup;
	/** Number of calls by the address that sends them. */
	readonly sent = new Map<string, number>();
	readonly #handlers: RankRequestHandler[];
	readonly #deliveryOf: (address: string, request: RankRequest) => Delivery;

	constructor(deliveryOf: (address: string, request: RankRequest) => Delivery) {
		this.#deliveryOf = deliveryOf;
		this.group = new FakeRankGroup({
			ranks: rankCount, lists: initialMap, copyMs: 10, stepMs: 5, nextDelivery: () => 'prompt', orderDelayMs: () => 0, nowMs: () => performance.now(),
		});
		this.#handlers = this.group.engines.map((engine, rank) => new RankRequestHandler({
			targetAddress: `target-${rank}`, engine, directClient: address => this.group.unfencedEngines[Number(address.split('-')[1])], calls: this.#callsOf(`agent-${rank}`),
		}));
		timers.push(setInterval(() => {
			this.group.advance();
		}, 1));
	}

	/** A switch whose orders go to the engine directly if its agent does not answer. */
	newSwitchThroughAgents(): MapSwitch {
		const engines = this.group.engines.map((engine, rank) => rank === 0
			? engine
			: new RemoteEngineClient({
				calls: this.#callsOf('agent-0'), linkAddress: `agent-${rank}`, targetAddress: `target-${rank}`, directClient: () => this.group.unfencedEngines[rank],
			}));
		return this.newSwitch(engines);
	}

	newSwitch(engines = this.group.engines): MapSwitch {
		const members = Array.from({length: rankCount - 1}, (_, index) => ({rank: index + 1, card: cardOf(index + 1)}));
		const relay = new GroupRelay({calls: this.#callsOf('agent-0'), local: {rank: 0, engine: this.group.engines[0]}, members});
		return new MapSwitch({
			ranks: {
				group: 'g', epoch: this.group.epoch, engines, relay,
			}, holdingRank: 1, nowMs: () => performance.now(),
		});
	}

	#callsOf(sender: string): Pick<LinkCalls, 'call'> {
		const call = async (address: string, _method: unknown, request: RankRequest, timeoutMs: number): Promise<RankReply | undefined> => {
			this.sent.set(sender, (this.sent.get(sender) ?? 0) + 1);
			const delivery = this.#deliveryOf(address, request);
			const handler = this.#handlers[Number(address.split('-')[1])];
			if (delivery === 'prompt') {
				return handler.handle(request);
			}

			if (delivery !== 'lost') {
				setTimeout(() => {
					void handler.handle(request);
				}, delivery === 'late' ? 2 * timeoutMs : 0);
			}

			await sleep(timeoutMs);
			return undefined;
		};

		return {call: call as unknown as LinkCalls['call']};
	}
}

after(() => {
	for (const timer of timers) {
		clearInterval(timer);
	}
});

describe('a switch through relaying agents', () => {
	it('takes about the square root of the ranks in messages at each agent', async () => {
		const relayed = new RelayedGroup(() => 'prompt');
		expect(await relayed.newSwitch().run(10, nextMap)).toEqual('switched');
		await waitUntil(() => relayed.group.isAt(10), {timeoutMs: 2000});
		await sleep(80);
		expect(new Set(relayed.group.versions)).toEqual(new Set([10]));
		const requestsToAll = 6;
		expect(relayed.sent.get('agent-0')! <= requestsToAll * Math.ceil(Math.sqrt(rankCount))).toEqual(true);
	});

	it('is completed by direct orders if an agent that passes requests on does not answer', async () => {
		const relayed = new RelayedGroup(address => address === 'agent-2' ? 'lost' : 'prompt');
		expect(await relayed.newSwitch().run(10, nextMap)).toEqual('switched');
		await waitUntil(() => relayed.group.isAt(10), {timeoutMs: 2000});
		await sleep(80);
		expect(new Set(relayed.group.versions)).toEqual(new Set([10]));
		expect([relayed.group.mixedSteps, relayed.group.isHeld]).toEqual([0, false]);
	});

	for (const frozen of [1, 2, 3, 5]) {
		it(`holds the group for no longer than a slow arming if agent ${frozen} freezes as the ranks are armed`, async () => {
			let isFrozen = false;
			const relayed = new RelayedGroup((address, request) => {
				isFrozen ||= request.kind === 'relay' && request.request.kind === 'order' && (request.request.order as EngineOrder).kind === 'arm';
				return isFrozen && address === `agent-${frozen}` ? 'lost' : 'prompt';
			});
			const {group} = relayed;
			let heldMs = 0;
			let lastMs = performance.now();
			timers.push(setInterval(() => {
				heldMs += group.isHeld ? performance.now() - lastMs : 0;
				lastMs = performance.now();
			}, 1));
			expect(await relayed.newSwitchThroughAgents().run(10, nextMap)).toEqual('switched');
			await waitUntil(() => relayed.group.isAt(10), {timeoutMs: 2000});
			await sleep(80);
			expect(new Set(group.versions)).toEqual(new Set([10]));
			expect([group.mixedSteps, group.isHeld]).toEqual([0, false]);
			expect(heldMs).toBeLessThan(maxHoldMs);
		});
	}

	for (let seed = 1; seed <= 12; seed++) {
		it(`never mixes maps in a step while messages are lost, unanswered or late: seed ${seed}`, async () => {
			const random = seededRandom(seed * 104_729);
			const deliveries: Delivery[] = ['late', 'late', 'answerLost', 'lost'];
			const relayed = new RelayedGroup(() => deliveries[Math.floor(random() * 12)] ?? 'prompt');
			const {group} = relayed;
			for (let version = 1; version <= 3; version++) {
				await relayed.newSwitch().run(version * 10, version % 2 === 0 ? initialMap : nextMap);
				const {heldStep} = group.state(1);
				if (heldStep !== undefined) {
					let next = (version * 10) + 1;
					await relayed.newSwitch().recover(() => next++);
				}
			}

			await sleep(600);
			expect([group.mixedSteps, group.isHeld]).toEqual([0, false]);
		});
	}
});
