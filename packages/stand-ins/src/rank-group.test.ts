import {describe, it} from 'node:test';
import Wreck from '@hapi/wreck';
import {expect} from 'earl';
import {RankGroupServer} from './rank-group-server.js';
import {RankGroup} from './rank-group.js';
import {WeightStore, WeightStoreServer} from './weight-store.js';

describe('RankGroup', () => {
	const options = {rankCount: 2, tokenTimeMs: 0.5, fixedStepMs: 10};

	it('allows a step once all ranks of the formation have begun the previous one', () => {
		const group = new RankGroup(options);
		group.begin(0, 7, 0);
		expect(group.canBegin(7, 1)).toEqual(false);
		group.begin(1, 7, 0);
		expect(group.canBegin(7, 1)).toEqual(true);
		group.end(1);
		expect(group.canBegin(7, 1)).toEqual(false);
	});

	it('computes the step duration from the slowest rank of each layer, and counts tokens', () => {
		const group = new RankGroup(options);
		const work = [
			{speed: 1, layers: [new Map([[0, 4]]), new Map([[0, 2]])]},
			{speed: 0.5, layers: [new Map([[1, 4]]), new Map([[1, 0]])]},
		];
		expect(group.stepMs(work)).toEqual(10 + (8 * 0.5) + (2 * 0.5));
		group.stepMs(work);
		expect(group.takeCounts(0)).toEqual({steps: 2, layers: [new Map([[0, 8]]), new Map([[0, 4]])]});
		expect(group.takeCounts(0).steps).toEqual(0);
	});
});

describe('WeightStore', () => {
	it('serves loads sequentially at its configured rate', () => {
		const store = new WeightStore({bytesPerMs: 10});
		expect(store.load(100, 0)).toEqual(10);
		expect(store.load(50, 5)).toEqual(15);
		expect(store.load(10, 100)).toEqual(101);
		expect(store.loadedBytes).toEqual(160);
	});
});

describe('over HTTP', () => {
	it('begins steps and returns counts', async () => {
		const server = new RankGroupServer({
			host: '127.0.0.1', port: 0, rankCount: 1, tokenTimeMs: 0, fixedStepMs: 0,
		});
		await server.start();
		const begin = {formation: 1, step: 0, layers: [[[3, 5]]]};
		expect(await post(`${server.url}/ranks/0/begin`, begin)).toEqual({begun: true});
		expect(await post(`${server.url}/ranks/0/begin`, {...begin, step: 2})).toEqual({begun: false});
		expect(await post(`${server.url}/ranks/0/counts`, {})).toEqual({steps: 1, layers: [[[3, 5]]]});
		await server.stop();
	});

	it('responds to a load request once the load has ended', async () => {
		const server = new WeightStoreServer({host: '127.0.0.1', port: 0, bytesPerMs: 1000});
		await server.start();
		expect(await post(`${server.url}/loads`, {bytes: 1000})).toEqual({loadedBytes: 1000});
		await server.stop();
	});
});

async function post(url: string, payload: Record<string, unknown>): Promise<unknown> {
	const {payload: answer} = await Wreck.post<unknown>(url, {payload, json: true});
	return answer;
}
