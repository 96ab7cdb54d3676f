import {describe, it} from 'node:test';
import type {EntryAnnouncement} from '@rattanspring/types';
import {expect} from 'earl';
import {
	applyToLeaseTable, chooseEntries, emptyLeaseTable, expireLeaseTable,
} from './index.js';

const entries = emptyLeaseTable<EntryAnnouncement>();

function announce(index: number, state: 'serving' | 'leaving', sequence: number): void {
	const daemonId = `entry-${index}`;
	const announcement: EntryAnnouncement = {
		daemonId, incarnation: 1, sequence, url: `http://10.0.0.${index}`, failureDomain: index < 4 ? 'domain-a' : 'domain-b', state, leaseMs: 1000,
	};
	applyToLeaseTable(entries, {
		name: daemonId, announcement, ageMs: 0, nowMs: 0,
	});
}

describe('addresses for callers', () => {
	for (let index = 0; index < 8; index++) {
		announce(index, 'serving', 1);
	}

	it('start with the nearest failure domain and are distributed over its entries', () => {
		const first = new Map<string, number>();
		for (let account = 0; account < 400; account++) {
			const chosen = chooseEntries({entries, caller: `account-${account}`, failureDomain: 'domain-a'});
			expect(chosen.map(entry => entry.failureDomain)).toEqual(['domain-a', 'domain-a', 'domain-a', 'domain-a']);
			first.set(chosen[0].daemonId, (first.get(chosen[0].daemonId) ?? 0) + 1);
		}

		expect(first.size).toEqual(4);
		expect([...first.values()].every(count => count > 50 && count < 150)).toEqual(true);
	});

	it('exclude an entry that is leaving and one whose lease has expired', () => {
		announce(0, 'leaving', 2);
		const chosen = chooseEntries({entries, caller: 'account-1', failureDomain: 'domain-a'});
		expect(chosen.some(entry => entry.daemonId === 'entry-0')).toEqual(false);
		expect(chosen.at(-1)?.failureDomain).toEqual('domain-b');
		expireLeaseTable(entries, 1001);
		expect(chooseEntries({entries, caller: 'account-1', failureDomain: 'domain-a'})).toEqual([]);
	});
});
