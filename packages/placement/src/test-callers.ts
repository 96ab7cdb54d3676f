/** Simulates entries, targets and callers who come back after a refusal, for tests of what callers get under too little room. */

import type {TargetReport} from '@rattanspring/target-table';
import {seededRandom} from '@rattanspring/test-kit';
import {
	type Admission, AdmissionQueue, ExpectedRoom, FirstAttemptOrder, InProgressOrder, type PendingAdmission, RoomReturnTimes, TargetSelector,
} from './index.js';

/** Requests of one kind. */
export type CallerKind = {
	readonly name: string;
	readonly priority: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly perSecond: (atMs: number) => number;
	/** Tries at most; 2 by default. */
	readonly maxTries?: number;
	/** Whether callers come back after this time, whatever they are told. */
	readonly returnAfterMs?: number;
	/** Share of the callers who leave while they wait for a slot, this long after their first try. */
	readonly leaveAfterMs?: number;
};

export type CallersOptions = {
	readonly seed: number;
	readonly kinds: readonly CallerKind[];
	readonly forMs: number;
	/** Whether the entries decide as before there was an expected room: fixed return times, and a refusal only after the wait. */
	readonly isFixed?: boolean;
	readonly entryCount?: number;
	readonly targetCount?: number;
	/** Every third target is lost at this time. */
	readonly lostAtMs?: number;
};

/** What became of one caller. */
export type CallerRecord = {
	readonly kind: CallerKind;
	readonly firstAtMs: number;
	tries: number;
	outcome?: 'onTime' | 'late' | 'refused' | 'left' | 'failed';
	refusals: Array<{readonly atMs: number; readonly heldMs: number; readonly returnAtMs?: number}>;
};

type Stream = {readonly entry: number; readonly target: number; readonly caller: CallerRecord; readonly isLate: boolean; isStarted: boolean};

const slots = 7;
const streamMs = 1800;
const firstEventMs = 220;
const reportIntervalMs = 100;
const reportDelayMs = 100;
const returnShare = 1 / 3;
const timeoutSpread = 0.15;

/** Expects nothing, as the queue did before: no request is refused before its wait is over. */
class NoExpectation extends ExpectedRoom {
	override intervalMs(): number {
		return 0;
	}
}

/** Requests a second that the targets can serve. */
export function capacityOf(targetCount: number): number {
	return targetCount * slots * 1000 / streamMs;
}

