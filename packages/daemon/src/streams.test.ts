import {
	after, before, describe, it,
} from 'node:test';
import {GrpcControlAccess} from '@rattanspring/control-client';
import type {LedgerKey} from '@rattanspring/request-ledger';
import {EngineServer, PlainService, tokenText} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const authorization = `Bearer ${testCallerSecret}`;
const tokens = 40;

type Started = {readonly requestId: string; readonly reader: ReadableStreamDefaultReader<Uint8Array>; readonly aborts: AbortController};

describe('streams', () => {
	const engine = new EngineServer({host: '127.0.0.1', port: 0, engine: {stepMs: 5, maxBatch: 128}});
	const lost = new Set<string>();
	const orders = new PlainService({host: '127.0.0.1', port: 0, dropsResponse: reference => lost.has(reference)});
	let fleet: TestFleet;

	before(async () => {
		await Promise.all([engine.start(), orders.start()]);
		fleet = await startTestFleet({
			entries: 2,
			targets: [
				{
					targetId: 'engine-1', baseUrl: engine.url, kind: 'model', services: ['draft-model'], capacityRequests: 128,
				},
				{
					targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
				},
			],
		});
		await waitUntil(async () => {
			const answers = await Promise.all(fleet.entryUrls.map(async url => fetch(`${url}/orders/orders/none`, {headers: {authorization}})));
			return answers.every(answer => answer.status === 200);
		});
	});

	after(async () => {
		await fleet.stop();
		await Promise.all([engine.stop(), orders.stop()]);
	});

	async function draft(content: string, count = tokens): Promise<Started> {
		const aborts = new AbortController();
		const body = {
			model: 'draft-model', stream: true, max_tokens: count, messages: [{role: 'user', content}], // eslint-disable-line @typescript-eslint/naming-convention
		};
		const answer = await fetch(`${fleet.entryUrls[0]}/v1/chat/completions`, {
			method: 'POST', headers: {authorization, 'content-type': 'application/json'}, body: JSON.stringify(body), signal: aborts.signal,
		});
		return {requestId: answer.headers.get('x-request-id') ?? '', reader: answer.body!.getReader(), aborts};
	}

	async function resume(requestId: string, lastEventId: string, secret = testCallerSecret): Promise<Response> {
		return fetch(`${fleet.entryUrls[1]}/v1/requests/${requestId}`, {headers: {authorization: `Bearer ${secret}`, 'last-event-id': lastEventId}});
	}

	async function order(reference: string, entry = 0): Promise<Response> {
		return fetch(`${fleet.entryUrls[entry]}/orders/orders`, {
			method: 'POST', headers: {authorization, 'content-type': 'application/json', 'idempotency-key': reference}, body: JSON.stringify({reference}),
		});
	}

	it('resume at another entry after the last event that the caller received', async () => {
		const started = await draft('resumed');
		await started.reader.read();
		started.aborts.abort();
		const rest = await resume(started.requestId, '4');
		const text = await rest.text();
		const contents = [...text.matchAll(/"content":"(\w+) "/g)].map(match => match[1]);
		expect(contents).toEqual(Array.from({length: tokens - 5}, (_, index) => tokenText('user: resumed', index + 5)));
		expect([text.endsWith('data: [DONE]\n\n'), engine.runs.get('user: resumed')]).toEqual([true, 1]);
	});

	it('are refused for an unknown request id or without a valid key', async () => {
		const started = await draft('owned');
		started.aborts.abort();
		const answer = await resume(started.requestId.replace(/^[^~]+/, 'another'), '0');
		expect(answer.status >= 400).toEqual(true);
		const forbidden = await resume(started.requestId, '0', 'wrong');
		expect(forbidden.status).toEqual(401);
	});

	it('that were truncated are never passed on as complete', async () => {
		const started = await draft('crashed', 2000);
		await started.reader.read();
		engine.breakConnections();
		let isCut = false;
		try {
			let part = await started.reader.read();
			while (!part.done) {
				part = await started.reader.read();
			}
		} catch {
			isCut = true;
		}

		expect(isCut).toEqual(true);
	});

	describe('an order whose answer was lost', () => {
		it('is reported as unknown, also on a resend at another entry, and runs once', async () => {
			lost.add('lost-1');
			const first = await order('lost-1');
			const second = await order('lost-1', 1);
			const problems = [await first.json(), await second.json()] as Array<{execution: string}>;
			expect(problems.map(problem => problem.execution)).toEqual(['unknown', 'unknown']);
			expect(orders.runs.get('lost-1')).toEqual(1);
		});

		it('is listed for operators and refused permanently once they have settled it as run', async () => {
			const control = new GrpcControlAccess({addresses: [fleet.controlAddress]});
			const shown = await control.read<Array<{key: LedgerKey}>>('requests', {requestStates: ['unknown']});
			const settled = await control.submit({
				kind: 'ledger',
				command: {
					kind: 'settle', key: {clientAccount: 'test-account', service: 'orders', idempotencyKey: 'lost-1'}, settlement: {execution: 'ran', operator: 'op', reason: 'found in the service'}, nowMs: Date.now(),
				},
			});
			control.close();
			expect(shown.ok && shown.value.map(entry => entry.key.idempotencyKey)).toEqual(['lost-1']);
			expect(settled).toEqual({ok: true, value: {kind: 'ledger', answer: {kind: 'done'}}});
			const resent = await order('lost-1', 1);
			expect(await resent.json()).toEqual(expect.subset({execution: 'ran'}));
			expect(orders.runs.get('lost-1')).toEqual(1);
		});
	});

	describe('two entries that receive the same order concurrently', () => {
		it('run it once and return the same answer', async () => {
			const answers = await Promise.all([order('twice', 0), order('twice', 1)]);
			expect(await Promise.all(answers.map(async answer => answer.json()))).toEqual([{reference: 'twice', run: 1}, {reference: 'twice', run: 1}]);
		});
	});
});
