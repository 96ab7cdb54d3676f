import {describe, it} from 'node:test';
import type {LinkCalls, RankReply, RankRequest} from '@rattanspring/fleet-link';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {FakeRankGroup} from './fake-rank-group.js';
import {encodeMap} from './map-encoding.js';
import {maxOpenRelays, RankRequestHandler} from './rank-request-handler.js';

const map = [[[0, 4], [1, 5], [2, 6], [3, 7]]];
const prepare = {
	kind: 'prepare', version: 4, fencing: 2, epoch: 1, map: [],
};

/** Calls of the agents of the other ranks, `agent-1` to `agent-3`; the last one does not answer. */
function callsTo(group: FakeRankGroup): Pick<LinkCalls, 'call'> {
	const call = async (address: string, _method: unknown, request: RankRequest): Promise<RankReply | undefined> => {
		const rank = Number(address.split('-')[1]);
		const other = new RankRequestHandler({
			targetAddress: request.targetAddress, engine: group.engines[rank], directClient: () => group.unfencedEngines[rank], calls: {call: call as unknown as LinkCalls['call']},
		});
		return rank === 3 ? undefined : other.handle(request);
	};

	return {call: call as unknown as LinkCalls['call']};
}

function startHandler(): {readonly group: FakeRankGroup; readonly handler: RankRequestHandler} {
	const group = new FakeRankGroup({
		ranks: 4, lists: map, copyMs: 0, stepMs: 5, nextDelivery: () => 'prompt', orderDelayMs: () => 0, nowMs: () => 0,
	});
	const handler = new RankRequestHandler({
		targetAddress: 'own', engine: group.engines[0], directClient: () => group.unfencedEngines[1], calls: callsTo(group),
	});
	return {group, handler};
}

describe('RankRequestHandler', () => {
	it('applies an order with an attached map', async () => {
		const {group, handler} = startHandler();
		expect(await handler.handle({
			targetAddress: 'own', kind: 'order', order: prepare, attachment: encodeMap(map),
		})).toEqual({answer: 'begun'});
		expect(group.state(0).preparedVersion).toEqual(4);
	});

	it('passes an order on, and answers with the outcomes of all ranks that answered', async () => {
		const {group, handler} = startHandler();
		const children = [1, 2, 3].map(rank => ({linkAddress: `agent-${rank}`, targetAddress: `target-${rank}`}));
		expect(await handler.handle({
			targetAddress: 'own', kind: 'relay', request: {kind: 'order', order: prepare}, children, attachment: encodeMap(map),
		})).toEqual({answer: ['begun', 'begun', 'begun', null]});
		expect([0, 1, 2, 3].map(rank => group.state(rank).preparedVersion)).toEqual([4, 4, 4, undefined]);
	});

	it('passes nothing on to more agents at once than a few groups have, and goes on afterwards', async () => {
		let nowOpen = 0;
		const answers: Array<() => void> = [];
		const call = async () => {
			nowOpen++;
			await new Promise<void>(resolve => {
				answers.push(resolve);
			});
			nowOpen--;
			return {};
		};

		const {group} = startHandler();
		const exceeded: number[] = [];
		const handler = new RankRequestHandler({
			targetAddress: 'own', engine: group.engines[0], directClient: () => group.unfencedEngines[1], calls: {call: call as unknown as LinkCalls['call']},
			onRelaysExceeded({children}) {
				exceeded.push(children);
			},
		});
		const relay = async (count: number) => handler.handle({
			targetAddress: 'own', kind: 'relay', request: {kind: 'state'}, children: Array.from({length: count}, (_, index) => ({linkAddress: `a-${index}`, targetAddress: 't'})),
		});
		const first = relay(maxOpenRelays);
		expect(await relay(1)).toEqual({});
		expect([nowOpen, exceeded]).toEqual([maxOpenRelays, [1]]);
		for (const answer of answers) {
			answer();
		}

		await first;
		const next = relay(1);
		expect(nowOpen).toEqual(1);
		answers.at(-1)!();
		const {answer} = await next;
		expect(answer).not.toEqual(undefined);
	});

	it('refuses an order with a damaged map, which changes nothing', async () => {
		const {group, handler} = startHandler();
		const attachment = encodeMap(map)!.subarray(0, 5);
		expect(await handler.handle({
			targetAddress: 'own', kind: 'order', order: prepare, attachment,
		})).toEqual({answer: 'refused'});
		const state = await group.engines[0].state();
		expect([state?.preparedVersion, state?.fencing]).toEqual([undefined, 0]);
	});

	it('refuses incomplete orders, so that the fencing number stays as it is', async () => {
		const {group, handler} = startHandler();
		await group.engines[0].order({kind: 'fence', fencing: 7, epoch: 1});
		for (const order of [undefined, null, 'go', {}, {kind: 'hold', step: 5, epoch: 1}, {
			kind: 'hold', step: '5', fencing: 8, epoch: 1,
		}, {kind: 'toString', fencing: 8, epoch: 1}, {...prepare, fencing: 8, map: [[0]]}]) {
			expect(await handler.handle({targetAddress: 'own', kind: 'order', order})).toEqual({answer: 'refused'});
		}

		const state = await group.engines[0].state();
		expect(state?.fencing).toEqual(7);
	});

	it('sends hold orders to other engines, and nothing else', async () => {
		const {group, handler} = startHandler();
		const under = {fencing: 1, epoch: 1};
		expect(await handler.handle({targetAddress: 'other', kind: 'order', order: {kind: 'hold', step: 9, ...under}})).toEqual({answer: 'done'});
		expect(group.state(1).heldStep).toEqual(9);
		expect(await handler.handle({targetAddress: 'other', kind: 'order', order: {kind: 'go', step: 9, ...under}})).toEqual({});
		expect(await handler.handle({targetAddress: 'other', kind: 'state'})).toEqual({});
	});

	it('answers any order and attachment without an exception', async () => {
		await fc.assert(fc.asyncProperty(fc.anything(), fc.option(fc.uint8Array(), {nil: undefined}), async (order, attachment) => {
			const request: RankRequest = {
				targetAddress: 'own', kind: 'order', order, attachment,
			};
			expect(await startHandler().handler.handle(request)).toEqual({answer: 'refused'});
		}));
	});
});
