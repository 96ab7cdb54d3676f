/**
Which targets are cold, and what their services allow them meanwhile, as one entry knows it.

Load this answers: targets that start, come back or turn cold again while all entries look for free slots. Reports say so, and so do answers; what was learned from
an answer is told on to the other entries. An entry that has itself just started knows no more than its control processes tell it; a target of which
they have no word counts as cold until its service's cold time after its stated start is over.
*/

import type {Service} from '@rattanspring/desired-state';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {ColdTargets, type ColdSource, type ColdWord} from '@rattanspring/target-limits';
import type {TargetLifetime, TargetReport} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';

/** Options of the watch. */
export type ColdWatchOptions = {
	readonly clock: Clock;
	readonly services: () => readonly Service[];
	/** Whether this entry serves callers. */
	readonly isInService: () => boolean;
	readonly logger: Logger;
	readonly metrics: Pick<DaemonMetrics, 'targetsCold'>;
};

/** The cold targets of one entry. */
export class ColdWatch {
	readonly #options: ColdWatchOptions;
	readonly #targets = new ColdTargets();
	/** Lifetimes whose start was seen during service, by target ID. */
	readonly #seenStarts = new Map<string, number>();

	constructor(options: ColdWatchOptions) {
		this.#options = options;
	}

	/** Records a report; `isNewLifetime` is whether no report of this lifetime was known. */
	onReport(report: TargetReport, isNewLifetime: boolean): void {
		const {targetId, bornMs, sequence, coldLeftMs} = report;
		const nowMs = this.#nowMs;
		if (isNewLifetime && this.#options.isInService()) {
			this.#seenStarts.set(targetId, bornMs);
		}

		if (coldLeftMs !== undefined) {
			if (this.#targets.recordReport({
				targetId, bornMs, sequence, coldLeftMs,
			}, nowMs)) {
				this.#log(report, 'report');
			}
		} else if (isNewLifetime && this.#targets.recordStart(report, this.#startedAtMs(bornMs)) && this.#leftMs(report) > 0) {
			this.#log(report, 'assumed', {unstatedMs: this.#serviceOf(report)?.coldMs});
		}
	}

	/** Records what an answer or another daemon says; returns whether the target is cold for longer than was known. */
	onStated(target: TargetLifetime, {leftMs, source, requestId}: {readonly leftMs: number; readonly source: ColdSource; readonly requestId?: string}): boolean {
		const isNew = this.#targets.record(target, {leftMs, source}, this.#nowMs);
		if (isNew) {
			this.#log(target, source, {requestId});
		}

		return isNew;
	}

	/** Records that targets may have turned cold without a word so far, as when their failure domain comes back: they count as cold for their service's cold time. */
	assumeCold(reports: readonly TargetReport[]): void {
		for (const report of reports) {
			const {coldMs = 0} = this.#serviceOf(report) ?? {};
			if (coldMs > 0) {
				this.onStated(report, {leftMs: coldMs, source: 'assumed'});
			}
		}
	}

	/** Requests a second that all entries together may send to a target while it is cold; undefined if it is not cold, or its service has no such limit. */
	limitOf(report: TargetReport): number | undefined {
		const service = this.#serviceOf(report);
		return service?.coldPerSecond !== undefined && this.#leftMs(report, service) > 0 ? service.coldPerSecond : undefined;
	}

	/** Whether this entry has seen the target start. */
	hasSeenStart({targetId, bornMs}: TargetLifetime): boolean {
		return this.#seenStarts.get(targetId) === bornMs;
	}

	/** What answers have said, for a control process that has just connected. */
	get words(): ColdWord[] {
		return this.#targets.words(this.#nowMs);
	}

	/** Logs whose cold time is over; to be called now and then with the targets that are known. */
	refresh(isKnown: (targetId: string) => boolean): void {
		for (const {targetId, bornMs, source, coldForMs} of this.#targets.takeEnded(this.#nowMs)) {
			this.#options.logger.log('info', 'targetColdEnded', {
				targetId, bornMs, source, coldForMs: Math.round(coldForMs),
			});
		}

		for (const targetId of this.#seenStarts.keys()) {
			if (!isKnown(targetId)) {
				this.#seenStarts.delete(targetId);
			}
		}

		this.#options.metrics.targetsCold.set(this.#targets.count(this.#nowMs));
	}

	get #nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	/** A target that was seen to start has started now. One that this entry met when it started itself began when it says; a start in the future is now. */
	#startedAtMs(bornMs: number): number {
		const {clock, isInService} = this.#options;
		return isInService() ? this.#nowMs : this.#nowMs - Math.max(0, clock.wallMs() - bornMs);
	}

	#leftMs(target: TargetLifetime & {readonly service: string}, service = this.#serviceOf(target)): number {
		return this.#targets.leftMs(target, this.#nowMs, service?.coldMs);
	}

	#serviceOf({service}: {readonly service: string}): Service | undefined {
		return this.#options.services().find(({name}) => name === service);
	}

	#log({targetId, bornMs}: TargetLifetime, source: ColdSource, {requestId, unstatedMs}: {readonly requestId?: string; readonly unstatedMs?: number} = {}): void {
		const {clock, logger} = this.#options;
		const coldLeftMs = Math.round(this.#targets.leftMs({targetId, bornMs}, this.#nowMs, unstatedMs));
		logger.log('info', 'targetCold', {
			targetId, bornMs, source, coldLeftMs, ageMs: Math.round(clock.wallMs() - bornMs), ...(requestId !== undefined && {requestId}),
		});
	}
}
