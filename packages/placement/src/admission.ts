/**
Admission control of one entry: each request is sent to a target, queued for a short time, or refused with a retry delay.
Requests that can still meet their latency objective are served first; late requests share the remaining capacity.
*/

import type {AdmissionRequest} from './admission-request.js';
import {ExpectedRoom} from './expected-room.js';
import {InProgressOrder, type QueueOrder} from './queue-order.js';
import {FixedReturnTimes, type RefusalReason, type ReturnTimes} from './return-times.js';
import {onTimeEntriesPerSlot} from './slot-shares.js';
import type {Choice, TargetSelector, TargetView} from './target-selector.js';

/** Share of the objective after which a queued on-time request is refused: early enough for its caller to retry in time. */
const onTimeWaitShare = 1 / 8;

/** Share of the objective within which a caller has to retry for its request to still be on time: a first event takes about that long. */
const retryOnTimeShare = 0.5;

/**
Share of the time left that a late request may wait, and its maximum wait. Late requests wait longer than on-time ones, since their
callers make no further try; the maximum is below the 2 s after which callers give up on a stream without events.
*/
const lateWaitShare = 0.5;
const maxLateWaitMs = 1200;

/** Share of the slots that late requests may use. The rest stays free for new requests, since all callers retry at once after an outage. */
const lateSlotShare = 0.75;

/** Share of free slots from which entries hardly take the same one, though they see figures of some time ago. */
const spareShare = 0.02;

/** Share of the slots that late requests may use while requests that could be on time find no room: an answer on time is worth several late ones to its caller. */
const shortLateSlotShare = 0.25;

/**
Time for which a late request uses only slots assigned to its own entry; after it, those assigned to two entries. Otherwise all entries
would send their queued requests to the first target that gets a free slot. Every target reports about once within this time.
*/
const ownedSlotsOnlyMs = 150;

/** Share of free slots from which on a request is not refused for want of one. */
const roomyShare = 0.5;

/**
Time for which a service may be without any target before requests are no longer queued for one: targets that have restarted report, and groups form again, within
seconds. The wait of each request is that of a late one.
*/
const maxTargetlessMs = 6000;

/** Maximum number of queued requests at one entry. */
const maxQueueLength = 64;

/** A target, or a refusal with the time after which the caller may retry. */
export type Admission
	= | {readonly kind: 'admitted'; readonly view: TargetView; readonly isLate: boolean}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Handle to remove a request from the queue. */
export type PendingAdmission = {readonly cancel: () => void};

/** Handle of a request that is not queued. */
const notQueued: PendingAdmission = {
	cancel() {
		// The request is already settled.
	},
};

/**
A queued request. It is late if its caller retried too late to be answered on time, or if a retry has waited for the on-time limit
without a slot; otherwise it is on time.
*/
type QueuedRequest = {readonly request: AdmissionRequest; readonly isLate: boolean; readonly queuedAtMs: number; readonly refuseAtMs: number; readonly settle: (admission: Admission) => void};

/**
Lanes of queued requests: any slot for requests that continue at another target; for on-time requests, slots assigned to this entry, if each slot is assigned to two
entries; the share for late requests, at the end of their wait; within it, only slots assigned to this entry, if each slot is assigned to two entries or to one.
*/
const lanes = ['failover', 'onTime', 'lateLastTry', 'late', 'lateOwnedSlots'] as const;
type Lane = typeof lanes[number];

/**
Number of entries to which each free slot is assigned, in the lanes in which not all entries may use it. An on-time request that another entry's request precedes at
its target waits there until a whole answer ends, and is late.
*/
const entriesPerSlot: Readonly<Partial<Record<Lane, number>>> = {onTime: onTimeEntriesPerSlot, late: 2, lateOwnedSlots: 1};

/** For each lane, the lanes whose lack of a slot leaves it none, since it may use no other slots or comes after them. */
const isFullWith: Readonly<Record<Lane, readonly Lane[]>> = {
	failover: ['failover'], onTime: ['failover', 'onTime'], lateLastTry: ['failover', 'lateLastTry'], late: ['failover', 'onTime', 'lateLastTry', 'late'], lateOwnedSlots: lanes,
};

