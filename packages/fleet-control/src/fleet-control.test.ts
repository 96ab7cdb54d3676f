import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {LinkClient} from '@rattanspring/fleet-link';
import {FatalErrorHandler} from '@rattanspring/log-storage';
import {SilentLogger} from '@rattanspring/logger';
import type {TargetReport} from '@rattanspring/target-table';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {SystemClock} from '@rattanspring/voter-group';
import {expect} from 'earl';
import {TestDisk} from './test-disk.js';
import {
	FleetControl, groupSizes, namedLeader, nextLearner, staleLearner, surplusVoter, voterToReplace,
} from './index.js';

/** Timeout for a group of processes to reach an expected state. */
const settleTimeoutMs = 15_000;

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(): void {
		throw new Error('unexpected storage failure');
	}
}

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

describe('a group of control processes', () => {
	let disks: TestDisk[];
	let addresses: string[];
	const running = new Map<number, FleetControl>();

	beforeEach(async () => {
		const ports = await freePorts(4);
		disks = ports.map(() => new TestDisk());
		addresses = ports.map(port => `127.0.0.1:${port}`);
	});
	afterEach(async () => {
		await Promise.all([...running.keys()].map(async index => stop(index)));
	});
	async function start(index: number, isFirstStart: boolean): Promise<void> {
		const control = new FleetControl({
			nodeId: `n${index}`,
			failureDomain: 'a',
			linkAddress: addresses[index],
			dataFolder: '/data',
			fileSystem: disks[index],
			seeds: () => addresses.slice(0, 3),
			isFirstStart,
			clock: new SystemClock(),
			logger: new SilentLogger(),
			fatalErrorHandler: new ThrowingFatalErrorHandler(),
		});
		running.set(index, control);
		await control.start();
	}

	async function stop(index: number): Promise<void> {
		const control = running.get(index);
		running.delete(index);
		await control?.stop();
	}

	async function form(): Promise<void> {
		await Promise.all([0, 1, 2].map(async index => start(index, true)));
	}

	async function replace(version: number): Promise<void> {
		await eventually(async () => {
			for (const control of running.values()) {
				const outcome = await control.replace({version, text: `document ${version}`});
				if (outcome !== undefined) {
					return true;
				}
			}

			return false;
		});
	}

	/** Version of the document that a linearizable read at a member returns. */
	async function confirmedVersion(index: number): Promise<number | undefined> {
		let version: number | undefined;
		await eventually(async () => {
			const {isConfirmed, document} = await running.get(index)!.read();
			version = document?.version;
			return isConfirmed;
		});
		return version;
	}

	it('is formed from the seeds, and every member reads a document acknowledged by any of them', async () => {
		await form();
		await replace(7);
		expect(await Promise.all([0, 1, 2].map(async index => confirmedVersion(index)))).toEqual([7, 7, 7]);
	});

	it('acknowledges a duplicate, ignores a lower version, and rejects different content under the current version', async () => {
		await form();
		await replace(7);
		const control = running.get(1)!;
		expect(await control.replace({version: 7, text: 'document 7'})).toEqual('alreadyStored');
		expect(await control.replace({version: 6, text: 'late'})).toEqual('overtaken');
		expect(await control.replace({version: 7, text: 'other'})).toEqual('conflict');
		expect(await confirmedVersion(2)).toEqual(7);
	});

	it('retains acknowledged documents after all members restart', async () => {
		await form();
		await replace(7);
		await Promise.all([0, 1, 2].map(async index => stop(index)));
		await Promise.all([0, 1, 2].map(async index => start(index, false)));
		expect(await confirmedVersion(0)).toEqual(7);
	});

	it('confirms no read and acknowledges no write without a quorum', async () => {
		await form();
		await replace(7);
		await stop(0);
		await stop(1);
		const control = running.get(2)!;
		const read = await control.read();
		expect(read.isConfirmed).toEqual(false);
		expect(await control.replace({version: 8, text: 'alone'})).toEqual(undefined);
	});

	it('readmits a member that lost its disk, and tolerates the loss of another member right after', async () => {
		await form();
		await replace(7);
		await stop(2);
		disks[2] = new TestDisk();
		await replace(8);
		await start(2, false);
		await eventually(async () => running.get(2)!.isVoter);
		expect(await confirmedVersion(2)).toEqual(8);
		await stop(0);
		await replace(9);
		expect(await confirmedVersion(2)).toEqual(9);
	});

	it('replaces a lost member by a new member at another address', async () => {
		await form();
		await replace(7);
		await stop(2);
		await start(3, false);
		await eventually(async () => running.get(3)!.isVoter);
		await stop(1);
		await replace(8);
		expect(await confirmedVersion(3)).toEqual(8);
	});

	it('broadcasts the state changes of a target to followers, including its deregistration', async () => {
		await form();
		const states: string[] = [];
		const client = new LinkClient({
			address: addresses[0],
			nowMs: () => performance.now(),
			card: () => ({
				nodeId: 'e', role: 'entry', failureDomain: 'a', isLeaving: false,
			}),
			onMessage(message) {
				if (message.type === 'targets') {
					states.push(...message.reports.map(({state}) => state));
				}
			},
			onConnectionChange: () => undefined,
		});
		await eventually(async () => client.isConnected);
		const control = running.get(0)!;
		control.report(report);
		await eventually(async () => states.includes('ready'));
		control.report({...report, sequence: 5, state: 'draining'});
		await eventually(async () => states.includes('draining'));
		control.deregister({targetId: 't1', bornMs: report.bornMs});
		await eventually(async () => states.includes('gone'));
		client.close();
	});

	it('tells followers of a lifetime that has ended before its first report arrives', async () => {
		await form();
		const leaving: number[] = [];
		const states: string[] = [];
		const client = new LinkClient({
			address: addresses[0],
			nowMs: () => performance.now(),
			card: () => ({
				nodeId: 'e', role: 'entry', failureDomain: 'a', isLeaving: false,
			}),
			onMessage(message) {
				if (message.type === 'targets') {
					states.push(...message.reports.map(({state}) => state));
				} else if (message.type === 'leaving') {
					leaving.push(...message.targets.map(({bornMs}) => bornMs));
				}
			},
			onConnectionChange: () => undefined,
		});
		await eventually(async () => client.isConnected);
		const control = running.get(0)!;
		control.deregister({targetId: 't1', bornMs: report.bornMs});
		control.report(report);
		await eventually(async () => states.length > 0);
		client.close();
		expect(leaving).toEqual([report.bornMs]);
	});
});

