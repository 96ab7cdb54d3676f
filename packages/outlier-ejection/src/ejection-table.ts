/**
Decides which targets of a service an entry leaves out, from its own evidence and the accusations of the others.

Load that this answers: targets that fail, hang or are late while they say that they are well; and the faults that look alike at one entry, such as a bad link of its own. A lone
entry ejects only for itself and on whole evidence, and one that accuses a large part of a service is taken to accuse its own link. Few targets are out at a time, so that a wrong
judgement can't take away the service.
*/

import {type ExclusionReason, TargetExclusion} from '@rattanspring/placement';
import type {TargetLifetime, TargetReport} from '@rattanspring/target-table';
import {
	type Accusation, accusationValidityMs, type BadOutcome, type OutcomeKind,
} from './accusation.js';
import {AccusationBook} from './accusation-book.js';
import type {EjectionEvent, EjectionSource} from './ejection-event.js';
import type {Evidence, ServiceTarget} from './outcome-record.js';
import {minEntries, type Suspect, suspectsAmong} from './suspects.js';

/** Part of a service that is left out at a time, but at least one target. */
const maxEjectedPart = 1 / 10;

/** Time of the first ejection, and the longest. */
const firstEjectionMs = 2000;
const maxEjectionMs = 8000;

/** An ejection within this time after the end of the last one lasts twice as long as that. */
const relapseMs = 30_000;

/** Probation without any request ends after this time: nothing speaks against the target any more. */
const maxIdleProbationMs = 10_000;

/** A target that is not ready for this long is forgotten. */
const maxAbsenceMs = 60_000;

const defaultMaxTargets = 10_000;

/** A request to a target on probation. */
export type Trial = {readonly target: TargetLifetime};

type State = ServiceTarget & {
	phase: 'inUse' | 'ejected' | 'onProbation';
	cause: Pick<EjectionEvent, 'kind' | 'entries' | 'evidence'> & {readonly sinceMs: number};
	/** When the phase began. */
	atMs: number;
	durationMs: number;
	trial?: Trial;
};

/** Options of the table. */
export type EjectionTableOptions = {
	/** Node ID of this entry. */
	readonly entry: string;
	readonly onChange?: (event: EjectionEvent) => void;
	readonly maxTargets?: number;
};

/** The ejected targets, as one entry sees them. */
export class EjectionTable extends TargetExclusion {
	readonly #options: EjectionTableOptions;
	readonly #book = new AccusationBook();
	/** Targets that were ready lately, by ID. */
	readonly #targets = new Map<string, ServiceTarget & {seenAtMs: number}>();
	/** IDs of the ready targets, by service. */
	readonly #ready = new Map<string, Set<string>>();
	readonly #states = new Map<string, State>();
	readonly #ownEvidence = new Map<string, {readonly bornMs: number; readonly evidence: Evidence; readonly atMs: number}>();

	constructor(options: EjectionTableOptions) {
		super();
		this.#options = options;
	}

	/** Number of targets that are ejected or on probation. */
	get ejectedCount(): number {
		return [...this.#states.values()].filter(({phase}) => phase !== 'inUse').length;
	}

	/** Targets of a service that are ejected or on probation. */
	ejectedOf(service: string): string[] {
		return [...this.#states.values()].filter(state => state.service === service && state.phase !== 'inUse').map(({targetId}) => targetId);
	}

	/** Replaces the targets that accept work, and forgets what has ended. To be called every some hundred milliseconds. */
	setTargets(reports: readonly TargetReport[], nowMs: number): void {
		this.#ready.clear();
		for (const {targetId, bornMs, service} of reports) {
			this.#ready.set(service, (this.#ready.get(service) ?? new Set()).add(targetId));
			this.#targets.delete(targetId);
			this.#targets.set(targetId, {
				targetId, bornMs, service, seenAtMs: nowMs,
			});
		}

		this.#dropOld(nowMs);
		for (const state of this.#states.values()) {
			this.#advance(state, nowMs);
		}

		for (const service of this.#ready.keys()) {
			this.#keepRoom(service, nowMs);
			this.#judge(service, nowMs);
		}
	}