export type AdmissionOptions = {
	readonly selector: TargetSelector;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	/** Rate of slots from which the expected wait follows; by default one that this queue has for itself. */
	readonly room?: ExpectedRoom;
	/** By default without regard to accounts. */
	readonly order?: QueueOrder;
	/** By default fixed for each reason. */
	readonly returnTimes?: ReturnTimes;
	/** Called when a request is queued; from then on the caller has to call `processQueue` until the queue is empty. */
	readonly onWaiting: () => void;
};

/** Admission queue of one entry. */
export class AdmissionQueue {
	readonly #options: Required<AdmissionOptions>;
	#queue: QueuedRequest[] = [];
	/** Since when each service has had no target, if it has none. */
	readonly #targetlessSinceMs = new Map<string, number>();

	constructor(options: AdmissionOptions) {
		const {selector, random} = options;
		this.#options = {
			room: new ExpectedRoom(),
			order: new InProgressOrder(() => 0),
			returnTimes: new FixedReturnTimes({random, permitWaitMs: (waitingCount, nowMs) => selector.permits.expectedWaitMs(waitingCount, nowMs)}),
			...options,
		};
	}

	/** Services for which requests are queued. */
	get waitingServices(): Set<string> {
		return new Set(this.#queue.map(({request}) => request.service));
	}

	/** Number of queued requests. */
	get waitingCount(): number {
		return this.#queue.length;
	}

	/** Admits, refuses or queues a request; `settle` is called once, immediately or later, unless the request is cancelled. */
	admit(request: AdmissionRequest, nowMs: number, settle: (admission: Admission) => void): PendingAdmission {
		const wouldBeLate = !request.isFailover && !mayBeOnTime(request, nowMs);
		const isFirst = !this.#queue.some(({request: other, isLate: isOtherLate}) => other.service === request.service && (wouldBeLate || !isOtherLate) && !(other.excluded?.size));
		const choice = isFirst ? this.#choose(request, firstLaneOf(request, wouldBeLate), nowMs) : {kind: 'full' as const};
		if (choice.kind === 'target') {
			this.#noteRoom(request.service, choice.view);
			settle({kind: 'admitted', view: choice.view, isLate: wouldBeLate});
			return notQueued;
		}

		// A request that waits for a target to come is late by then.
		const isLate = wouldBeLate || choice.kind === 'none';
		this.#options.room.recordBlocked(request.service, nowMs);
		const queued: QueuedRequest = {
			request, isLate, queuedAtMs: nowMs, refuseAtMs: refuseAtMs(request, isLate, nowMs), settle,
		};
		const reason = this.#refusalReasonOf(choice, request, nowMs)
			?? (isTooLate(choice, queued.refuseAtMs, nowMs) ? 'limited' : undefined)
			?? (this.#queue.length >= maxQueueLength ? 'queueFull' : undefined)
			?? (choice.kind === 'full' && this.#isHopeless(queued, this.#countAhead(queued, nowMs), nowMs) ? 'full' : undefined);
		if (reason) {
			this.#noteMissed(reason, queued, nowMs);
			settle(this.#refusal(reason, {request, choice, nowMs}));
			return notQueued;
		}

		this.#queue.push(queued);
		this.#options.onWaiting();
		return {
			cancel: () => {
				const count = this.#queue.length;
				this.#queue = this.#queue.filter(other => other.request !== request);
				if (this.#queue.length < count) {
					this.#options.returnTimes.placeFreed(request.service, nowMs);
				}
			},
		};
	}

	/** Records that a request ended and left its slot free. */
	recordEnded(service: string, nowMs: number): void {
		this.#options.room.recordEnded(service, nowMs);
	}

	/** When the turn of a queued request next changes by the passing of time: it may use more slots, or its wait ends. `Infinity` if none is queued. */
	nextChangeAtMs(nowMs: number): number {
		const times = this.#queue.flatMap(({isLate, queuedAtMs, refuseAtMs}) => isLate ? [queuedAtMs + ownedSlotsOnlyMs, refuseAtMs] : [refuseAtMs]);
		return Math.min(...times.filter(atMs => atMs > nowMs));
	}

	/** Tries to admit the queued requests: call it when a target gets a free slot, when load figures arrive, and at `nextChangeAtMs`. */
	processQueue(nowMs: number): void {
		const order = this.#queue.toSorted((left, right) => this.#options.order.compare(left, right, nowMs));
		const full = new Set<string>();
		const stillAhead = new Map<string, number>();
		for (const queued of order) {
			const {service} = queued.request;
			const lane = this.#mayUseAnySlot(queued, nowMs) ? 'failover' : laneOf(queued, nowMs);
			const isFull = isFullWith[lane].some(wider => full.has(`${service} ${wider}`));
			const choice = isFull ? {kind: 'full' as const} : this.#choose(queued.request, lane, nowMs);
			if (choice.kind === 'target') {
				this.#options.room.recordAdmitted(service, nowMs);
				this.#end(queued, {kind: 'admitted', view: choice.view, isLate: queued.isLate});
			} else if (choice.kind === 'paused' || choice.kind === 'drained' || choice.kind === 'tooLarge') {
				this.#end(queued, this.#refusal(choice.kind, {request: queued.request, choice, nowMs}));
			} else if ((nowMs >= queued.refuseAtMs || isTooLate(choice, queued.refuseAtMs, nowMs)) && !queued.isLate && (queued.request.mayBeRetry === true || this.#isRoomy(service, nowMs))) {
				this.#options.room.recordMissed(service, nowMs);
				this.#demoteToLate(queued, nowMs);
			} else if (nowMs >= queued.refuseAtMs || isTooLate(choice, queued.refuseAtMs, nowMs)) {
				this.#noteMissed('full', queued, nowMs);
				this.#end(queued, this.#refusal(timeoutReasonOf(choice), {request: queued.request, choice, nowMs}));
			} else if (choice.kind === 'full' && this.#isHopeless(queued, stillAhead.get(service) ?? 0, nowMs)) {
				this.#noteMissed('full', queued, nowMs);
				this.#end(queued, this.#refusal('full', {request: queued.request, choice, nowMs}));
			} else {
				if (choice.kind !== 'full' || choice.isForOthers !== true) {
					full.add(`${service} ${lane}`);
				}

				stillAhead.set(service, (stillAhead.get(service) ?? 0) + 1);
			}
		}
	}

	/** Why a request that is not queued yet is refused at once; undefined if a slot may become free for it, or a target come. */
	#refusalReasonOf({kind}: Choice, {service, excluded}: AdmissionRequest, nowMs: number): RefusalReason | undefined {
		if (kind === 'none' && excluded !== undefined && excluded.size > 0) {
			return 'noTarget';
		}

		if (kind === 'none') {
			const sinceMs = this.#targetlessSinceMs.get(service) ?? nowMs;
			this.#targetlessSinceMs.set(service, sinceMs);
			return nowMs - sinceMs > maxTargetlessMs ? 'noTarget' : undefined;
		}

		return kind === 'paused' || kind === 'drained' || kind === 'tooLarge' ? kind : undefined;
	}

	/** Whether a request that would be refused now may take a slot that is assigned to another entry: if so many are free that two entries hardly take the same one. */
	#mayUseAnySlot({request, isLate, refuseAtMs}: QueuedRequest, nowMs: number): boolean {
		return !isLate && nowMs >= refuseAtMs && this.#options.selector.freeShare(request.service, nowMs) >= spareShare;
	}

	/** Whether no slot is expected within the wait that leaves the request on time. A request whose caller makes no further try may wait as long as a late one. */
	#isHopeless({request, isLate}: QueuedRequest, aheadCount: number, nowMs: number): boolean {
		const {service, arrivedAtMs, objectiveMs, sinceFirstTryMs = 0, mayBeRetry, isFailover} = request;
		if (isLate || mayBeRetry === true || isFailover === true) {
			return false;
		}

		const onTimeLeftMs = (objectiveMs * retryOnTimeShare) - sinceFirstTryMs - (nowMs - arrivedAtMs);
		return this.#options.room.waitMs(service, aheadCount, nowMs) > onTimeLeftMs && this.#options.selector.freeShare(service, nowMs) < spareShare;
	}

	/** Notes that a request which could have been on time gets no slot in time. */
	#noteMissed(reason: RefusalReason, {request, isLate}: QueuedRequest, nowMs: number): void {
		if (!isLate && (reason === 'full' || reason === 'queueFull')) {
			this.#options.room.recordMissed(request.service, nowMs);
		}
	}

	/** Queued requests of the same service that go before this one. */
	#countAhead(queued: QueuedRequest, nowMs: number): number {
		return this.#queue.filter(other => other.request.service === queued.request.service && this.#options.order.compare(other, queued, nowMs) <= 0).length;
	}

	#isRoomy(service: string, nowMs: number): boolean {
		return this.#options.selector.freeShare(service, nowMs) >= roomyShare;
	}

	#noteRoom(service: string, {busy, limit}: TargetView): void {
		if (busy <= limit * (1 - roomyShare) && !this.#queue.some(({request}) => request.service === service)) {
			this.#options.returnTimes.roomFound(service);
		}
	}

	/** The caller of a retry makes no further try, so a request that is a retry, or may be one, stays in the queue as a late request. */
	#demoteToLate(queued: QueuedRequest, nowMs: number): void {
		const late: QueuedRequest = {
			...queued, isLate: true, queuedAtMs: nowMs, refuseAtMs: refuseAtMs(queued.request, true, nowMs),
		};
		this.#queue = this.#queue.map(other => other === queued ? late : other);
	}

	#choose(request: AdmissionRequest, lane: Lane, nowMs: number): Choice {
		const {service, excluded, isTrial, requestLength} = request;
		const isLate = lane !== 'failover' && lane !== 'onTime';
		const reserve = this.#options.order.reserveFor({request, isLate}, nowMs);
		const choice = this.#options.selector.choose({
			service, nowMs, excluded, preferIdle: isTrial, requestLength,
			slotShare: isLate ? this.#lateSlotShare(service, nowMs) : 1, reserve, entriesPerSlot: entriesPerSlot[lane], random: this.#options.random,
		});
		if (choice.kind !== 'none') {
			this.#targetlessSinceMs.delete(service);
		}

		return choice;
	}

	#lateSlotShare(service: string, nowMs: number): number {
		return this.#options.room.isShort(service, nowMs) ? shortLateSlotShare : lateSlotShare;
	}

	#end(queued: QueuedRequest, admission: Admission): void {
		this.#queue = this.#queue.filter(other => other !== queued);
		queued.settle(admission);
	}

	#refusal(reason: RefusalReason, {request, choice, nowMs}: {readonly request: AdmissionRequest; readonly choice: Choice; readonly nowMs: number}): Admission {
		const retryAfterMs = this.#options.returnTimes.retryAfterMs({
			reason, request, nowMs, waitingCount: this.#queue.length, ...(choice.kind === 'paused' && {pausedUntilMs: choice.untilMs}),
		});
		return {kind: 'refused', reason, retryAfterMs};
	}
}