describe('voterToReplace', () => {
	const membership = {voters: [{voterId: 'a.1', address: 'A'}, {voterId: 'b.1', address: 'B'}, {voterId: 'c.1', address: 'C'}], learners: []};

	it('replaces the previous identity of the same address at once', () => {
		expect(voterToReplace({membership, newMember: {voterId: 'b.2', address: 'B'}, silentMsOf: () => 0})).toEqual('b.1');
	});

	it('replaces the voter that has been unreachable longest, and none while all are reachable', () => {
		const newMember = {voterId: 'd.1', address: 'D'};
		const silentMs = new Map([['a.1', 0], ['b.1', 9000], ['c.1', 3000]]);
		expect(voterToReplace({membership, newMember, silentMsOf: () => 100})).toEqual(undefined);
		expect(voterToReplace({membership, newMember, silentMsOf: id => silentMs.get(id)!})).toEqual('b.1');
	});
});

describe('surplusVoter', () => {
	const voters = ['a', 'b', 'c', 'd'].map(name => ({voterId: name, address: name}));

	it('removes an unreachable voter only if the group has more voters than its size', () => {
		const silentMsOf = (id: string) => id === 'c' ? 9000 : 0;
		expect(surplusVoter({voters, learners: []}, 3, silentMsOf)).toEqual('c');
		expect(surplusVoter({voters: voters.slice(0, 3), learners: []}, 3, silentMsOf)).toEqual(undefined);
		expect(surplusVoter({voters, learners: []}, 3, () => 10)).toEqual(undefined);
	});
});

