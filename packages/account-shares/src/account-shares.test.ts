import {describe, it} from 'node:test';
import {InProgressOrder, type QueuedCandidate, type QueueOrder} from '@rattanspring/placement';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {
	fairShares, maxNamedAccounts, otherAccounts, readAccountUses, ShareOrder, ShareTable, UseRecord, UseSums,
} from './index.js';

const service = 's';

describe('fairShares', () => {
	it('gives all of it to who asks for less than a share, and divides the rest', () => {
		const shares = fairShares([{account: 'a', asked: 1, weight: 1}, {account: 'b', asked: 10, weight: 1}, {account: 'c', asked: 10, weight: 1}], 9);
		expect(Object.fromEntries(shares)).toEqual({a: 1, b: 4, c: 4});
	});

	it('follows the weights, and never gives more than is asked for', () => {
		const shares = fairShares([{account: 'a', asked: 10, weight: 3}, {account: 'b', asked: 10, weight: 1}], 8);
		expect(Object.fromEntries(shares)).toEqual({a: 6, b: 2});
		expect(Object.fromEntries(fairShares([{account: 'a', asked: 2, weight: 1}], 8))).toEqual({a: 2});
		expect(fairShares([], 8).size).toEqual(0);
	});
});

describe('UseRecord and UseSums', () => {
	it('forget what is older than their window', () => {
		const record = new UseRecord();
		record.recordAsked({service, account: 'a', work: 2}, 0);
		record.recordAdmitted({service, account: 'a', work: 2}, 0);
		expect(record.uses(3999)).toEqual([{
			service, account: 'a', asked: 2, admitted: 2,
		}]);
		expect(record.uses(4500)).toEqual([]);
		const sums = new UseSums();
		sums.set('e1', [{
			service, account: 'a', asked: 2, admitted: 1,
		}], 0);
		sums.set('e2', [{
			service, account: 'a', asked: 3, admitted: 3,
		}], 1000);
		expect(sums.sums(2000)).toEqual([{
			service, account: 'a', asked: 5, admitted: 4,
		}]);
		expect(sums.sums(3500)[0].asked).toEqual(3);
	});

	it('keep their size however many accounts there are, and lose nothing of the sums', () => {
		const record = new UseRecord();
		for (let index = 0; index < 1000; index++) {
			record.recordAsked({service, account: `a${index}`, work: index < 5 ? 100 : 1}, 0);
		}

		const uses = record.uses(1);
		expect(uses.length).toEqual(maxNamedAccounts + 1);
		expect(uses.reduce((sum, {asked}) => sum + asked, 0)).toEqual(1495);
		expect(uses.find(({account}) => account === otherAccounts)!.asked > 900).toEqual(true);
	});

	for (const value of [undefined, null, 'x', [null], [{
		service, account: 'a', asked: -1, admitted: 0,
	}], [{
		service, account: 5, asked: 1, admitted: 0,
	}], [{service, account: 'a', asked: 1}]]) {
		it(`reject ${JSON.stringify(value)} as uses`, () => {
			expect(() => readAccountUses(value)).toThrow(TypeError);
		});
	}
});

/** Requests of an account, and the waits of those that were served. */
type Outcome = {asked: number; served: number; readonly waitsMs: number[]};
type TestEntry = {readonly table: ShareTable; readonly record: UseRecord; queue: QueuedCandidate[]; readonly order: QueueOrder};
type Play = {readonly flood: number; readonly isFloodAtOneEntry?: boolean; readonly orderOf: (table: ShareTable) => QueueOrder};

const entryCount = 24;
const accountCount = 24;
const tickMs = 10;
const slots = 128;
const serviceMs = 1000;
const maxWaitMs = 60;
const refreshMs = 1000;
const countedFromMs = 8000;
const endMs = 20_000;

/** Passes on the figures of all entries, as control processes do. */
function refresh(entries: readonly TestEntry[], nowMs: number): void {
	const sums = new UseSums();
	for (const [index, {record}] of entries.entries()) {
		sums.set(`e${index}`, record.uses(nowMs), nowMs);
	}

	for (const {table, record} of entries) {
		table.setTotals(sums.sums(nowMs), nowMs);
		table.update(record.uses(nowMs), nowMs);
	}
}

