import {describe, it} from 'node:test';
import {expect} from 'earl';
import {seededRandom} from './simulation/run-fuzz.js';
import {SimulatedGroup} from './simulation/simulated-group.js';
import type {SimulatedMember} from './simulation/simulated-member.js';

const replica = {
	clockDriftBound: 1, electionTimeoutMs: 600, heartbeatIntervalMs: 120, trailingEntries: 2,
};
const megabyte = 1_000_000;
const seeds = [1, 2, 3];

/** Sizes and bandwidths at which a transfer takes from a fraction of the election timeout to many of them. */
const cases = [
	{bytes: 0.42 * megabyte, bytesPerMs: 6250},
	{bytes: 4 * megabyte, bytesPerMs: 6250},
	{bytes: 2 * megabyte, bytesPerMs: 2000},
	{bytes: 4 * megabyte, bytesPerMs: 2000},
	{bytes: 0.42 * megabyte, bytesPerMs: 500},
	{bytes: 4 * megabyte, bytesPerMs: 500},
];

/** Time for delays, disks and the detection of lost messages, besides the transfers. */
const besidesMs = 250;

/** Bytes of heartbeats and their replies, besides the transfers. */
const besidesBytes = 0.2 * megabyte;

type Outcome = {readonly tookMs: number; readonly isAcknowledged: boolean; readonly newLeaders: number; readonly sentBytes: number};

function groupWithLeader(seed: number, bytesPerMs: number): {group: SimulatedGroup; leader: SimulatedMember} {
	const group = new SimulatedGroup({random: seededRandom(seed), replica, bytesPerMs});
	expect(group.advanceUntil(() => group.leader !== undefined)).toEqual(true);
	group.advance(1000);
	return {group, leader: group.leader!};
}

/** Waits until a condition holds, for a minute at most, and then five election timeouts to see what follows. */
function measure(group: SimulatedGroup, start: () => void, isDone: () => boolean): Outcome {
	const {nowMs, sentBytes, oracle: {electionCount, acknowledgedIndex}} = group;
	start();
	group.advanceUntil(isDone, 60_000);
	const tookMs = isDone() ? group.nowMs - nowMs : Number.POSITIVE_INFINITY;
	group.advance(5 * replica.electionTimeoutMs);
	return {
		tookMs,
		isAcknowledged: group.oracle.acknowledgedIndex > acknowledgedIndex,
		newLeaders: group.oracle.electionCount - electionCount,
		sentBytes: group.sentBytes - sentBytes,
	};
}

/** Proposes an entry once and waits until some member applies it. */
function commitLarge(group: SimulatedGroup, bytes: number): Outcome {
	return measure(group, () => {
		group.propose(group.leader!, bytes);
	}, () => group.running.some(member => member.applied.length === 1));
}

function describeOutcomes(outcomes: readonly Outcome[]): string {
	return outcomes.map(({tookMs, isAcknowledged, newLeaders, sentBytes}) => `${Math.round(tookMs)} ms, ${isAcknowledged ? 'acknowledged' : 'not acknowledged'}, ${newLeaders} new leaders, ${(sentBytes / megabyte).toFixed(1)} MB sent`).join('; ');
}

function expectEach(outcomes: readonly Outcome[], bounds: {readonly tookMs: number; readonly sentBytes: number}): void {
	expect(outcomes.map(({newLeaders}) => newLeaders)).toEqual([0, 0, 0]);
	expect(outcomes.filter(({tookMs}) => tookMs > bounds.tookMs + besidesMs)).toEqual([]);
	expect(outcomes.filter(({sentBytes}) => sentBytes > bounds.sentBytes + besidesBytes)).toEqual([]);
}

/** A group with links of 1 MB/s, one stopped member, and a snapshot that this member needs. */
function groupWithLateMember(seed: number, snapshotBytes: number): {group: SimulatedGroup; leader: SimulatedMember; late: SimulatedMember} {
	const {group, leader} = groupWithLeader(seed, 1000);
	const late = group.members.find(member => member !== leader)!;
	late.crash(0);
	for (let count = 0; count < 10; count++) {
		group.propose(leader);
		group.advance(100);
	}

	leader.compact(snapshotBytes);
	return {group, leader, late};
}

