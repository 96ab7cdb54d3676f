import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {TestGroup, type TestGroupOptions} from './test-group.js';

/** Shortest time within which a change has to be acknowledged while enough VMs are well. */
const acknowledgedWithinMs = 4000;

/** Longer than the time after which a silent voter is replaced. */
const fullMs = 3500;

const three: TestGroupOptions = {size: 3, faultTolerance: 1, failureDomainCount: 3};
const six: TestGroupOptions = {size: 6, faultTolerance: 2, failureDomainCount: 3};

/** The order in which the disks are full, by position; `leader` stands for the process that leads at that time. */
type Turn = number | 'leader';

const orders: ReadonlyArray<readonly [string, TestGroupOptions, readonly Turn[]]> = [
	...[[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]].map(order => [`${order.join(', ')} of three`, three, order] as const),
	['the leader each time, of three', three, ['leader', 'leader', 'leader']],
	['each of six', six, [0, 1, 2, 3, 4, 5]],
	['each of six from the last on', six, [5, 4, 3, 2, 1, 0]],
	['the leader each time, of six', six, ['leader', 'leader', 'leader', 'leader']],
];

describe('disks that are full in turn', {concurrency: 6}, () => {
	for (const [name, options, order] of orders) {
		it(`leave no process that refuses changes or does not answer: ${name}`, withGroup(options, async group => {
			let version = 1;
			for (const turn of order) {
				const index = turn === 'leader' ? group.leader : turn;
				group.setDiskFull(index, true);
				const endsAtMs = performance.now() + fullMs;
				while (performance.now() < endsAtMs) {
					version++;
					expect(await changeTakesMs(group, version % options.size, version)).toBeLessThan(acknowledgedWithinMs);
					await sleep(300);
				}

				group.setDiskFull(index, false);
				await sleep(1000);
			}

			for (const index of group.positions) {
				version++;
				expect(await changeTakesMs(group, index, version)).toBeLessThan(acknowledgedWithinMs);
				expect(await group.confirmedVersion(index)).toEqual(version);
			}
		}));
	}

	it('hold up a start until there is room, and lose nothing', withGroup(three, async group => {
		await group.stop(0);
		group.setDiskFull(0, true);
		const started = group.start(0);
		await sleep(1500);
		await group.replace(1, 2);
		group.setDiskFull(0, false);
		await started;
		expect(await changeTakesMs(group, 0, 3)).toBeLessThan(acknowledgedWithinMs);
		expect(await group.confirmedVersion(0)).toEqual(3);
	}));

	it('do not fail a start that is stopped while it waits for room', withGroup(three, async group => {
		await group.stop(0);
		group.setDiskFull(0, true);
		const started = group.start(0);
		await sleep(500);
		await group.stop(0);
		group.setDiskFull(0, false);
		await started;
		await group.start(0);
		expect(await changeTakesMs(group, 0, 2)).toBeLessThan(acknowledgedWithinMs);
	}));

	it('do not hold up a planned stop', withGroup(three, async group => {
		group.setDiskFull(1, true);
		await group.replace(0, 2);
		const startedAtMs = performance.now();
		await group.stop(1);
		expect(performance.now() - startedAtMs).toBeLessThan(2500);
	}));
});

/** A test with a group that has acknowledged version 1. */
function withGroup(options: TestGroupOptions, test: (group: TestGroup) => Promise<void>): () => Promise<void> {
	return async () => {
		const group = await TestGroup.create(options);
		try {
			await group.startFirst();
			await group.replace(0, 1);
			await test(group);
		} finally {
			await group.close();
		}
	};
}

/** Offers a change to a process until it is acknowledged, as operators do; returns the time that took. */
async function changeTakesMs(group: TestGroup, index: number, version: number): Promise<number> {
	const startedAtMs = performance.now();
	await group.replace(index, version);
	return performance.now() - startedAtMs;
}
