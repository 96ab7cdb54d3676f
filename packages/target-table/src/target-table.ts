/**
The newest report of each target. Reports are soft state that may arrive late, more than once and over several paths; the newest
is determined by the target's start time and the sequence, never by the order of arrival.
*/

import type {TargetLifetime, TargetReport, TargetHeartbeat} from './target-report.js';

/** A report, and the time at which its target was last heard of, on the monotonic clock of this process. */
export type KnownTarget = {
	readonly report: TargetReport;
	readonly heardAtMs: number;
	/** When its cold time ends, by the newest report that says so; a heartbeat does not move it. */
	readonly coldUntilMs?: number;
};

/** Ends of a cold time that differ by less are the same one: reports take different times to arrive. */
const sameColdEndMs = 300;

/** A target that has not reported for this long gets no new work, provided that other targets have reported since. */
export const silenceTimeoutMs = 4500;

/** Time for which a target that has left or fallen silent is kept, so that a late report does not add it again; also a notice of one that never reported. */
const goneRetentionMs = 120_000;

/** More reports of a lifetime than others may know and this process does not. Builds before this one order the end of a lifetime by its sequence. */
const goneSequenceLead = 1000;

/** Targets that are known at once, unless another limit is set; and the part of them that goes when there are more, since each search looks at all of them. */
const defaultMaxTargets = 20_000;
const removedShare = 1 / 16;

/** What was done as there were too many targets. */
export type TargetsExceeded = {readonly removedCount: number; readonly maxTargets: number};

/** Options of `TargetTable`. */
export type TargetTableOptions = {
	readonly maxTargets?: number;
	readonly onExceeded?: (event: TargetsExceeded) => void;
};

/** Known targets of all services. There is a limit to their number, since whoever reaches a control process can report one: those go that were not heard of for longest. */
export class TargetTable {
	readonly #maxTargets: number;
	readonly #onExceeded: (event: TargetsExceeded) => void;
	readonly #targets = new Map<string, KnownTarget>();
	/** IDs of the known targets at each address: several if the address was assigned again. */
	readonly #idsByAddress = new Map<string, Set<string>>();
	/** Lifetimes of targets that said in an answer that they are leaving, by target ID, and when this was learned: no later report makes one of them ready again. */
	readonly #leaving = new Map<string, {readonly bornMs: number; readonly learnedAtMs: number}>();
	#newestHeardAtMs = Number.NEGATIVE_INFINITY;

	constructor({maxTargets = defaultMaxTargets, onExceeded = () => undefined}: TargetTableOptions = {}) {
		this.#maxTargets = maxTargets;
		this.#onExceeded = onExceeded;
	}

