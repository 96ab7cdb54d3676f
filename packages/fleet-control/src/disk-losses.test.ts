import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {TestGroup, type TestGroupOptions} from './test-group.js';

/** Time after the start of all processes from which on the tolerated losses may happen. */
const completeAfterMs = 3000;

/** Time after which the place of a stopped voter has been taken. */
const replacedAfterMs = 5000;

const oneOfFour: TestGroupOptions = {size: 4, faultTolerance: 1, failureDomainCount: 4};

const twoOfSix: TestGroupOptions = {size: 6, faultTolerance: 2, failureDomainCount: 3};

let group: TestGroup;

async function startGroup(options: TestGroupOptions): Promise<void> {
	group = await TestGroup.create(options);
	await group.startFirst();
	await sleep(completeAfterMs);
}

/** Versions that confirmed reads at all processes return. */
async function confirmedVersions(): Promise<Array<number | undefined>> {
	return Promise.all(group.positions.map(async index => group.confirmedVersion(index)));
}

/** Two of six processes return without their disks after the first of them has acknowledged a document. */
async function losesDisks(first: number, second: number): Promise<void> {
	await startGroup(twoOfSix);
	await group.replace(first, 7);
	await group.stop(first, second);
	group.wipe(first, second);
	await Promise.all([first, second].map(async index => group.start(index)));
	expect(await confirmedVersions()).toEqual([7, 7, 7, 7, 7, 7]);
}

describe('an acknowledged document survives the loss of as many disks at once as the fault tolerance allows', () => {
	afterEach(async () => {
		await group.close();
	});

	it('two of six: the first two seeds', async () => losesDisks(0, 1));

	it('two of six: the last two seeds', async () => losesDisks(1, 2));

	it('two of six: the first and the last seed', async () => losesDisks(0, 2));

	it('two of six, while all other processes restart', async () => {
		await startGroup(twoOfSix);
		await group.replace(0, 7);
		await group.stop(...group.positions);
		group.wipe(0, 2);
		await Promise.all(group.positions.map(async index => group.start(index)));
		expect(await confirmedVersions()).toEqual([7, 7, 7, 7, 7, 7]);
	});

	it('after which the group has voters in every failure domain and is complete', async () => {
		await startGroup(twoOfSix);
		const voters = group.positions.filter(index => group.get(index).isVoter);
		expect(voters.length).toEqual(5);
		expect(new Set(voters.map(index => index % twoOfSix.failureDomainCount)).size).toEqual(3);
	});

	it('two of eight in four failure domains, which do not return', async () => {
		await startGroup({size: 8, faultTolerance: 2, failureDomainCount: 4});
		await group.replace(1, 7);
		await group.stop(0, 1);
		const rest = group.positions.slice(2);
		expect(await Promise.all(rest.map(async index => group.confirmedVersion(index)))).toEqual(rest.map(() => 7));
	});
});

describe('a control process that the group does not need', () => {
	afterEach(async () => {
		await group.close();
	});

	it('acknowledges documents and reads them back through the leader', async () => {
		await startGroup(oneOfFour);
		await group.replace(3, 7);
		expect(group.get(3).isVoter).toEqual(false);
		expect(await confirmedVersions()).toEqual([7, 7, 7, 7]);
	});

	it('reads and acknowledges through the leader after another one has taken its place, and takes the place of the next that is lost', async () => {
		await startGroup(oneOfFour);
		await group.replace(0, 7);
		await group.stop(2);
		await group.eventually(async () => group.get(3).isVoter);
		await group.start(2);
		await group.replace(2, 8);
		expect(await group.confirmedVersion(2)).toEqual(8);
		await group.stop(3);
		await sleep(replacedAfterMs);
		await group.stop(0);
		await group.replace(2, 9);
		expect(await group.confirmedVersion(1)).toEqual(9);
	});
});

describe('a control process without a disk', () => {
	afterEach(async () => {
		await group.close();
	});

	it('never votes, but acknowledges documents and reads them back through the leader', async () => {
		await startGroup({...oneOfFour, diskless: [3]});
		await group.replace(3, 7);
		await group.stop(2);
		await sleep(replacedAfterMs);
		expect(group.get(3).isVoter).toEqual(false);
		expect(await group.confirmedVersion(3)).toEqual(7);
		await group.stop(1);
		expect(await group.get(3).replace({version: 8, text: 'alone'})).toEqual(undefined);
		const read = await group.get(3).read();
		expect(read.isConfirmed).toEqual(false);
	});

	it('does not keep the group from forming if it is a seed', async () => {
		await startGroup({...oneOfFour, diskless: [1]});
		await group.replace(1, 7);
		expect(await confirmedVersions()).toEqual([7, 7, 7, 7]);
		expect(group.positions.filter(index => group.get(index).isVoter)).toEqual([0, 2, 3]);
	});
});
