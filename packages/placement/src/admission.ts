/**
Admits requests to targets, lets them wait for a short time, or refuses them.

A request waits in one of two lanes. One that can still be answered on time goes first and is refused within an eighth
of its objective, early enough for its caller to come back in time. One that came back too late for that, or after as long a
wait on its return, is served from what is left, and waits longer, since its caller has no other try. It leaves a part of the places free,
so that the callers who come back after an outage do not make those late who come then. At first it takes only places of its own
entry, then those that are offered to two: all entries would send those who wait to the first target that gets a place free.
*/

import type {Choice, TargetSelector, TargetView} from './target-board.js';

/** Share of the objective after which a request that could be on time is refused. */
const onTimeWaitShare = 1 / 8;

/** Part of the objective within which a caller has to be back for its request to be on time still: a first event takes about as long. */
const returnedOnTimeShare = 0.5;

/** Part of the time left that a late request may wait, and its longest wait: callers give up on a silent stream after 2 s. */
const lateWaitShare = 0.5;
const maxLateWaitMs = 1200;

/** Share of the places that late requests may take: after an outage all callers come back at once. */
const latePlaceShare = 0.75;

/** A late request takes only places of its own entry for this long, in which every target reports about once. */
const ownPlacesMs = 150;

/** Requests waiting for one service at one entry. */
const maxWaiting = 64;

/** Bounds of the pause that a refused caller is told. */
const minPauseMs = 80;
const pauseSpreadMs = 120;

/** Pause where a service has no target at all: it takes seconds until one has reported. */
const noTargetPauseMs = 1200;
const noTargetSpreadMs = 1200;

/** A request to be admitted. */
export type AdmissionRequest = {
	readonly service: string;
	/** 0 goes first. */
	readonly priority: number;
	readonly accountName: string;
	readonly arrivedAtMs: number;
	readonly objectiveMs: number;
	/** End of the time the caller will wait. */
	readonly deadlineAtMs: number;
	/** Time for sure since its caller first asked, which came back after a refusal; 0 by default. */
	readonly sinceFirstTryMs?: number;
	/** Whether its caller may have come back, and have no other try. */
	readonly mayBeRetry?: boolean;
	/** Whether it goes on at another target: its caller holds a part of the answer, or has no other try. */
	readonly isFailover?: boolean;
	readonly excluded?: ReadonlySet<string>;
};

/** A target, or a refusal with the time after which the caller may come back. */
export type Admission
	= | {readonly kind: 'admitted'; readonly view: TargetView; readonly isLate: boolean}
		| {readonly kind: 'refused'; readonly reason: 'full' | 'noTarget' | 'lineFull'; readonly retryAfterMs: number};

/** Ends a wait early. */
export type PendingAdmission = {readonly cancel: () => void};

/** Nothing waits any more. */
const noWait: PendingAdmission = {
	cancel() {
		// Nothing to end.
	},
};

type Line = {readonly request: AdmissionRequest; readonly isLate: boolean; readonly sinceMs: number; readonly refuseAtMs: number; readonly settle: (admission: Admission) => void};

/** Which places a request may take, from most to fewest: all; the share left to late ones; of that share those offered to some entries, or to one. */
const lanes = ['onTime', 'lateLastLook', 'late', 'lateOwn'] as const;
type Lane = typeof lanes[number];

/** How many entries each free place is offered to, in the lanes in which not all may take it. */
const offers: Readonly<Partial<Record<Lane, number>>> = {late: 2, lateOwn: 1};

/** Options of the admission. */
export type AdmissionOptions = {
	readonly selector: TargetSelector;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
	/** Requests of an account in progress here: of equal requests, the account with fewer goes first. */
	readonly inProgressOf: (accountName: string) => number;
	/** Called when a request begins to wait; `pump` has to be called until none waits. */
	readonly onWaiting: () => void;
};

/** Requests that wait at one entry. */
export class AdmissionQueue {
	readonly #options: AdmissionOptions;
	#line: Line[] = [];

	constructor(options: AdmissionOptions) {
		this.#options = options;
	}

	/** How many wait. */
	get waitingCount(): number {
		return this.#line.length;
	}