/**
Entries that share the slots of a fleet. Each of the accounts asks for two thirds of its part of the room; from 5 s on the first one asks for `flood` times as much, at
all entries or at the first one only. A request that waits for too long is refused.
*/
function play({flood, isFloodAtOneEntry = false, orderOf}: Play): Map<string, Outcome> {
	const random = seededRandom(3);
	const outcomes = new Map(Array.from({length: accountCount}, (_, index) => [`a${index}`, {asked: 0, served: 0, waitsMs: [] as number[]}]));
	const entries = Array.from({length: entryCount}, (): TestEntry => {
		const table = new ShareTable();
		return {
			table, record: new UseRecord(), queue: [], order: orderOf(table),
		};
	});
	const running = new Set<number>();
	const perTick = slots / serviceMs * tickMs / accountCount * 2 / 3;
	for (let nowMs = 0; nowMs < endMs; nowMs += tickMs) {
		if (nowMs % refreshMs === 0) {
			refresh(entries, nowMs);
		}

		for (const [accountName, outcome] of outcomes) {
			const isFlooding = accountName === 'a0' && nowMs >= 5000;
			for (let left = perTick * (isFlooding ? flood : 1); left > 0; left--) {
				if (random() < left) {
					const entry = entries[isFlooding && isFloodAtOneEntry ? 0 : Math.floor(random() * entryCount)];
					entry.record.recordAsked({service, account: accountName, work: 1}, nowMs);
					entry.queue.push({isLate: false, request: requestOf(accountName, nowMs)});
					outcome.asked += nowMs >= countedFromMs ? 1 : 0;
				}
			}
		}

		for (const endAtMs of running) {
			if (endAtMs <= nowMs) {
				running.delete(endAtMs);
			}
		}

		for (const entry of entries) {
			entry.queue.sort((left, right) => entry.order.compare(left, right, nowMs));
			entry.queue = entry.queue.filter(candidate => {
				const {accountName, arrivedAtMs} = candidate.request;
				if (running.size >= slots * (1 - entry.order.reserveFor(candidate, nowMs))) {
					return nowMs - arrivedAtMs < maxWaitMs;
				}

				running.add(nowMs + (serviceMs * (0.5 + random())));
				entry.record.recordAdmitted({service, account: accountName, work: 1}, nowMs);
				if (nowMs >= countedFromMs) {
					outcomes.get(accountName)!.served++;
					outcomes.get(accountName)!.waitsMs.push(nowMs - arrivedAtMs);
				}

				return false;
			});
		}
	}

	return outcomes;
}

function requestOf(accountName: string, arrivedAtMs: number): QueuedCandidate['request'] {
	return {
		service, priority: 1, accountName, arrivedAtMs, objectiveMs: 500, deadlineAtMs: arrivedAtMs + 8000,
	};
}

const byShares = (table: ShareTable) => new ShareOrder(table);
const byRequestsInProgress = () => new InProgressOrder(() => 0);

function servedShareOf(outcomes: Map<string, Outcome>, isFlooding: boolean): number {
	const chosen = [...outcomes].filter(([name]) => (name === 'a0') === isFlooding).map(([, outcome]) => outcome);
	return chosen.reduce((sum, {served}) => sum + served, 0) / chosen.reduce((sum, {asked}) => sum + asked, 0);
}

function p99WaitMs(outcomes: Map<string, Outcome>): number {
	const waits = [...outcomes].filter(([name]) => name !== 'a0').flatMap(([, {waitsMs}]) => waitsMs).toSorted((left, right) => left - right);
	return waits[Math.floor(waits.length * 0.99)];
}

describe('ShareOrder', () => {
	for (const isFloodAtOneEntry of [false, true]) {
		it(`keeps a flood of one account ${isFloodAtOneEntry ? 'behind one entry' : 'at all entries'} from the others`, () => {
			const calm = play({flood: 1, orderOf: byShares});
			const flooded = play({flood: 25, isFloodAtOneEntry, orderOf: byShares});
			expect(servedShareOf(flooded, false) >= 0.9 * servedShareOf(calm, false)).toEqual(true);
			// A first event takes some 250 ms from the time at which its request is sent.
			expect(250 + p99WaitMs(flooded) <= 1.5 * (250 + p99WaitMs(calm))).toEqual(true);
			for (const [name, {asked, served}] of flooded) {
				expect(name === 'a0' || served / asked >= 0.5 * servedShareOf(flooded, false)).toEqual(true);
			}
		});
	}

	it('lets the flooding account use the room that the others leave', () => {
		const flooded = play({flood: 25, orderOf: byShares});
		const served = [...flooded.values()].reduce((sum, outcome) => sum + outcome.served, 0);
		expect(served >= 0.9 * slots * (endMs - countedFromMs) / serviceMs).toEqual(true);
	});

	it('is needed: without it the flood takes room from the others', () => {
		const calm = play({flood: 1, orderOf: byRequestsInProgress});
		const flooded = play({flood: 25, orderOf: byRequestsInProgress});
		expect(servedShareOf(flooded, false) < 0.9 * servedShareOf(calm, false)).toEqual(true);
	});

	it('goes by its own figures while no sums come, and lets none wait for ever', () => {
		const table = new ShareTable();
		const record = new UseRecord();
		for (let index = 0; index < 20; index++) {
			record.recordAsked({service, account: index < 18 ? 'big' : `small${index}`, work: 1}, 0);
			record.recordAdmitted({service, account: index < 8 ? 'big' : `small${Math.max(18, index)}`, work: index < 8 || index >= 18 ? 1 : 0}, 0);
		}

		table.setTotals([{
			service, account: 'big', asked: 1, admitted: 1,
		}], 0);
		table.update(record.uses(10), 10);
		expect(table.excessOf(service, 'big')).toEqual(0);
		table.update([...record.uses(10), {
			service, account: 'small', asked: 9, admitted: 0,
		}], 4000);
		expect(table.excessOf(service, 'big') > 0).toEqual(true);
		const candidate = (accountName: string, arrivedAtMs: number): QueuedCandidate => ({isLate: false, request: requestOf(accountName, arrivedAtMs)});
		const order = new ShareOrder(table);
		expect(order.compare(candidate('big', 0), candidate('small', 10), 20) > 0).toEqual(true);
		expect(order.compare(candidate('big', 0), candidate('small', 10), 600) < 0).toEqual(true);
	});
});