	override reasonAgainst({targetId, bornMs}: TargetReport, nowMs: number): ExclusionReason | undefined {
		const state = this.#states.get(targetId);
		if (state?.bornMs !== bornMs) {
			return undefined;
		}

		this.#advance(state, nowMs);
		return state.phase === 'ejected' || (state.phase === 'onProbation' && state.trial) ? 'ejected' : undefined;
	}

	/** Takes the accusations of other entries. */
	receive(accusations: readonly Accusation[], nowMs: number): void {
		const added = accusations.filter(accusation => accusation.entry !== this.#options.entry && this.#book.add(accusation, nowMs));
		const services = new Set(added.flatMap(({targetId}) => this.#targets.get(targetId)?.service ?? []));
		for (const service of services) {
			this.#judge(service, nowMs);
		}
	}

	/** Takes this entry's own evidence; returns the accusation to tell the others, if it is a new one. */
	accuse({targetId, bornMs, service}: ServiceTarget, evidence: Evidence, nowMs: number): Accusation | undefined {
		if (this.#isOut(targetId, bornMs)) {
			return undefined;
		}

		const accusation = this.#accusationOf({targetId, bornMs}, evidence.kind);
		this.#ownEvidence.set(targetId, {bornMs, evidence, atMs: nowMs});
		const isNew = this.#book.add(accusation, nowMs);
		this.#judge(service, nowMs);
		return isNew ? accusation : undefined;
	}

	/** Records that a request was sent; returns the trial that it is, if its target is on probation. */
	sent({targetId, bornMs}: TargetLifetime): Trial | undefined {
		const state = this.#states.get(targetId);
		if (state?.bornMs !== bornMs || state.phase !== 'onProbation' || state.trial) {
			return undefined;
		}

		state.trial = {target: {targetId, bornMs}};
		return state.trial;
	}

	/** Records how a trial ended: an answer ends the ejection, a bad outcome doubles its time, and one that says nothing changes nothing. Returns the accusation to tell the others, if it failed. */
	trialEnded(trial: Trial, kind: OutcomeKind | undefined, nowMs: number): Accusation | undefined {
		const state = this.#states.get(trial.target.targetId);
		if (state?.trial !== trial) {
			return undefined;
		}

		state.trial = undefined;
		if (kind === 'answered') {
			this.#reinstate(state, 'probation', nowMs);
			return undefined;
		}

		if (kind) {
			state.cause = {...state.cause, kind, sinceMs: nowMs};
			this.#eject(state, Math.min(maxEjectionMs, state.durationMs * 2), 'probation', nowMs);
		}

		const accusation = kind && this.#accusationOf(trial.target, kind);
		return accusation && this.#book.add(accusation, nowMs) ? accusation : undefined;
	}

	#accusationOf({targetId, bornMs}: TargetLifetime, kind: BadOutcome): Accusation {
		return {
			targetId, bornMs, entry: this.#options.entry, kind, timeLeftMs: accusationValidityMs,
		};
	}

	/** Targets of a service that may be out at a time: never all. */
	#limitOf(service: string): number {
		const count = this.#countOf(service);
		return Math.min(count - 1, Math.max(1, Math.floor(count * maxEjectedPart)));
	}

	#countOf(service: string): number {
		return this.#ready.get(service)?.size ?? 0;
	}

	#readyOutOf(service: string): State[] {
		return [...this.#states.values()].filter(({phase, targetId}) => phase !== 'inUse' && this.#ready.get(service)?.has(targetId));
	}

	/** When targets in use have gone, those that were ejected first come back. */
	#keepRoom(service: string, nowMs: number): void {
		const out = this.#readyOutOf(service);
		for (const state of out.slice(0, Math.max(0, out.length - this.#limitOf(service)))) {
			this.#reinstate(state, 'room', nowMs);
		}
	}

	#judge(service: string, nowMs: number): void {
		const room = this.#limitOf(service) - this.#readyOutOf(service).length;
		if (room <= 0) {
			return;
		}

		for (const suspect of this.#suspects(service, nowMs).slice(0, room)) {
			this.#ejectSuspect(suspect, nowMs);
		}
	}

