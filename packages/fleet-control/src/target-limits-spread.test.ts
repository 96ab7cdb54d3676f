import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LinkCalls, linkService, type UpMessage} from '@rattanspring/fleet-link';
import type {TargetReport} from '@rattanspring/target-table';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

const limit = {targetId: 't1', bornMs: 100, perSecond: 4};

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

describe('limits that targets name', () => {
	let group: TestGroup;
	let entries: TestEntries;

	beforeEach(async () => {
		group = await TestGroup.create({size: 2, faultTolerance: 0, failureDomainCount: 2});
		await group.startFirst();
		entries = new TestEntries();
	});
	afterEach(async () => {
		entries.close();
		await group.close();
	});

	const addEntry = async () => entries.add([group.addressOf(0), group.addressOf(1)]);

	const limitsOf = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'limits' ? message.limits : []);

	it('reach other entries once from each control process, and entries that come later while the target runs', async () => {
		const reporter = await addEntry();
		const other = await addEntry();
		for (let times = 0; times < 5; times++) {
			reporter.links.send({type: 'limits', limits: [limit]});
		}

		await sleep(300);
		expect(limitsOf(other)).toEqual([limit, limit]);
		group.get(0).report(report);
		reporter.links.send({type: 'limits', limits: [{...limit, perSecond: 3}]});
		const late = await addEntry();
		await waitUntil(() => limitsOf(late).length > 0, {timeoutMs: 2000});
		expect(limitsOf(late)[0].perSecond).toEqual(3);
	});

	it('that are malformed end their stream, and no process', async () => {
		const reporter = await addEntry();
		reporter.links.send({type: 'limits', limits: [{...limit, perSecond: 'many'}]} as unknown as UpMessage);
		await sleep(300);
		const other = await addEntry();
		other.links.send({type: 'limits', limits: [limit]});
		await waitUntil(() => limitsOf(other).length > 0, {timeoutMs: 2000});
	});

	it('that are none fail the call for a permit with one log line, and no process', async () => {
		const calls = new LinkCalls();
		const malformed = {...limit, perSecond: 'many'} as unknown as typeof limit;
		expect(await calls.call(group.addressOf(0), linkService.permit, malformed, 1000)).toEqual(undefined);
		const next = await calls.call(group.addressOf(0), linkService.permit, limit, 1000);
		expect(next?.granted).toEqual(0);
		calls.close();
		expect(group.linesOf('callFailed')).toEqual(1);
	});

	it('bring cold times to other entries, and to those that come later with what is left of them', async () => {
		const reporter = await addEntry();
		const other = await addEntry();
		const coldLeftOf = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'limits' ? message.cold ?? [] : []).map(({coldLeftMs}) => coldLeftMs);
		reporter.links.send({type: 'limits', limits: [], cold: [{targetId: 't1', bornMs: 100, coldLeftMs: 3000}]});
		await waitUntil(() => coldLeftOf(other).length === 2, {timeoutMs: 2000});
		expect(coldLeftOf(other)).toEqual([3000, 3000]);
		await sleep(300);
		const late = await addEntry();
		await waitUntil(() => coldLeftOf(late).length > 0, {timeoutMs: 2000});
		expect(coldLeftOf(late)[0]).toBeLessThan(2750);
	});

	it('are kept by one process, which gives permits at their rate', async () => {
		const calls = new LinkCalls();
		const take = async () => calls.call(group.addressOf(0), linkService.permit, limit, 1000);
		const first = await take();
		await sleep(300);
		const second = await take();
		const third = await take();
		calls.close();
		expect([first?.granted, second?.granted, third?.granted]).toEqual([0, 1, 0]);
	});
});
