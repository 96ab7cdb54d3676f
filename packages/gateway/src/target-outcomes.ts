/** What becomes of this entry's requests at targets, and which targets are left out for it. */

import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {
	type Accusation, type EjectionEvent, EjectionTable, OutcomeRecord, type ServiceTarget, type Trial,
} from '@rattanspring/outlier-ejection';
import type {ExchangeOutcome} from '@rattanspring/placement';
import type {TargetReport} from '@rattanspring/target-table';

/** Log events by step. */
const eventNames = {ejected: 'targetEjected', onProbation: 'targetOnProbation', reinstated: 'targetReinstated'} as const;

/** Targets that the log line of a request names as left out. */
const maxNamedTargets = 8;

/** Options of the outcomes. */
export type TargetOutcomesOptions = {
	readonly nodeId: string;
	/** Tells the other entries. */
	readonly onAccusation: (accusation: Accusation) => void;
	/** Whether a target is cold, as this entry knows it; by default as the target has reported. */
	readonly isCold?: (target: TargetReport) => boolean;
	readonly logger: Logger;
	readonly metrics: DaemonMetrics;
	readonly nowMs: () => number;
};

/** A request at a target. */
export type ObservedExchange = {
	readonly target: ServiceTarget;
	readonly requestId?: string;
	readonly route?: string;
	readonly isCold: boolean;
	readonly sentAtMs: number;
	readonly trial?: Trial;
	firstEventAtMs?: number;
};

/** The outcomes at one entry. */
export class TargetOutcomes {
	readonly table: EjectionTable;
	readonly #options: TargetOutcomesOptions;
	readonly #record = new OutcomeRecord();

	constructor(options: TargetOutcomesOptions) {
		this.#options = options;
		this.table = new EjectionTable({
			entry: options.nodeId, onChange: event => {
				this.#onChange(event);
			},
		});
	}

	/** Records that a request was sent. */
	sent(report: TargetReport, request: Pick<ObservedExchange, 'requestId' | 'route'> = {}): ObservedExchange {
		const {targetId, bornMs, service, coldLeftMs} = report;
		const {isCold = () => (coldLeftMs ?? 0) > 0} = this.#options;
		return {
			...request, target: {targetId, bornMs, service}, isCold: isCold(report), sentAtMs: this.#options.nowMs(), trial: this.table.sent({targetId, bornMs}),
		};
	}

	/** Records that the first event came. */
	begun(exchange: ObservedExchange): void {
		exchange.firstEventAtMs ??= this.#options.nowMs();
	}

	/** Records how the request ended. An answer in one piece is its own first event. */
	ended(exchange: ObservedExchange, outcome: ExchangeOutcome): void {
		const nowMs = this.#options.nowMs();
		const {target, sentAtMs, firstEventAtMs, isCold, requestId, route, trial} = exchange;
		const begunAtMs = firstEventAtMs ?? (outcome === 'answered' ? nowMs : undefined);
		const kind = this.#record.record(target, {
			outcome, tookMs: nowMs - sentAtMs, isCold, requestId, route, ...(begunAtMs !== undefined && {firstEventMs: begunAtMs - sentAtMs}),
		}, nowMs);
		const evidence = !trial && kind && kind !== 'answered' ? this.#record.evidenceAgainst(target, nowMs) : undefined;
		const accusation = trial ? this.table.trialEnded(trial, kind, nowMs) : evidence && this.table.accuse(target, evidence, nowMs);
		if (accusation) {
			this.#options.onAccusation(accusation);
		}
	}

	/** Takes the accusations of other entries. */
	receive(accusations: readonly Accusation[]): void {
		this.table.receive(accusations, this.#options.nowMs());
	}

	/** Replaces the targets that accept work. */
	setTargets(reports: readonly TargetReport[]): void {
		const nowMs = this.#options.nowMs();
		this.table.setTargets(reports, nowMs);
		this.#record.dropOld(nowMs);
		this.#options.metrics.targetsEjected.set(this.table.ejectedCount);
	}

	/** The targets of a service that are left out, for a log line, without a chosen one on probation; undefined if there are none. */
	leftOut(service: string, chosenId: string | undefined): string | undefined {
		const targetIds = this.table.ejectedOf(service).filter(targetId => targetId !== chosenId);
		return targetIds.length === 0 ? undefined : targetIds.slice(0, maxNamedTargets).join(',');
	}

	#onChange({step, evidence, entries, ageMs, forMs, ...event}: EjectionEvent): void {
		const {logger, metrics} = this.#options;
		if (step === 'reinstated') {
			this.#record.forget(event);
		}

		metrics.targetsEjected.set(this.table.ejectedCount);
		logger.log(step === 'ejected' ? 'warn' : 'info', eventNames[step], {
			...event,
			entries: entries.join(','),
			ageMs: Math.round(ageMs),
			forMs,
			...(evidence && {
				bad: evidence.badCount, of: evidence.count, row: evidence.row, requestIds: evidence.requestIds.join(','),
			}),
		});
	}
}
