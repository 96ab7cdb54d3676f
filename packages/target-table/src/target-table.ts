/**
The newest report of each target. Reports are soft state that may come late and twice, by several ways; which one counts
follows from the target's start and sequence, never from the order of arrival.
*/

import type {TargetReport} from './target-report.js';

/** A report and when something was last heard of its target, on this process's monotonic clock. */
export type KnownTarget = {readonly report: TargetReport; readonly heardAtMs: number};

/** A target that has not reported for this long, while others have, is not offered work. */
export const silentAfterMs = 4500;

/** Time for which the end of a target is remembered, so that a late report does not bring it back. */
const rememberGoneMs = 120_000;

/** The targets of all services. */
export class TargetTable {
	readonly #targets = new Map<string, KnownTarget>();
	#newestHeardAtMs = Number.NEGATIVE_INFINITY;

	/** Takes a report; false if a newer one is known. */
	add(report: TargetReport, nowMs: number): boolean {
		const known = this.#targets.get(report.targetId);
		if (known && !isNewer(report, known.report)) {
			return false;
		}

		if (this.#isOvertakenAtAddress(report)) {
			return false;
		}

		this.#dropEarlierAtAddress(report);
		this.#targets.set(report.targetId, {report, heardAtMs: nowMs});
		if (report.state !== 'gone') {
			this.#newestHeardAtMs = nowMs;
		}

		return true;
	}

	/** The report that says a target has left; undefined for a target never heard of. */
	goneReport(targetId: string): TargetReport | undefined {
		const known = this.#targets.get(targetId)?.report;
		return known && {...known, state: 'gone', sequence: known.sequence + 1};
	}

	/** The newest report of a target. */
	get(targetId: string): TargetReport | undefined {
		return this.#targets.get(targetId)?.report;
	}

	/** All reports, those of targets that left too. */
	all(): TargetReport[] {
		return [...this.#targets.values()].map(({report}) => report);
	}

	/** Targets that take new work. Silence counts only against others that were heard since. */
	ready(): TargetReport[] {
		return [...this.#targets.values()]
			.filter(({report, heardAtMs}) => report.state === 'ready' && this.#newestHeardAtMs - heardAtMs < silentAfterMs)
			.map(({report}) => report);
	}

	/** Forgets targets that left long ago or fell silent long ago. */
	expire(nowMs: number): void {
		for (const [targetId, {heardAtMs}] of this.#targets) {
			if (nowMs - heardAtMs > rememberGoneMs) {
				this.#targets.delete(targetId);
			}
		}
	}

	#isOvertakenAtAddress(report: TargetReport): boolean {
		return [...this.#targets.values()].some(({report: other}) => other.address === report.address && other.targetId !== report.targetId && other.bornMs > report.bornMs);
	}

	#dropEarlierAtAddress(report: TargetReport): void {
		for (const [targetId, {report: other, heardAtMs}] of this.#targets) {
			if (other.address === report.address && targetId !== report.targetId && other.state !== 'gone') {
				this.#targets.set(targetId, {report: {...other, state: 'gone'}, heardAtMs});
			}
		}
	}
}

function isNewer(report: TargetReport, known: TargetReport): boolean {
	if (report.bornMs !== known.bornMs) {
		return report.bornMs > known.bornMs;
	}

	return known.state !== 'gone' && report.sequence > known.sequence;
}
