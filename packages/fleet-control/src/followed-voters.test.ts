import {describe, it} from 'node:test';
import {followedControls, selectLinks} from '@rattanspring/fleet-link';
import {expect} from 'earl';
import {TestEntries, type TestEntry} from './test-entry.js';
import {TestGroup} from './test-group.js';

/** More control processes with a disk than the group has voters. */
const size = 8;
const faultTolerance = 2;
const voterCount = 5;
const domains = ['z0', 'z1', 'z2', 'z3'];

/** Voters that each entry follows at least, so that the loss of two leaves one. */
const followedVoters = 3;

async function withGroup(test: (group: TestGroup, entry: TestEntry) => Promise<void>): Promise<void> {
	const group = await TestGroup.create({size, faultTolerance, failureDomainCount: domains.length});
	const entries = new TestEntries();
	try {
		await group.startFirst();
		await group.replace(0, 1);
		await group.eventually(async () => votersOf(group).length === voterCount);
		await test(group, await entries.add(group.positions.map(index => group.addressOf(index))));
	} finally {
		entries.close();
		await group.close();
	}
}

function votersOf(group: TestGroup): string[] {
	return group.positions.filter(index => group.get(index)?.isSettledVoter).map(index => group.addressOf(index));
}

/** The least number of the voters that any of a hundred entries follows, by the cards of the control processes; 0 before the cards of all are known. */
function leastFollowedVoters(group: TestGroup, entry: TestEntry): number {
	const voters = votersOf(group);
	const candidates = [...entry.links.nodes.values()].filter(({role}) => role === 'control')
		.map(({linkAddress, failureDomain, servesDocument = false, isLeaving}) => ({
			linkAddress: linkAddress!, failureDomain, servesDocument, isAvoided: isLeaving,
		}));
	if (candidates.length < size) {
		return 0;
	}

	const counts = Array.from({length: 100}, (_, index) => {
		const followed = selectLinks(candidates, {nodeId: `entry-${index}`, failureDomain: domains[index % domains.length], count: followedControls});
		return voters.filter(address => followed.has(address)).length;
	});
	return Math.min(...counts);
}

describe('the control processes that entries follow', () => {
	it('are voters but for two at most, where more processes have a disk than vote', async () => {
		await withGroup(async (group, entry) => {
			await group.eventually(async () => leastFollowedVoters(group, entry) >= followedVoters);
			expect(leastFollowedVoters(group, entry)).toBeGreaterThanOrEqual(followedVoters);
		});
	});

	it('are voters again after one of them was replaced, and do not count the replaced one', async () => {
		await withGroup(async (group, entry) => {
			const replaced = group.positions.find(index => index !== group.leader && group.get(index).isSettledVoter)!;
			await group.stop(replaced);
			await group.eventually(async () => votersOf(group).length === voterCount);
			await group.start(replaced);
			await group.eventually(async () => leastFollowedVoters(group, entry) >= followedVoters && !cardOf(group, entry, replaced)?.servesDocument);
			expect(votersOf(group).length).toEqual(voterCount);
		});
	});
});

function cardOf(group: TestGroup, entry: TestEntry, index: number) {
	return [...entry.links.nodes.values()].find(({linkAddress}) => linkAddress === group.addressOf(index));
}
