import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import type {TargetReport} from '@rattanspring/target-table';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

const statesAt = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'targets' ? message.reports.map(({state}) => state) : []);

describe('the end of a lifetime', () => {
	let group: TestGroup;
	let entries: TestEntries;

	beforeEach(async () => {
		group = await TestGroup.create({size: 3, faultTolerance: 1, failureDomainCount: 3});
		await group.startFirst();
		entries = new TestEntries();
	});
	afterEach(async () => {
		entries.close();
		await group.close();
	});

	it('does not leave its target ready at the control process that got its last report', async () => {
		const followers = await Promise.all([0, 1].map(async position => entries.add([group.addressOf(position)])));
		group.get(0).report(report);
		await waitUntil(() => followers.every(entry => statesAt(entry).includes('ready')), {timeoutMs: 4000});
		group.get(1).report({...report, sequence: 5});
		expect(group.get(0).deregister({targetId: report.targetId, bornMs: report.bornMs})).toEqual(true);
		await waitUntil(() => followers.every(entry => statesAt(entry).includes('gone')), {timeoutMs: 4000});
		const restarted = await entries.add([group.addressOf(1)]);
		await waitUntil(() => statesAt(restarted).length > 0, {timeoutMs: 4000});
		expect(statesAt(restarted)).toEqual(['gone']);
	});

	it('is not acknowledged if it names no lifetime and the target is not known', () => {
		expect(group.get(0).deregister({targetId: report.targetId})).toEqual(false);
		expect(group.get(0).deregister({targetId: report.targetId, bornMs: report.bornMs})).toEqual(true);
	});
});