/** Runs the simulation; the result has one record for each caller. */
export function simulateCallers({seed, kinds, forMs, isFixed = false, entryCount = 6, targetCount = 18, lostAtMs = Number.POSITIVE_INFINITY}: CallersOptions): CallerRecord[] {
	const random = seededRandom(seed);
	const reports: TargetReport[] = Array.from({length: targetCount}, (_, index) => ({
		targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots, state: 'ready', coldLeftMs: 0,
	}));
	const entries = Array.from({length: entryCount}, (_, index) => {
		const selector = new TargetSelector({failureDomain: 'a', entryPosition: () => ({index, count: entryCount})});
		selector.setTargets(reports, 0);
		const room = isFixed ? new NoExpectation() : new ExpectedRoom();
		const queue = new AdmissionQueue({
			selector, random, room, order: isFixed ? new InProgressOrder(() => 0) : new FirstAttemptOrder(), onWaiting: () => undefined,
			...(!isFixed && {returnTimes: new RoomReturnTimes({random, room, permitWaitMs: () => 0})}),
		});
		return {selector, queue};
	});
	const records: CallerRecord[] = [];
	const streams: Stream[][] = Array.from({length: targetCount}, () => []);
	const lost = new Set<number>();
	const due = new Map<number, Array<() => void>>();
	const at = (atMs: number, work: () => void) => {
		const time = Math.ceil(atMs);
		due.set(time, [...(due.get(time) ?? []), work]);
	};

	const startWaiting = (target: number, nowMs: number) => {
		const running = streams[target].filter(({isStarted}) => isStarted).length;
		for (const stream of streams[target].filter(({isStarted}) => !isStarted).toSorted((left, right) => Number(left.isLate) - Number(right.isLate)).slice(0, slots - running)) {
			stream.isStarted = true;
			const {caller} = stream;
			caller.outcome = nowMs + firstEventMs - caller.firstAtMs <= caller.kind.objectiveMs ? 'onTime' : 'late';
			at(nowMs + firstEventMs, () => {
				entries[stream.entry].selector.begun({targetId: `t${target}`, bornMs: 1});
			});
			at(nowMs + streamMs, () => {
				if (lost.has(target)) {
					return;
				}

				streams[target] = streams[target].filter(other => other !== stream);
				entries[stream.entry].selector.ended({targetId: `t${target}`, bornMs: 1}, 'answered', nowMs + streamMs);
				if (!isFixed) {
					entries[stream.entry].queue.recordEnded('s', nowMs + streamMs);
				}

				startWaiting(target, nowMs + streamMs);
				entries[stream.entry].queue.processQueue(nowMs + streamMs);
			});
		}
	};

	const attempt = (caller: CallerRecord, nowMs: number) => {
		if (caller.outcome === 'left') {
			return;
		}

		const entry = Math.floor(random() * entryCount);
		const {kind, firstAtMs} = caller;
		const sinceMs = nowMs - firstAtMs;
		let settledAtMs: number | undefined;
		caller.tries++;
		const onAdmission = (admission: Admission, atMs: number) => {
			settledAtMs = atMs;
			if (admission.kind === 'admitted') {
				const target = Number(admission.view.report.targetId.slice(1));
				entries[entry].selector.sent(`t${target}`, atMs);
				if (lost.has(target)) {
					caller.outcome = 'failed';
					entries[entry].selector.ended({targetId: `t${target}`, bornMs: 1}, 'unreachable', atMs);
					return;
				}

				streams[target].push({
					entry, target, caller, isLate: admission.isLate, isStarted: false,
				});
				startWaiting(target, atMs);
				return;
			}

			const leftMs = kind.deadlineMs - (atMs - firstAtMs);
			const returnAtMs = atMs + Math.max(1, kind.returnAfterMs ?? Math.min(admission.retryAfterMs, leftMs * returnShare));
			const isLast = caller.tries >= (kind.maxTries ?? 2);
			caller.refusals.push({atMs, heldMs: atMs - nowMs, ...(!isLast && {returnAtMs})});
			if (isLast) {
				caller.outcome = 'refused';
				return;
			}

			at(returnAtMs, () => {
				attempt(caller, Math.ceil(returnAtMs));
			});
		};

		const pending: PendingAdmission = entries[entry].queue.admit({
			service: 's', priority: kind.priority, accountName: 'a', arrivedAtMs: nowMs, objectiveMs: kind.objectiveMs, deadlineAtMs: firstAtMs + kind.deadlineMs,
			sinceFirstTryMs: Math.max(0, sinceMs - (kind.deadlineMs * timeoutSpread)), mayBeRetry: sinceMs > 50,
		}, nowMs, admission => {
			onAdmission(admission, clockMs);
		});
		if (kind.leaveAfterMs !== undefined && settledAtMs === undefined) {
			at(Math.max(nowMs + 1, firstAtMs + kind.leaveAfterMs), () => {
				if (settledAtMs === undefined) {
					pending.cancel();
					caller.outcome = 'left';
				}
			});
		}
	};

	let clockMs = 0;
	for (; clockMs < forMs + 6000; clockMs++) {
		const nowMs = clockMs;
		if (nowMs === lostAtMs) {
			for (let target = 0; target < targetCount; target += 3) {
				lost.add(target);
				for (const stream of streams[target]) {
					stream.caller.outcome = 'failed';
					entries[stream.entry].selector.ended({targetId: `t${target}`, bornMs: 1}, 'failed', nowMs);
				}
			}

			for (const {selector} of entries) {
				selector.setTargets(reports.filter((_, index) => !lost.has(index)), nowMs);
			}
		}

		for (let target = 0; target < targetCount; target++) {
			if ((nowMs + (target * 13)) % reportIntervalMs === 0 && !lost.has(target)) {
				const active = streams[target].filter(({isStarted}) => isStarted).length;
				const figures = {
					address: reports[target].address, bornMs: 1, sequence: Math.floor(nowMs / reportIntervalMs), active, queued: streams[target].length - active, memoryShare: 0, pace: 1,
				};
				at(nowMs + reportDelayMs, () => {
					for (const {selector} of entries) {
						selector.setLoads([figures], nowMs + reportDelayMs);
					}
				});
			}
		}

		for (const work of due.get(nowMs) ?? []) {
			work();
		}

		due.delete(nowMs);
		if (nowMs % 10 === 0) {
			for (const {queue} of entries) {
				if (queue.waitingCount > 0) {
					queue.processQueue(nowMs);
				}
			}
		}

		for (const kind of nowMs < forMs ? kinds : []) {
			if (random() < kind.perSecond(nowMs) / 1000) {
				const caller: CallerRecord = {
					kind, firstAtMs: nowMs, tries: 0, refusals: [],
				};
				records.push(caller);
				attempt(caller, nowMs);
			}
		}
	}

	return records;
}

/** What callers got: 1 for an answer on time, 0.3 for a late one, and a cost for a return in vain. */
export function worthOf(records: readonly CallerRecord[]): number {
	const inVain = records.filter(({outcome, tries}) => outcome === 'refused' && tries > 1).length;
	return (records.length * (shareOf(records, 'onTime') + (0.3 * shareOf(records, 'late')))) - (0.3 * inVain);
}

/** Share of the records with an outcome. */
export function shareOf(records: readonly CallerRecord[], ...outcomes: ReadonlyArray<CallerRecord['outcome']>): number {
	return records.filter(({outcome}) => outcomes.includes(outcome)).length / Math.max(1, records.length);
}
