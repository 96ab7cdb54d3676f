import {
	after, before, describe, it,
} from 'node:test';
import {createHash} from 'node:crypto';
import type {ServiceLevelSnapshot} from '@rattanspring/service-level';
import {PlainService} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const operatorSecret = 'operator-secret';
const otherSecret = 'other-caller-secret';

function digestOf(secret: string): string {
	return createHash('sha256').update(secret).digest('hex');
}

describe('service level at an entry', () => {
	const orders = new PlainService({host: '127.0.0.1', port: 0, dropsResponse: reference => reference === 'lost'});
	let fleet: TestFleet;

	before(async () => {
		await orders.start();
		fleet = await startTestFleet({
			targets: [{
				targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
			}],
			edits: [
				{kind: 'addCallerKey', callerKey: {keyId: 'other', secretDigest: digestOf(otherSecret), clientAccount: 'other-account'}},
				{
					kind: 'addOperatorKey', operatorKey: {
						keyId: 'operator', secretDigest: digestOf(operatorSecret), operator: 'op', access: 'readOnly',
					},
				},
			],
		});
		await waitUntil(async () => {
			const answer = await send(testCallerSecret, 'GET', '/orders/orders/none');
			return answer.status === 200;
		});
	});

	after(async () => {
		await fleet.stop();
		await orders.stop();
	});

	async function send(secret: string, method: string, path: string, reference?: string): Promise<Response> {
		const headers: Record<string, string> = {authorization: `Bearer ${secret}`, 'content-type': 'application/json'};
		if (reference) {
			headers['idempotency-key'] = reference;
		}

		return fetch(`${fleet.entryUrls[0]}${path}`, {method, headers, body: reference && JSON.stringify({reference})});
	}

	async function partsFor(secret: string): Promise<ServiceLevelSnapshot[]> {
		const answer = await send(secret, 'GET', '/v1/service-level');
		const {parts} = await answer.json() as {parts: ServiceLevelSnapshot[]};
		return parts;
	}

	it('counts a lost answer as incomplete', async () => {
		await send(testCallerSecret, 'POST', '/orders/orders', 'lost');
		const part = (await partsFor(operatorSecret)).find(candidate => candidate.clientAccount === 'test-account')!; // eslint-disable-line unicorn/no-await-expression-member
		const whole = part.counts.find(count => count.kind === 'answeredWhole' && count.windowMinutes === 5)!;
		expect(whole.bad).toEqual(1);
		expect(part.places.some(({place}) => place.startsWith('target'))).toEqual(true);
	});

	it('shows a caller only its own account', async () => {
		await send(otherSecret, 'GET', '/orders/orders/none');
		const [own, all] = await Promise.all([partsFor(otherSecret), partsFor(operatorSecret)]);
		expect(own.map(part => part.clientAccount)).toEqual(['other-account']);
		expect(all.map(part => part.clientAccount).toSorted()).toEqual(['other-account', 'test-account']);
	});

	it('is denied without a valid key', async () => {
		const answer = await send('wrong', 'GET', '/v1/service-level');
		expect(answer.status).toEqual(401);
	});
});
