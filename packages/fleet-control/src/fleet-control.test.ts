import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
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
import {FleetControl, replacedBy, surplusVoter} from './index.js';

/** Time for a group of processes to settle. */
const settleTimeoutMs = 15_000;

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(): void {
		throw new Error('the storage failed');
	}
}

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

describe('a group of control processes', () => {
	let folder: string;
	let addresses: string[];
	const running = new Map<number, FleetControl>();

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'fleet-control-'));
		const ports = await freePorts(4);
		addresses = ports.map(port => `127.0.0.1:${port}`);
	});
	afterEach(async () => {
		await Promise.all([...running.keys()].map(async index => stop(index)));
		await rm(folder, {recursive: true, force: true});
	});
	async function start(index: number, isFirstStart: boolean): Promise<void> {
		const control = new FleetControl({
			nodeId: `n${index}`,
			failureDomain: 'a',
			linkAddress: addresses[index],
			dataFolder: path.join(folder, `disk-${index}`),
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

	/** The version that a member confirms to be the newest. */
	async function confirmedVersion(index: number): Promise<number | undefined> {
		let version: number | undefined;
		await eventually(async () => {
			const {isConfirmed, document} = await running.get(index)!.read();
			version = document?.version;
			return isConfirmed;
		});
		return version;
	}

	it('forms itself from the seeds, and every member reads what any of them acknowledged', async () => {
		await form();
		await replace(7);
		expect(await Promise.all([0, 1, 2].map(async index => confirmedVersion(index)))).toEqual([7, 7, 7]);
	});

	it('acknowledges a resend, changes nothing for a lower version, and refuses other content under the version held', async () => {
		await form();
		await replace(7);
		const control = running.get(1)!;
		expect(await control.replace({version: 7, text: 'document 7'})).toEqual('alreadyStored');
		expect(await control.replace({version: 6, text: 'late'})).toEqual('overtaken');
		expect(await control.replace({version: 7, text: 'other'})).toEqual('conflict');
		expect(await confirmedVersion(2)).toEqual(7);
	});

	it('has what it acknowledged after all members stopped and came back', async () => {
		await form();
		await replace(7);
		await Promise.all([0, 1, 2].map(async index => stop(index)));
		await Promise.all([0, 1, 2].map(async index => start(index, false)));
		expect(await confirmedVersion(0)).toEqual(7);
	});

	it('confirms nothing and acknowledges nothing without a majority', async () => {
		await form();
		await replace(7);
		await stop(0);
		await stop(1);
		const control = running.get(2)!;
		const read = await control.read();
		expect(read.isConfirmed).toEqual(false);
		expect(await control.replace({version: 8, text: 'alone'})).toEqual(undefined);
	});

	it('takes a member back that lost its disk, and survives the loss of another one right after', async () => {
		await form();
		await replace(7);
		await stop(2);
		await rm(path.join(folder, 'disk-2'), {recursive: true});
		await replace(8);
		await start(2, false);
		await eventually(async () => running.get(2)!.isVoter);
		expect(await confirmedVersion(2)).toEqual(8);
		await stop(0);
		await replace(9);
		expect(await confirmedVersion(2)).toEqual(9);
	});

	it('lets a newcomer at another address replace a member that is gone', async () => {
		await form();
		await replace(7);
		await stop(2);
		await start(3, false);
		await eventually(async () => running.get(3)!.isVoter);
		await stop(1);
		await replace(8);
		expect(await confirmedVersion(3)).toEqual(8);
	});

	it('tells a follower of a target that leaves before it acknowledges that', async () => {
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
			onState: () => undefined,
		});
		await eventually(async () => client.isUp);
		const control = running.get(0)!;
		control.report(report);
		await eventually(async () => states.includes('ready'));
		control.report({...report, sequence: 5, state: 'draining'});
		await eventually(async () => states.includes('draining'));
		control.deregister('t1');
		await eventually(async () => states.includes('gone'));
		client.close();
	});
});

describe('replacedBy', () => {
	const membership = {voters: [{voterId: 'a.1', address: 'A'}, {voterId: 'b.1', address: 'B'}, {voterId: 'c.1', address: 'C'}], learners: []};

	it('replaces the earlier identity of the same address at once', () => {
		expect(replacedBy({membership, newcomer: {voterId: 'b.2', address: 'B'}, silentMsOf: () => 0})).toEqual('b.1');
	});

	it('replaces the voter that was silent longest, and none while all are heard', () => {
		const newcomer = {voterId: 'd.1', address: 'D'};
		const silentMs = new Map([['a.1', 0], ['b.1', 9000], ['c.1', 3000]]);
		expect(replacedBy({membership, newcomer, silentMsOf: () => 100})).toEqual(undefined);
		expect(replacedBy({membership, newcomer, silentMsOf: id => silentMs.get(id)!})).toEqual('b.1');
	});
});

describe('surplusVoter', () => {
	const voters = ['a', 'b', 'c', 'd'].map(name => ({voterId: name, address: name}));

	it('removes a voter that stays away only where the group has more than its size', () => {
		const silentMsOf = (id: string) => id === 'c' ? 9000 : 0;
		expect(surplusVoter({voters, learners: []}, 3, silentMsOf)).toEqual('c');
		expect(surplusVoter({voters: voters.slice(0, 3), learners: []}, 3, silentMsOf)).toEqual(undefined);
		expect(surplusVoter({voters, learners: []}, 3, () => 10)).toEqual(undefined);
	});
});

async function eventually(condition: () => Promise<boolean>): Promise<void> {
	await waitUntil(condition, {timeoutMs: settleTimeoutMs, pollMs: 30});
}