describe('groupSizes', () => {
	it('leaves a quorum after the tolerated losses, and neither shrinks nor removes voters for fewer seeds', () => {
		expect(groupSizes({faultTolerance: 2, seedCount: 3})).toEqual({desired: 5, kept: 5});
		expect(groupSizes({faultTolerance: 2, seedCount: 1})).toEqual({desired: 5, kept: 5});
		expect(groupSizes({faultTolerance: 1, seedCount: 3})).toEqual({desired: 3, kept: 3});
		expect(groupSizes({faultTolerance: 0, seedCount: 1})).toEqual({desired: 1, kept: 3});
	});
});

describe('nextLearner', () => {
	const voter = (name: string) => ({voterId: `${name}.1`, address: name});
	const membership = {voters: ['a1', 'b1', 'c1'].map(name => voter(name)), learners: []};
	const input = {
		membership, size: 5, silentMsOf: () => 0, failureDomainOf: (address: string) => address[0],
	};

	it('adds processes in pairs, so that the number of voters does not stay even', () => {
		expect(nextLearner({...input, candidates: [voter('a2')]})).toEqual(undefined);
		expect(nextLearner({...input, candidates: [voter('a2'), voter('b2')]})).toEqual(voter('a2'));
		const withLearner = {...membership, learners: [voter('a2')]};
		expect(nextLearner({...input, membership: withLearner, candidates: [voter('a2'), voter('b2')]})).toEqual(voter('b2'));
		const four = {voters: [...membership.voters, voter('a2')], learners: []};
		expect(nextLearner({...input, membership: four, candidates: [voter('b2')]})).toEqual(voter('b2'));
	});

	it('adds none to a complete group, and prefers failure domains with the fewest members', () => {
		const candidates = [voter('a2'), voter('b2'), voter('d1')];
		expect(nextLearner({...input, size: 3, candidates})).toEqual(undefined);
		expect(nextLearner({...input, candidates})).toEqual(voter('d1'));
	});

	it('first replaces the previous identity of an address, then an unreachable voter', () => {
		const returned = {voterId: 'b1.2', address: 'b1'};
		expect(nextLearner({...input, size: 3, candidates: [voter('d1'), returned]})).toEqual({...returned, replaces: 'b1.1'});
		const silentMsOf = (voterId: string) => voterId === 'c1.1' ? 9000 : 0;
		expect(nextLearner({
			...input, size: 3, silentMsOf, candidates: [voter('d1')],
		})).toEqual({...voter('d1'), replaces: 'c1.1'});
	});
});

describe('namedLeader', () => {
	const answer = (address: string, leaderAddress?: string) => ({address, reply: {isMember: false, leaderAddress}});

	it('prefers a process that calls itself the leader to one that others name', () => {
		expect(namedLeader([answer('a', 'x'), answer('b', 'x'), answer('c', 'c')], new Set())).toEqual('c');
		expect(namedLeader([answer('a', 'x'), {address: 'b', reply: undefined}], new Set())).toEqual('x');
	});

	it('does not return to a process that was just asked in vain, or to the asking one', () => {
		expect(namedLeader([answer('a', 'x'), answer('b', 'own')], new Set(['own', 'x']))).toEqual(undefined);
	});
});

describe('staleLearner', () => {
	const learners = [{voterId: 'a.1', address: 'a'}, {voterId: 'b.1', address: 'b'}, {voterId: 'a.2', address: 'a'}];

	it('removes a learner whose address has joined under a newer identity, or that is unreachable', () => {
		expect(staleLearner({voters: [], learners}, () => 0)).toEqual('a.1');
		expect(staleLearner({voters: [], learners: learners.slice(1)}, () => 0)).toEqual(undefined);
		expect(staleLearner({voters: [], learners: learners.slice(1)}, voterId => voterId === 'b.1' ? 9000 : 0)).toEqual('b.1');
	});
});

async function eventually(condition: () => Promise<boolean>): Promise<void> {
	await waitUntil(condition, {timeoutMs: settleTimeoutMs, pollMs: 30});
}
