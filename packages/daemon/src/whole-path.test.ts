import {
	after, before, describe, it,
} from 'node:test';
import {EngineServer, PlainService, tokenText} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const authorization = `Bearer ${testCallerSecret}`;

describe('end-to-end request path', () => {
	const engine = new EngineServer({host: '127.0.0.1', port: 0, engine: {stepMs: 2}});
	const orders = new PlainService({host: '127.0.0.1', port: 0});
	let fleet: TestFleet;

	before(async () => {
		await Promise.all([engine.start(), orders.start()]);
		fleet = await startTestFleet({
			targets: [
				{
					targetId: 'engine-1', baseUrl: engine.url, kind: 'model', services: ['draft-model'],
				},
				{
					targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
				},
			],
		});
		await waitUntil(async () => {
			const answer = await lookUp('none');
			return answer.status === 200;
		});
	});

	after(async () => {
		await fleet.stop();
		await Promise.all([engine.stop(), orders.stop()]);
	});

	async function lookUp(reference: string): Promise<Response> {
		return fetch(`${fleet.entryUrls[0]}/orders/orders/${reference}`, {headers: {authorization}});
	}

	async function order(reference: string, key?: string): Promise<Response> {
		return fetch(`${fleet.entryUrls[0]}/orders/orders`, {
			method: 'POST',
			headers: {authorization, 'content-type': 'application/json', ...(key && {'idempotency-key': key})},
			body: JSON.stringify({reference}),
		});
	}

	describe('a draft', () => {
		it('is streamed completely', async () => {
			const body = {
				model: 'draft-model', stream: true, max_tokens: 5, messages: [{role: 'user', content: 'a menu'}], // eslint-disable-line @typescript-eslint/naming-convention
			};
			const answer = await fetch(`${fleet.entryUrls[0]}/v1/chat/completions`, {
				method: 'POST', headers: {authorization, 'content-type': 'application/json'}, body: JSON.stringify(body),
			});
			const text = await answer.text();
			const tokens = [...text.matchAll(/"content":"(\w+) "/g)].map(match => match[1]);
			expect(tokens).toEqual([0, 1, 2, 3, 4].map(index => tokenText('user: a menu', index)));
			expect(text.trimEnd().endsWith('data: [DONE]')).toEqual(true);
		});
	});

	describe('an order', () => {
		it('runs once and answers a resend with the recorded answer', async () => {
			const first = await order('a', 'key-a');
			const second = await order('a', 'key-a');
			expect(await first.json()).toEqual({reference: 'a', run: 1});
			expect(await second.json()).toEqual({reference: 'a', run: 1});
			expect(orders.runs.get('a')).toEqual(1);
		});

		it('is refused without an idempotency key', async () => {
			const answer = await order('b');
			const problem = await answer.json() as {type: string; execution: string};
			expect([answer.status, problem.type, problem.execution]).toEqual([400, 'idempotencyKeyMissing', 'didNotRun']);
			expect(orders.runs.has('b')).toEqual(false);
		});

		it('is refused if its key was already used with another body', async () => {
			await order('c', 'key-c');
			const answer = await order('d', 'key-c');
			expect(answer.status).toEqual(422);
			expect(orders.runs.has('d')).toEqual(false);
		});
	});

	describe('the list of models', () => {
		it('lists the models that targets serve, without an idempotency key', async () => {
			const answer = await fetch(`${fleet.entryUrls[0]}/v1/models`, {headers: {authorization}});
			const {object, data} = await answer.json() as {object: string; data: Array<{id: string; object: string}>};
			expect([answer.status, object]).toEqual([200, 'list']);
			expect(data.map(({id, object}) => [id, object])).toEqual([['draft-model', 'model']]);
		});

		it('is refused without a key', async () => {
			const answer = await fetch(`${fleet.entryUrls[0]}/v1/models`);
			expect(answer.status).toEqual(401);
		});
	});

	describe('a failure', () => {
		it('includes the error object that client libraries display', async () => {
			const answer = await order('e');
			const {error} = await answer.json() as {error: {message: string; type: string}};
			expect(error.type).toEqual('idempotencyKeyMissing');
			expect(error.message.length).toBeGreaterThan(0);
		});
	});

	describe('a caller without a valid key', () => {
		it('is refused', async () => {
			const answer = await fetch(`${fleet.entryUrls[0]}/orders/orders/a`, {headers: {authorization: 'Bearer wrong'}});
			expect(answer.status).toEqual(401);
		});
	});
});