	/** Admits, refuses, or lets wait; `settle` is called once, at once or later, unless the wait is cancelled. */
	admit(request: AdmissionRequest, nowMs: number, settle: (admission: Admission) => void): PendingAdmission {
		const isLate = !request.isFailover && !mayBeOnTime(request, nowMs);
		const isFirst = !this.#line.some(other => other.request.service === request.service && (isLate || !other.isLate));
		const choice = isFirst ? this.#choose(request, isLate ? 'lateOwn' : 'onTime', nowMs) : {kind: 'full' as const};
		if (choice.kind === 'target') {
			settle({kind: 'admitted', view: choice.view, isLate});
			return noWait;
		}

		if (choice.kind === 'none' || this.#line.length >= maxWaiting) {
			settle(this.#refusal(choice.kind === 'none' ? 'noTarget' : 'lineFull'));
			return noWait;
		}

		const line: Line = {
			request, isLate, sinceMs: nowMs, refuseAtMs: refuseAtMs(request, isLate, nowMs), settle,
		};
		this.#line.push(line);
		this.#options.onWaiting();
		return {
			cancel: () => {
				this.#line = this.#line.filter(other => other.request !== request);
			},
		};
	}

	/** Looks again: call when a target got free, when load figures came, and every few milliseconds while requests wait. */
	processQueue(nowMs: number): void {
		const order = this.#line.toSorted((left, right) => this.#compare(left, right));
		const full = new Set<string>();
		for (const line of order) {
			const {service} = line.request;
			const lane = laneOf(line, nowMs);
			const isFull = lanes.slice(0, lanes.indexOf(lane) + 1).some(wider => full.has(`${service} ${wider}`));
			const choice = isFull ? {kind: 'full' as const} : this.#choose(line.request, lane, nowMs);
			if (choice.kind === 'target') {
				this.#end(line, {kind: 'admitted', view: choice.view, isLate: line.isLate});
			} else if (nowMs >= line.refuseAtMs && !line.isLate && line.request.mayBeRetry) {
				this.#makeLate(line, nowMs);
			} else if (nowMs >= line.refuseAtMs) {
				this.#end(line, this.#refusal('full'));
			} else {
				full.add(`${service} ${lane}`);
			}
		}
	}

	/** A caller that came back has no other try: its request waits on among the late ones, as do those of which that is not sure. */
	#makeLate(line: Line, nowMs: number): void {
		const late: Line = {
			...line, isLate: true, sinceMs: nowMs, refuseAtMs: refuseAtMs(line.request, true, nowMs),
		};
		this.#line = this.#line.map(other => other === line ? late : other);
	}

	#choose({service, excluded}: AdmissionRequest, lane: Lane, nowMs: number): Choice {
		return this.#options.selector.choose({
			service, nowMs, excluded, slotShare: lane === 'onTime' ? 1 : latePlaceShare, entriesPerSlot: offers[lane], random: this.#options.random,
		});
	}

	#compare(left: Line, right: Line): number {
		return (Number(left.isLate) - Number(right.isLate))
			|| (left.request.priority - right.request.priority)
			|| (this.#options.inProgressOf(left.request.accountName) - this.#options.inProgressOf(right.request.accountName))
			|| (left.request.arrivedAtMs - right.request.arrivedAtMs);
	}

	#end(line: Line, admission: Admission): void {
		this.#line = this.#line.filter(other => other !== line);
		line.settle(admission);
	}

	#refusal(reason: 'full' | 'noTarget' | 'lineFull'): Admission {
		return {kind: 'refused', reason, retryAfterMs: pauseMs(reason, this.#options.random())};
	}
}

/** Whether a request that is admitted within its wait can be answered on time. */
function mayBeOnTime({arrivedAtMs, objectiveMs, sinceFirstTryMs = 0}: AdmissionRequest, nowMs: number): boolean {
	return sinceFirstTryMs < objectiveMs * returnedOnTimeShare && nowMs - arrivedAtMs <= objectiveMs * onTimeWaitShare;
}

function laneOf({isLate, sinceMs, refuseAtMs}: Line, nowMs: number): Lane {
	if (!isLate) {
		return 'onTime';
	}

	if (nowMs >= refuseAtMs) {
		return 'lateLastLook';
	}

	return nowMs - sinceMs < ownPlacesMs ? 'lateOwn' : 'late';
}

/** The pause a caller is told, spread so that the return is no new peak. */
function pauseMs(reason: 'full' | 'noTarget' | 'lineFull', random: number): number {
	return reason === 'noTarget' ? noTargetPauseMs + (random * noTargetSpreadMs) : minPauseMs + (random * pauseSpreadMs);
}

function refuseAtMs({arrivedAtMs, objectiveMs, deadlineAtMs, isFailover: isRepeat = false}: AdmissionRequest, isLate: boolean, nowMs: number): number {
	return isLate || isRepeat
		? nowMs + Math.min(maxLateWaitMs, (deadlineAtMs - nowMs) * lateWaitShare)
		: arrivedAtMs + (objectiveMs * onTimeWaitShare);
}