describe('large transfers over slow links', () => {
	for (const {bytes, bytesPerMs} of cases) {
		it(`commit an entry of ${bytes / megabyte} MB at ${bytesPerMs / 1000} MB/s and acknowledge it within twice its transfer time without a new leader`, test => {
			const outcomes = seeds.map(seed => commitLarge(groupWithLeader(seed, bytesPerMs).group, bytes));
			test.diagnostic(describeOutcomes(outcomes));
			expectEach(outcomes, {tookMs: 2 * bytes / bytesPerMs, sentBytes: 2 * bytes});
			expect(outcomes.every(({isAcknowledged}) => isAcknowledged)).toEqual(true);
		});
	}

	it('repeat an entry whose first copy was lost, without a new leader', test => {
		const bytes = 4 * megabyte;
		const outcomes = seeds.map(seed => {
			const {group, leader} = groupWithLeader(seed, 2000);
			return measure(group, () => {
				group.isolate(leader);
				group.propose(leader, bytes);
				group.advance(200);
				group.healNetwork();
			}, () => leader.applied.length === 1);
		});
		test.diagnostic(describeOutcomes(outcomes));
		expectEach(outcomes, {tookMs: 2 * bytes / 2000, sentBytes: 2 * bytes});
		expect(outcomes.every(({isAcknowledged}) => isAcknowledged)).toEqual(true);
	});

	it('send a snapshot once to a member that needs it, however long it takes', test => {
		const bytes = 4 * megabyte;
		const outcomes = seeds.map(seed => {
			const {group, leader, late} = groupWithLateMember(seed, bytes);
			return measure(group, () => {
				late.start();
			}, () => late.applied.length === leader.applied.length);
		});
		test.diagnostic(describeOutcomes(outcomes));
		expectEach(outcomes, {tookMs: 2 * bytes / 1000, sentBytes: bytes});
	});

	it('repeat a snapshot once whose first copy was lost', test => {
		const bytes = 4 * megabyte;
		const outcomes = seeds.map(seed => {
			const {group, leader, late} = groupWithLateMember(seed, bytes);
			return measure(group, () => {
				late.start();
				group.advance(bytes / 2000);
				late.crash(0);
				group.advance(bytes / 1000);
				late.start();
			}, () => late.applied.length === leader.applied.length);
		});
		test.diagnostic(describeOutcomes(outcomes));
		expectEach(outcomes, {tookMs: 2.5 * bytes / 1000, sentBytes: 2 * bytes});
	});

	it('send many large entries to a member that lacks them in messages of limited size, few of them at a time', test => {
		const bytes = 0.42 * megabyte;
		const count = 60;
		const outcomes = seeds.map(seed => {
			const {group, leader} = groupWithLeader(seed, 6250);
			const late = group.members.find(member => member !== leader)!;
			late.crash(0);
			for (let index = 0; index < count; index++) {
				group.propose(leader, bytes);
				group.advance(100);
			}

			let mostInFlightBytes = 0;
			const outcome = measure(group, () => {
				late.start();
			}, () => {
				mostInFlightBytes = Math.max(mostInFlightBytes, group.inFlightBytes);
				return late.applied.length === count;
			});
			return {...outcome, mostInFlightBytes, largestMessageBytes: group.largestMessageBytes};
		});
		test.diagnostic(describeOutcomes(outcomes));
		test.diagnostic(outcomes.map(({mostInFlightBytes, largestMessageBytes}) => `${(mostInFlightBytes / megabyte).toFixed(1)} MB on their way, messages of up to ${(largestMessageBytes / megabyte).toFixed(1)} MB`).join('; '));
		expectEach(outcomes, {tookMs: 1.25 * count * bytes / 6250, sentBytes: count * bytes});
		expect(outcomes.filter(({largestMessageBytes}) => largestMessageBytes > 1.1 * megabyte)).toEqual([]);
		expect(outcomes.filter(({mostInFlightBytes}) => mostInFlightBytes > 10 * megabyte)).toEqual([]);
	});
});
