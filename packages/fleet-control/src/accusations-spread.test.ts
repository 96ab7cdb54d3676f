import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {UpMessage} from '@rattanspring/fleet-link';
import type {Accusation} from '@rattanspring/outlier-ejection';
import type {TargetReport} from '@rattanspring/target-table';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

const accusation: Accusation = {
	targetId: 't1', bornMs: 100, entry: 'entry-0', kind: 'failed', timeLeftMs: 10_000,
};

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

describe('accusations of targets', () => {
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

	const accusationsOf = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'accusations' ? message.accusations : []);

	it('reach other entries once from each control process, and entries that come later with the time that is left', async () => {
		const reporter = await addEntry();
		const other = await addEntry();
		for (let times = 0; times < 5; times++) {
			reporter.links.send({type: 'accusations', accusations: [accusation]});
		}

		await sleep(300);
		expect(accusationsOf(other)).toEqual([accusation, accusation]);
		group.get(0).report(report);
		const late = await addEntry();
		await waitUntil(() => accusationsOf(late).length > 0, {timeoutMs: 2000});
		expect(accusationsOf(late)[0].timeLeftMs).toBeLessThan(9800);
	});

	it('are bounded by entry and second, and the others\' get through', async () => {
		const reporter = await addEntry();
		const other = await addEntry();
		for (let index = 0; index < 50; index++) {
			reporter.links.send({type: 'accusations', accusations: [{...accusation, targetId: `t${index}`}]});
		}

		reporter.links.send({type: 'accusations', accusations: [{...accusation, entry: 'entry-9'}]});
		await sleep(300);
		const accused = accusationsOf(other);
		expect(new Set(accused.filter(({entry}) => entry === 'entry-0').map(({targetId}) => targetId)).size).toEqual(5);
		expect(accused.filter(({entry}) => entry === 'entry-9').length).toEqual(2);
	});

	it('that are malformed end their stream, and no process', async () => {
		const reporter = await addEntry();
		reporter.links.send({type: 'accusations', accusations: [{...accusation, kind: 'odd'}]} as unknown as UpMessage);
		await sleep(300);
		const other = await addEntry();
		other.links.send({type: 'accusations', accusations: [accusation]});
		await waitUntil(() => accusationsOf(other).length > 0, {timeoutMs: 2000});
	});
});
