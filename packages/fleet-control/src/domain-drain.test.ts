import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type DomainRegister, isFulfilled} from '@rattanspring/domain-drain';
import {LinkCalls, linkService} from '@rattanspring/fleet-link';
import {waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

/** Time after the start of all processes from which on the tolerated losses may happen. */
const completeAfterMs = 3000;

const drain = {domain: 'z1', isDrained: true};
const restore = {domain: 'z1', isDrained: false};

describe('orders about failure domains, at a group of four control processes of which one is no voter', () => {
	let group: TestGroup;
	let entries: TestEntries;

	beforeEach(async () => {
		group = await TestGroup.create({size: 4, faultTolerance: 1, failureDomainCount: 4});
		await group.startFirst();
		await sleep(completeAfterMs);
		entries = new TestEntries();
	});
	afterEach(async () => {
		entries.close();
		await group.close();
	});

	/** Sends an order to a process until it is acknowledged. */
	const order = async (index: number, request: typeof drain) => {
		await group.eventually(async () => {
			const outcome = await group.get(index).orderDomain(request, () => true);
			return outcome === 'stored' || outcome === 'alreadyStored';
		});
	};

	/** Whether the domain is drained, by a confirmed read at a process. */
	const isDrained = async (index: number) => {
		let register: DomainRegister | undefined;
		await group.eventually(async () => {
			register = await group.get(index).readDomains();
			return register !== undefined;
		});
		return isFulfilled(register!, drain);
	};

	const registersOf = ({messages}: TestEntry): DomainRegister[] => messages.flatMap(message => message.type === 'domains' ? [message.register] : []);

	/** Address of the leader, as a voter tells it. */
	const leaderIndex = async () => {
		const calls = new LinkCalls();
		const reply = await calls.call(group.addressOf(0), linkService.join, {address: group.addressOf(3)}, 1000);
		calls.close();
		return group.positions.find(index => group.addressOf(index) === reply?.leaderAddress)!;
	};

	it('are acknowledged by each process, and read at each other one', async () => {
		for (const [index, request] of [[0, drain], [3, restore], [1, drain]] as const) {
			await order(index, request);
			expect(await Promise.all(group.positions.map(async position => isDrained(position)))).toEqual(group.positions.map(() => request.isDrained));
		}
	});

	it('do nothing if they arrive at the leader after the opposite one', async () => {
		await order(0, drain);
		const calls = new LinkCalls();
		await order(2, restore);
		const leader = group.addressOf(await leaderIndex());
		const reply = await calls.call(leader, linkService.orderDomain, {...drain, baseRevision: 0}, 1000);
		calls.close();
		expect(reply).toEqual({outcome: 'overtaken'});
		expect(await isDrained(0)).toEqual(false);
	});

	it('survive the end of the leader right after the acknowledgement, and an order that it did not answer is found by the next one', async () => {
		await order(3, drain);
		const leader = await leaderIndex();
		const unanswered = group.get(leader).orderDomain(restore, () => true);
		await group.stop(leader);
		await unanswered;
		const other = group.positions.find(index => index !== leader)!;
		await order(other, restore);
		await order(other, drain);
		expect(await isDrained(3)).toEqual(true);
	});

	it('survive a loss of power of all processes, of which one has lost its disk', async () => {
		await order(1, drain);
		await group.stop(...group.positions);
		group.wipe(1);
		await Promise.all(group.positions.map(async index => group.start(index)));
		expect(await isDrained(1)).toEqual(true);
		const late = await entries.add([group.addressOf(1)]);
		await waitUntil(() => registersOf(late).some(register => isFulfilled(register, drain)), {timeoutMs: 5000});
	});

	it('are not acknowledged without a quorum, and say whether they may still take effect', async () => {
		await group.replace(0, 1);
		await group.stop(1, 2, 3);
		expect(await group.get(0).orderDomain(drain, () => true)).toEqual('notProposed');
	});

	it('reach each entry once from each control process that it follows, and before the version for those that come later', async () => {
		await group.replace(0, 1);
		const addresses = group.positions.map(index => group.addressOf(index));
		const followers = await Promise.all(Array.from({length: 5}, async () => entries.add(addresses)));
		await waitUntil(() => followers.every(entry => registersOf(entry).length >= 3), {timeoutMs: 5000});
		const before = followers.map(entry => registersOf(entry).length);
		await order(0, drain);
		await waitUntil(() => followers.every((entry, index) => registersOf(entry).length >= before[index] + addresses.length), {timeoutMs: 5000});
		await sleep(300);
		expect(followers.map((entry, index) => registersOf(entry).length - before[index])).toEqual(followers.map(() => addresses.length));
		const late = await entries.add([group.addressOf(0)]);
		await waitUntil(() => late.messages.some(({type}) => type === 'version'), {timeoutMs: 2000});
		const types = late.messages.map(({type}) => type);
		expect(types.indexOf('domains')).toBeLessThan(types.indexOf('version'));
		expect(types.includes('domains')).toEqual(true);
	});
});
