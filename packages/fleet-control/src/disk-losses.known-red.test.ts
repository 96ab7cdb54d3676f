import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {TestGroup, type TestGroupOptions} from './test-group.js';

/** Time after the start of all processes from which on the tolerated losses may happen. */
const completeAfterMs = 3000;

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
	await group.wipe(first, second);
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
		await group.wipe(0, 2);
		await Promise.all(group.positions.map(async index => group.start(index)));
		expect(await confirmedVersions()).toEqual([7, 7, 7, 7, 7, 7]);
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
		await startGroup({size: 4, faultTolerance: 1, failureDomainCount: 4});
		await group.replace(3, 7);
		expect(await confirmedVersions()).toEqual([7, 7, 7, 7]);
	});
});
