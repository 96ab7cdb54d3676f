import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {AccountUse} from '@rattanspring/account-shares';
import type {UpMessage} from '@rattanspring/fleet-link';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

const use: AccountUse = {
	service: 's', account: 'a', asked: 5, admitted: 3,
};

describe('uses of client accounts', () => {
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

	const totalsOf = ({messages}: TestEntry) => messages.flatMap(message => message.type === 'useTotals' ? [message.uses] : []);

	it('that entries tell different control processes reach all entries as one sum', async () => {
		const tellers = [await addEntry(), await addEntry(), await addEntry()];
		for (const [index, teller] of tellers.entries()) {
			teller.links.send({type: 'use', nodeId: `entry-${index}`, uses: [use]}, group.addressOf(index % 2));
		}

		await waitUntil(() => tellers.every(teller => totalsOf(teller).some(([total]) => total?.asked === 15 && total.admitted === 9)), {timeoutMs: 4000});
	});

	it('are one message a second at an entry, however many entries tell them', async () => {
		const tellers = await Promise.all(Array.from({length: 8}, async () => addEntry()));
		const tell = setInterval(() => {
			for (const [index, teller] of tellers.entries()) {
				teller.links.send({type: 'use', nodeId: `entry-${index}`, uses: [use]}, group.addressOf(index % 2));
			}
		}, 500);
		await sleep(1500);
		const before = tellers.map(teller => totalsOf(teller).length);
		await sleep(2000);
		clearInterval(tell);
		const counts = tellers.map((teller, index) => totalsOf(teller).length - before[index]);
		expect(Math.max(...counts) <= 3).toEqual(true);
		expect(Math.min(...counts) >= 1).toEqual(true);
	});

	it('that are malformed end their stream, and no process', async () => {
		const teller = await addEntry();
		teller.links.send({type: 'use', nodeId: 'entry-0', uses: [{...use, asked: 'many'}]} as unknown as UpMessage, group.addressOf(0));
		await sleep(300);
		const other = await addEntry();
		other.links.send({type: 'use', nodeId: 'entry-1', uses: [use]}, group.addressOf(0));
		await waitUntil(() => totalsOf(other).some(([total]) => total?.asked === 5), {timeoutMs: 4000});
	});
});