	/** Records that a target said in an answer that it is leaving; returns false if that is known. */
	markLeaving({targetId, bornMs}: TargetLifetime, nowMs: number): boolean {
		if ((this.#leaving.get(targetId)?.bornMs ?? Number.NEGATIVE_INFINITY) >= bornMs) {
			return false;
		}

		this.#leaving.delete(targetId);
		this.#leaving.set(targetId, {bornMs, learnedAtMs: nowMs});
		this.#limitLeaving();
		const known = this.#targets.get(targetId);
		if (known) {
			this.#store({...known, report: this.#withLeaving(known.report)});
		}

		return true;
	}

	/** Lifetimes of targets that said in an answer that they are leaving. */
	leaving(): TargetLifetime[] {
		return [...this.#leaving].map(([targetId, {bornMs}]) => ({targetId, bornMs}));
	}

	/** Adds a report; returns false if a newer one is known. */
	add(reported: TargetReport, nowMs: number): boolean {
		return this.#add(reported, nowMs, this.#coldUntilMsOf(reported, nowMs));
	}

	/** Records a heartbeat; returns false if it is not newer than what is known, or the target's report is unknown. */
	touch({targetId, bornMs, sequence}: TargetHeartbeat, nowMs: number): boolean {
		const known = this.#targets.get(targetId);
		return known?.report.bornMs === bornMs && this.#add({...known.report, sequence}, nowMs, known.coldUntilMs);
	}

	/** Returns a report that this lifetime of the target has left; undefined if another one is known, or none. Without a lifetime, the known one has left. */
	goneReport({targetId, bornMs}: Pick<TargetLifetime, 'targetId'> & Partial<TargetLifetime>): TargetReport | undefined {
		const known = this.#targets.get(targetId)?.report;
		const isNamed = bornMs === undefined || known?.bornMs === bornMs;
		return known && isNamed ? {...known, state: 'gone', sequence: known.sequence + goneSequenceLead} : undefined;
	}

	/** The newest report of a target. */
	get(targetId: string): TargetReport | undefined {
		return this.#targets.get(targetId)?.report;
	}

	/** The newest report of a target, with what is left now of its cold time. */
	current(targetId: string, nowMs: number): TargetReport | undefined {
		const known = this.#targets.get(targetId);
		return known && withColdLeft(known, nowMs);
	}

	/** Returns all reports, including those of targets that have left, with what is left now of their cold times. */
	allCurrent(nowMs: number): TargetReport[] {
		return [...this.#targets.values()].map(known => withColdLeft(known, nowMs));
	}

	/** Returns all reports, including those of targets that have left. */
	all(): TargetReport[] {
		return [...this.#targets.values()].map(({report}) => report);
	}

	/** Returns the targets that accept new work. A target counts as silent only in comparison to others that have reported since. */
	ready(): TargetReport[] {
		return [...this.#targets.values()]
			.filter(({report, heardAtMs}) => report.state === 'ready' && this.#newestHeardAtMs - heardAtMs < silenceTimeoutMs)
			.map(({report}) => report);
	}

	/** Removes targets that have left, or been silent while others reported, for the retention time. */
	expire(nowMs: number): void {
		for (const [targetId, {report, heardAtMs}] of this.#targets) {
			const silentUntilMs = report.state === 'gone' ? nowMs : this.#newestHeardAtMs;
			if (silentUntilMs - heardAtMs > goneRetentionMs) {
				this.#forget(targetId);
			}
		}

		for (const [targetId, {learnedAtMs}] of this.#leaving) {
			if (!this.#targets.has(targetId) && nowMs - learnedAtMs > goneRetentionMs) {
				this.#leaving.delete(targetId);
			}
		}
	}

	#add(reported: TargetReport, nowMs: number, coldUntilMs: number | undefined): boolean {
		const report = this.#withLeaving(reported);
		const known = this.#targets.get(report.targetId);
		if (known && !isNewer(report, known.report)) {
			return false;
		}

		if (this.#hasNewerTargetAtAddress(report)) {
			return false;
		}

		this.#markOlderTargetsGone(report);
		if (!known && this.#targets.size >= this.#maxTargets) {
			this.#removeSilent();
		}

		this.#store({report, heardAtMs: nowMs, coldUntilMs});
		if (report.state !== 'gone') {
			this.#newestHeardAtMs = nowMs;
		}

		return true;
	}

	#removeSilent(): void {
		const bySilence = [...this.#targets].toSorted(([, left], [, right]) => left.heardAtMs - right.heardAtMs);
		const removed = bySilence.slice(0, Math.ceil(this.#maxTargets * removedShare));
		for (const [targetId] of removed) {
			this.#forget(targetId);
		}

		this.#onExceeded({removedCount: removed.length, maxTargets: this.#maxTargets});
	}

	/** The notices are in the order in which they came. */
	#limitLeaving(): void {
		if (this.#leaving.size > this.#maxTargets) {
			const [oldest] = this.#leaving.keys();
			this.#leaving.delete(oldest);
			this.#onExceeded({removedCount: 1, maxTargets: this.#maxTargets});
		}
	}

	/** The report, as draining if its lifetime is known to be leaving. */
	#withLeaving(report: TargetReport): TargetReport {
		const isLeaving = this.#leaving.get(report.targetId)?.bornMs === report.bornMs;
		return isLeaving && report.state === 'ready' ? {...report, state: 'draining'} : report;
	}

	/** The end of the reported cold time; that of the known report if it is the same one. */
	#coldUntilMsOf({targetId, bornMs, coldLeftMs}: TargetReport, nowMs: number): number | undefined {
		const known = this.#targets.get(targetId);
		const knownUntilMs = known?.report.bornMs === bornMs ? known.coldUntilMs : undefined;
		const untilMs = coldLeftMs === undefined ? undefined : nowMs + coldLeftMs;
		const isSame = untilMs !== undefined && knownUntilMs !== undefined && coldLeftMs! > 0 && Math.abs(untilMs - knownUntilMs) < sameColdEndMs;
		return isSame ? knownUntilMs : untilMs;
	}

	#store(target: KnownTarget): void {
		const {targetId, address} = target.report;
		if (this.#targets.get(targetId)?.report.address !== address) {
			this.#forget(targetId);
		}

		this.#targets.set(targetId, target);
		this.#idsByAddress.set(address, (this.#idsByAddress.get(address) ?? new Set()).add(targetId));
	}

	#forget(targetId: string): void {
		const address = this.#targets.get(targetId)?.report.address;
		this.#targets.delete(targetId);
		const ids = address === undefined ? undefined : this.#idsByAddress.get(address);
		ids?.delete(targetId);
		if (address !== undefined && ids?.size === 0) {
			this.#idsByAddress.delete(address);
		}
	}

	/** Other targets that are or were at the address of a report. */
	#othersAtAddress({targetId, address}: TargetReport): KnownTarget[] {
		const ids = this.#idsByAddress.get(address) ?? [];
		return [...ids].filter(id => id !== targetId).map(id => this.#targets.get(id)!);
	}

	#hasNewerTargetAtAddress(report: TargetReport): boolean {
		return this.#othersAtAddress(report).some(({report: other}) => other.bornMs > report.bornMs);
	}

	#markOlderTargetsGone(report: TargetReport): void {
		for (const other of this.#othersAtAddress(report)) {
			if (other.report.state !== 'gone') {
				this.#store({...other, report: {...other.report, state: 'gone'}});
			}
		}
	}
}

/** Whether two reports of a target differ in nothing but their sequence and the passing of its cold time. */
export function isSameState(previous: TargetReport, current: TargetReport): boolean {
	return JSON.stringify(withoutTimes(previous)) === JSON.stringify(withoutTimes(current)) && isSameColdTime(previous.coldLeftMs, current.coldLeftMs);
}

function withoutTimes({sequence: _sequence, coldLeftMs: _coldLeftMs, ...report}: TargetReport): Partial<TargetReport> {
	return report;
}

function isSameColdTime(previous: number | undefined, current: number | undefined): boolean {
	return previous === current || (previous !== undefined && current !== undefined && previous > 0 && current > 0 && Math.abs(previous - current) < sameColdEndMs);
}

function withColdLeft({report, coldUntilMs}: KnownTarget, nowMs: number): TargetReport {
	return coldUntilMs === undefined ? report : {...report, coldLeftMs: Math.max(0, coldUntilMs - nowMs)};
}

/** Nothing follows the end of a lifetime, whichever reports of it others know. */
function isNewer(report: TargetReport, known: TargetReport): boolean {
	if (report.bornMs !== known.bornMs) {
		return report.bornMs > known.bornMs;
	}

	return known.state !== 'gone' && (report.state === 'gone' || report.sequence > known.sequence);
}
