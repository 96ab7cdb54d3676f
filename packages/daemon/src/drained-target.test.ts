import {
	after, before, describe, it,
} from 'node:test';
import {GrpcControlAccess} from '@rattanspring/control-client';
import {PlainService} from '@rattanspring/stand-ins';
import type {ConfigurationEdit} from '@rattanspring/types';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

/** The failure domain of the test fleet. */
const fleetDomain = 'test-a';

describe('a target drained by configuration', () => {
	const orders = new PlainService({host: '127.0.0.1', port: 0});
	let fleet: TestFleet;
	let control: GrpcControlAccess;

	before(async () => {
		await orders.start();
		fleet = await startTestFleet({
			targets: [{
				targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
			}],
		});
		control = new GrpcControlAccess({addresses: [fleet.controlAddress]});
		await waitUntil(async () => await lookUp() === 200);
	});

	after(async () => {
		control.close();
		await fleet.stop();
		await orders.stop();
	});

	async function lookUp(): Promise<number> {
		const answer = await fetch(`${fleet.entryUrls[0]}/orders/orders/none`, {headers: {authorization: `Bearer ${testCallerSecret}`}});
		return answer.status;
	}

	async function change(baseRevision: number, edit: ConfigurationEdit): Promise<void> {
		const result = await control.submit({
			kind: 'change', change: {
				changeId: `change-${baseRevision}`, baseRevision, operator: 'op', reason: 'disk change', edits: [edit],
			},
		});
		expect(result.ok && result.value.kind === 'change' && result.value.answer.kind).toEqual('accepted');
	}

	it('receives no new work until the exception is removed', async () => {
		await change(1, {
			kind: 'addException', exception: {
				exceptionId: 'drain-orders-1', scope: {kind: 'target', name: 'orders-1'}, key: 'target.admitsWork', value: false, reason: 'disk change', operator: 'op',
			},
		});
		await waitUntil(async () => await lookUp() === 503);
		await change(2, {kind: 'removeException', exceptionId: 'drain-orders-1'});
		await waitUntil(async () => await lookUp() === 200);
	});

	it('receives none while its failure domain is drained, and goes on while another one is', async () => {
		const drain = (domain: string): ConfigurationEdit => ({
			kind: 'addException', exception: {
				exceptionId: `drain-domain-${domain}`, scope: {kind: 'failureDomain', name: domain}, key: 'target.admitsWork', value: false, reason: 'power work', operator: 'op',
			},
		});
		await change(3, drain('another'));
		await change(4, drain(fleetDomain));
		await waitUntil(async () => await lookUp() === 503);
		await change(5, {kind: 'removeException', exceptionId: `drain-domain-${fleetDomain}`});
		await waitUntil(async () => await lookUp() === 200);
	});
});
