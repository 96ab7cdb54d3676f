import {describe, it} from 'node:test';
import type {TargetReport} from '@rattanspring/target-table';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {AdmissionQueue, ownedSlots, TargetSelector} from './index.js';

/** A heavy hour: entries that see the same figures, late, and targets that are nearly all busy. */
const load = {
	entryCount: 11, targetCount: 16, slots: 8, reportEveryMs: 100, streamMs: 1700, perSecond: 60, forMs: 20_000,
};

type Stream = {readonly target: number; readonly entry: number; startedAtMs: number};

const reports: TargetReport[] = Array.from({length: load.targetCount}, (_, index) => ({
	targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots: load.slots, state: 'ready', coldLeftMs: 0,
}));

/** Plays the load; tells how many of all streams found every place of their target taken. */
function play(seed: number, isDivided: boolean): {readonly sent: number; readonly behindOthers: number} {
	const random = seededRandom(seed);
	const boards = Array.from({length: load.entryCount}, (_, index) => new TargetSelector({failureDomain: 'a', ...(isDivided && {entryPosition: () => ({index, count: load.entryCount})})}));
	for (const board of boards) {
		board.setTargets(reports);
	}

	let streams: Stream[] = [];
	let sent = 0;
	let behindOthers = 0;
	const on = (target: number): Stream[] => streams.filter(stream => stream.target === target);
	for (let nowMs = 0; nowMs < load.forMs; nowMs++) {
		for (const ended of streams.filter(({startedAtMs}) => nowMs - startedAtMs >= load.streamMs)) {
			boards[ended.entry].recordEnd(`t${ended.target}`, 'answered', nowMs);
		}

		streams = streams.filter(({startedAtMs}) => nowMs - startedAtMs < load.streamMs);
		for (const [target, {address}] of reports.entries()) {
			if ((nowMs + (target * 13)) % load.reportEveryMs === 0) {
				const active = Math.min(load.slots, on(target).length);
				const figures = {
					address, bornMs: 1, sequence: Math.floor(nowMs / load.reportEveryMs), active, queued: on(target).length - active, memoryShare: 0, pace: 1,
				};
				for (const board of boards) {
					board.setLoads([figures], nowMs);
				}
			}
		}

		if (random() < load.perSecond / 1000) {
			const entry = Math.floor(random() * load.entryCount);
			const choice = boards[entry].choose({service: 's', nowMs, random});
			if (choice.kind === 'target') {
				const target = Number(choice.view.report.targetId.slice(1));
				sent++;
				behindOthers += on(target).length >= load.slots ? 1 : 0;
				boards[entry].recordSent(`t${target}`, nowMs);
				boards[entry].recordPrefillEnd(`t${target}`);
				const startedAtMs = Math.max(nowMs, ...on(target).length >= load.slots ? [Math.min(...on(target).map(stream => stream.startedAtMs)) + load.streamMs] : []);
				streams.push({target, entry, startedAtMs});
			}
		}
	}

	return {sent, behindOthers};
}

describe('the free places of a report', () => {
	it('are divided among the entries, each place to one', () => {
		for (const freePlaces of [0, 1, 5, 11, 30]) {
			for (const sequence of [0, 7]) {
				const shares = Array.from({length: 11}, (_, index) => ownedSlots({
					targetNumber: 12_345, sequence, freeSlots: freePlaces, position: {index, count: 11},
				}));
				expect(shares.reduce((sum, share) => sum + share, 0)).toEqual(freePlaces);
			}
		}
	});
});

describe('figures that come twice', () => {
	it('do not give their places away again', () => {
		const board = new TargetSelector({failureDomain: 'a', entryPosition: () => ({index: 0, count: 1})});
		board.setTargets(reports.slice(0, 2));
		const figures = (index: number, sequence: number) => ({
			address: `10.0.0.${index}:80`, bornMs: 1, sequence, active: 6 + index, queued: 0, memoryShare: 0, pace: 1,
		});
		board.setLoads([figures(0, 1), figures(1, 1)], 0);
		for (const nowMs of [1, 2]) {
			board.recordSent('t0', nowMs);
			board.recordPrefillEnd('t0');
		}

		board.setLoads([figures(0, 1)], 3);
		const choice = board.choose({service: 's', nowMs: 4, random: () => 0});
		expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
	});
});

/** Entries with one target, all places of which are taken, and with one late request each that waits for it. */
function waitingEntries(entryCount: number): {readonly tell: (sequence: number, active: number, nowMs: number) => void; readonly admitted: () => number} {
	const admitted: number[] = [];
	const entries = Array.from({length: entryCount}, (_, index) => {
		const board = new TargetSelector({failureDomain: 'a', entryPosition: () => ({index, count: entryCount})});
		board.setTargets(reports.slice(0, 1));
		const queue = new AdmissionQueue({
			selector: board, random: () => 0.5, inProgressOf: () => 0, onWaiting() {
				// The tests pump.
			},
		});
		return {board, queue};
	});
	const tell = (sequence: number, active: number, nowMs: number) => {
		for (const {board, queue} of entries) {
			board.setLoads([{
				address: '10.0.0.0:80', bornMs: 1, sequence, active, queued: 0, memoryShare: 0, pace: 1,
			}], nowMs);
			queue.processQueue(nowMs);
		}
	};

	tell(1, 8, 0);
	for (const {queue} of entries) {
		queue.admit({
			service: 's', priority: 1, accountName: 'a', arrivedAtMs: 0, objectiveMs: 400, deadlineAtMs: 8000, sinceFirstTryMs: 900,
		}, 1, ({kind}) => {
			if (kind === 'admitted') {
				admitted.push(1);
			}
		});
	}

	return {tell, admitted: () => admitted.length};
}

describe('requests that came back and wait at several entries', () => {
	it('take a place that gets free once, not once for each entry', () => {
		const {tell, admitted} = waitingEntries(8);
		tell(2, 5, 100);
		expect(admitted()).toEqual(3);
	});

	it('take it twice at most when they have waited for long', () => {
		const {tell, admitted} = waitingEntries(8);
		tell(2, 5, 300);
		expect(admitted()).toEqual(6);
	});

	it('may take any place at the end of their wait', () => {
		const {tell, admitted} = waitingEntries(8);
		tell(2, 5, 1300);
		expect(admitted()).toEqual(8);
	});
});

describe('entries on a heavy day', () => {
	it('send half as often to a target whose places others have just taken as they would without the division', () => {
		const seeds = [1, 2, 3, 4, 5];
		const divided = shareBehindOthers(seeds.map(seed => play(seed, true)));
		const undivided = shareBehindOthers(seeds.map(seed => play(seed, false)));
		expect(undivided).toBeGreaterThan(0);
		expect(divided).toBeLessThan(undivided / 2);
	});
});

function shareBehindOthers(days: ReadonlyArray<{readonly sent: number; readonly behindOthers: number}>): number {
	return days.reduce((sum, day) => sum + day.behindOthers, 0) / days.reduce((sum, day) => sum + day.sent, 0);
}