/** Why a request is refused that has waited for its time. */
function timeoutReasonOf({kind}: Choice): RefusalReason {
	if (kind === 'none') {
		return 'noTarget';
	}

	return kind === 'limited' ? 'limited' : 'full';
}

/** Whether all targets have limits and no permit can be there within the wait. */
function isTooLate(choice: Choice, refuseAtMs: number, nowMs: number): boolean {
	return choice.kind === 'limited' && nowMs + choice.permitInMs > refuseAtMs;
}

/** Whether a request that is admitted within the on-time wait can be answered on time. */
function mayBeOnTime({arrivedAtMs, objectiveMs, sinceFirstTryMs = 0}: AdmissionRequest, nowMs: number): boolean {
	return sinceFirstTryMs < objectiveMs * retryOnTimeShare && nowMs - arrivedAtMs <= objectiveMs * onTimeWaitShare;
}

function firstLaneOf({isFailover}: AdmissionRequest, isLate: boolean): Lane {
	if (isFailover) {
		return 'failover';
	}

	return isLate ? 'lateOwnedSlots' : 'onTime';
}

function laneOf({request, isLate, queuedAtMs, refuseAtMs}: QueuedRequest, nowMs: number): Lane {
	if (!isLate) {
		return firstLaneOf(request, false);
	}

	if (nowMs >= refuseAtMs) {
		return 'lateLastTry';
	}

	return nowMs - queuedAtMs < ownedSlotsOnlyMs ? 'lateOwnedSlots' : 'late';
}

function refuseAtMs({arrivedAtMs, objectiveMs, deadlineAtMs, isFailover = false}: AdmissionRequest, isLate: boolean, nowMs: number): number {
	return isLate || isFailover
		? nowMs + Math.min(maxLateWaitMs, (deadlineAtMs - nowMs) * lateWaitShare)
		: arrivedAtMs + (objectiveMs * onTimeWaitShare);
}
