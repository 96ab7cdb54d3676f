import {describe, it} from 'node:test';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {SimulatedGroup} from './simulation/simulated-group.js';

/** Time after which a majority runs within which a leader is elected, so that a document is there before requests have waited for it in vain. */
const electedWithinMs = 1000;

/** Share of the restarts that may take longer. */
const slowShare = 0.1;

const restartCount = 200;

/** Longest time of a message, and share of the steps of 10 ms in which a disk is done, on VMs that have just started. */
const maxDelayMs = 150;
const syncRate = 0.3;

/** Time between the starts of the first and the last voter. */
const startSpreadMs = 100;

/** Time for which the group runs before, so that all voters have the same log. */
const settlingMs = 500;

/** Restarts all voters after a loss of power; returns the time from the start of a majority until one leads. */
function restartAll(voters: number, random: () => number): number {
	const group = new SimulatedGroup({voters, random, replica: {clockDriftBound: 1, electionTimeoutMs: 600, heartbeatIntervalMs: 120}});
	group.advanceUntil(() => group.leader !== undefined);
	group.advance(settlingMs);
	for (const member of group.members) {
		member.crash(0);
	}

	group.maxDelayMs = maxDelayMs;
	group.syncRate = syncRate;
	let majorityAtMs = 0;
	for (const [index, member] of group.members.entries()) {
		member.start();
		majorityAtMs = index === Math.floor(voters / 2) ? group.nowMs : majorityAtMs;
		group.advance(random() * 2 * startSpreadMs / voters);
	}

	group.advanceUntil(() => group.leader !== undefined);
	return group.nowMs - majorityAtMs;
}

describe('voters that all restart at the same time on slow VMs', () => {
	for (const voters of [3, 5]) {
		it(`elect a leader within a second in nine of ten cases, and do not split their votes again and again: ${voters} voters`, () => {
			const random = seededRandom(voters);
			const times = Array.from({length: restartCount}, () => restartAll(voters, random));
			expect(times.filter(timeMs => timeMs > electedWithinMs).length).toBeLessThanOrEqual(restartCount * slowShare);
		});
	}
});