	/**
	Targets in use against which enough is known, by accusations against their present lifetimes. Those from before the answer that ended the last ejection count only
	beside fresh evidence of this entry.
	*/
	#suspects(service: string, nowMs: number): Suspect[] {
		const accusations = this.#book.inForce(nowMs).filter(({targetId, bornMs}) => {
			const target = this.#targets.get(targetId);
			return target?.service === service && target.bornMs === bornMs;
		});
		return suspectsAmong(accusations, {
			service,
			targetCount: this.#countOf(service),
			isCurrent: ({targetId, madeAtMs}) => this.#ownEvidence.has(targetId) || madeAtMs > (this.#states.get(targetId)?.atMs ?? Number.NEGATIVE_INFINITY),
			ownEntry: this.#options.entry,
			ownEvidence: ({targetId}) => this.#ownEvidence.get(targetId)?.evidence,
		}).filter(({targetId, bornMs}) => !this.#isOut(targetId, bornMs));
	}

	#ejectSuspect({targetId, bornMs, service, kind, entries, evidence, sinceMs}: Suspect, nowMs: number): void {
		const known = this.#states.get(targetId);
		const isRelapse = known?.bornMs === bornMs && nowMs - known.atMs < relapseMs;
		const state: State = {
			targetId, bornMs, service, phase: 'ejected', atMs: nowMs, durationMs: 0, cause: {
				kind, entries, evidence, sinceMs,
			},
		};
		this.#states.delete(targetId);
		this.#states.set(targetId, state);
		const durationMs = isRelapse ? Math.min(maxEjectionMs, known.durationMs * 2) : firstEjectionMs;
		this.#eject(state, durationMs, entries.length >= minEntries ? 'entries' : 'ownEvidence', nowMs);
	}

	#eject(state: State, durationMs: number, source: EjectionSource, nowMs: number): void {
		state.phase = 'ejected';
		state.atMs = nowMs;
		state.durationMs = durationMs;
		this.#notify(state, 'ejected', source, nowMs);
	}

	#reinstate(state: State, source: EjectionSource, nowMs: number): void {
		state.phase = 'inUse';
		state.atMs = nowMs;
		this.#ownEvidence.delete(state.targetId);
		this.#notify(state, 'reinstated', source, nowMs);
	}

	/** Moves a target on whose time is over. */
	#advance(state: State, nowMs: number): void {
		if (state.phase === 'ejected' && nowMs - state.atMs >= state.durationMs) {
			state.phase = 'onProbation';
			state.atMs = nowMs;
			this.#notify(state, 'onProbation', 'time', nowMs);
		} else if (state.phase === 'onProbation' && !state.trial && nowMs - state.atMs >= maxIdleProbationMs) {
			this.#reinstate(state, 'time', nowMs);
		}
	}

	#notify({targetId, bornMs, service, cause, durationMs}: State, step: EjectionEvent['step'], source: EjectionSource, nowMs: number): void {
		const {kind, entries, evidence, sinceMs} = cause;
		this.#options.onChange?.({
			targetId, bornMs, service, step, source, kind, entries, evidence, ageMs: nowMs - sinceMs, forMs: durationMs,
		});
	}

	#isOut(targetId: string, bornMs: number): boolean {
		const state = this.#states.get(targetId);
		return state?.bornMs === bornMs && state.phase !== 'inUse';
	}

	/** Forgets lifetimes that have ended, targets that were away for long, and what has no consequence any more. */
	#dropOld(nowMs: number): void {
		const maxTargets = this.#options.maxTargets ?? defaultMaxTargets;
		for (const [targetId, {seenAtMs}] of this.#targets) {
			if (nowMs - seenAtMs <= maxAbsenceMs && this.#targets.size <= maxTargets) {
				break;
			}

			this.#targets.delete(targetId);
		}

		for (const [targetId, {bornMs, phase, atMs}] of this.#states) {
			if (this.#targets.get(targetId)?.bornMs !== bornMs || (phase === 'inUse' && nowMs - atMs >= relapseMs)) {
				this.#states.delete(targetId);
			}
		}

		for (const [targetId, {bornMs, atMs}] of this.#ownEvidence) {
			if (this.#targets.get(targetId)?.bornMs !== bornMs || nowMs - atMs >= accusationValidityMs) {
				this.#ownEvidence.delete(targetId);
			}
		}
	}
}
