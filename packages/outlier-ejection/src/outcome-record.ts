/**
What became of one entry's requests at each target over the last seconds, and the evidence that follows from it.

Load that this answers: targets that fail, hang or are late for a part of their requests while they say that they are well. A target is only ever compared with the others
of its service over the same time: when all fail at once, as a group in lock-step does, there is no evidence against any.
*/

import {type ExchangeOutcome, isFailure} from '@rattanspring/placement';
import type {TargetLifetime} from '@rattanspring/target-table';
import type {BadOutcome, OutcomeKind} from './accusation.js';

/** Outcomes older than this do not count, and no more than this many of a target. */
const windowMs = 10_000;
const maxOutcomes = 64;

/** A first event is slow from this multiple of the service's median on, and not before this time; without one for that long, the request hung. */
const slowFactor = 5;
const minSlowMs = 200;
const minHungMs = 1000;

/** Fewer first events than this are no measure. */
const minSamples = 8;
const maxSamples = 128;

/** The median is worked out anew after this time, not for each request. */
const medianIntervalMs = 250;

/** Bad outcomes, and their share, that are evidence. */
const minBad = 3;
const minBadShare = 0.25;

/** Bad outcomes in a row that are whole evidence. */
const wholeRow = 5;

/** The others do well if they answered this often over the same time, and the share of their bad outcomes is at most this part of the target's. */
const minOthersAnswered = 5;
const maxOthersPart = 1 / 3;

const maxRequestIds = 3;
const defaultMaxTargets = 10_000;

/** Routes of a service whose first events are kept. */
const maxRoutes = 100;

type Outcome = {readonly atMs: number; readonly kind: OutcomeKind; readonly requestId?: string};
type TargetOutcomes = TargetLifetime & {outcomes: Outcome[]};
type FirstEvents = {times: Array<{readonly atMs: number; readonly tookMs: number}>; medianMs?: number; medianAtMs: number};
type ServiceOutcomes = {readonly targets: Map<string, TargetOutcomes>; readonly firstEventsByRoute: Map<string, FirstEvents>};

/** A target of a service. */
export type ServiceTarget = TargetLifetime & {readonly service: string};

/** How a request ended at a target. */
export type EndedExchange = {
	readonly outcome: ExchangeOutcome;
	/** Time from sending to the first event; absent if there was none. */
	readonly firstEventMs?: number;
	/** Time from sending to the end. */
	readonly tookMs: number;
	/** Whether the target was slow after its start. */
	readonly isCold: boolean;
	readonly requestId?: string;
	/** Requests of different routes may take different times: slowness is judged among those of one. */
	readonly route?: string;
};

/** What speaks against a target at this entry. */
export type Evidence = {
	readonly kind: BadOutcome;
	readonly badCount: number;
	readonly count: number;
	/** Bad outcomes since the last answer. */
	readonly row: number;
	/** Whether it suffices without other entries. */
	readonly isWhole: boolean;
	readonly sinceMs: number;
	/** The last requests that went wrong. */
	readonly requestIds: readonly string[];
};

/** The outcomes at one entry. */
export class OutcomeRecord {
	readonly #maxTargets: number;
	readonly #services = new Map<string, ServiceOutcomes>();

	constructor({maxTargets = defaultMaxTargets}: {readonly maxTargets?: number} = {}) {
		this.#maxTargets = maxTargets;
	}

	/** Records how a request ended; returns what it counts as, undefined for what says nothing of the target: a refusal, a caller that left early, the slowness of a cold target. */
	record(target: ServiceTarget, exchange: EndedExchange, nowMs: number): OutcomeKind | undefined {
		const service = this.#of(target.service);
		const {outcome, firstEventMs, isCold, requestId, route = ''} = exchange;
		const firstEvents = firstEventsOf(service, route);
		const kind = kindOf(exchange, medianOf(firstEvents, nowMs));
		if (outcome === 'answered' && firstEventMs !== undefined && !isCold) {
			firstEvents.times = [...firstEvents.times.slice(1 - maxSamples), {atMs: nowMs, tookMs: firstEventMs}];
		}

		if (kind) {
			const known = outcomesOf(service, target, this.#maxTargets);
			known.outcomes = [...recentOf(known, nowMs).slice(1 - maxOutcomes), {atMs: nowMs, kind, requestId}];
		}

		return kind;
	}

	/** Forgets what is known of a target, since it has answered on probation. */
	forget({service, targetId}: ServiceTarget): void {
		this.#services.get(service)?.targets.delete(targetId);
	}

	/** Forgets targets that are gone or had no request lately. */
	dropOld(nowMs: number): void {
		for (const [name, {targets}] of this.#services) {
			for (const [targetId, target] of targets) {
				if (nowMs - target.outcomes.at(-1)!.atMs >= windowMs) {
					targets.delete(targetId);
				}
			}

			if (targets.size === 0) {
				this.#services.delete(name);
			}
		}
	}

	/** What speaks against a target; undefined if it does not do much worse than the others. */
	evidenceAgainst({service, targetId, bornMs}: ServiceTarget, nowMs: number): Evidence | undefined {
		const services = this.#services.get(service);
		const known = services?.targets.get(targetId);
		if (!services || known?.bornMs !== bornMs) {
			return undefined;
		}

		const outcomes = recentOf(known, nowMs);
		const bad = outcomes.filter(({kind}) => kind !== 'answered');
		if (bad.length < minBad) {
			return undefined;
		}

		const row = outcomes.length - 1 - outcomes.findLastIndex(({kind}) => kind === 'answered');
		const rowStartMs = outcomes[outcomes.length - row]?.atMs ?? nowMs;
		const isWhole = row >= wholeRow && doOthersWell(services, targetId, {sinceMs: rowStartMs, badShare: 1}, nowMs);
		const badShare = bad.length / outcomes.filter(({atMs}) => atMs >= bad[0].atMs).length;
		if (!isWhole && (badShare < minBadShare || !doOthersWell(services, targetId, {sinceMs: bad[0].atMs, badShare}, nowMs))) {
			return undefined;
		}

		return {
			kind: mostFrequent(bad),
			badCount: bad.length,
			count: outcomes.length,
			row,
			isWhole,
			sinceMs: isWhole ? rowStartMs : bad[0].atMs,
			requestIds: bad.slice(-maxRequestIds).flatMap(({requestId}) => requestId ?? []),
		};
	}

	#of(name: string): ServiceOutcomes {
		const known = this.#services.get(name) ?? {targets: new Map(), firstEventsByRoute: new Map()};
		this.#services.set(name, known);
		return known;
	}
}

function kindOf({outcome, firstEventMs, tookMs, isCold}: EndedExchange, medianMs: number | undefined): OutcomeKind | undefined {
	const slowFromMs = Math.max(minSlowMs, (medianMs ?? Number.POSITIVE_INFINITY) * slowFactor);
	const isSlow = firstEventMs !== undefined && firstEventMs >= slowFromMs;
	const isHung = firstEventMs === undefined && tookMs >= Math.max(minHungMs, (medianMs ?? 0) * slowFactor);
	if (outcome === 'refused' || (isCold && (isSlow || isHung))) {
		return undefined;
	}

	if (isFailure(outcome)) {
		return isHung ? 'hung' : 'failed';
	}

	if (outcome === 'answered') {
		return isSlow ? 'slow' : 'answered';
	}

	return isHung ? 'hung' : undefined;
}

/** The first events of a route; those of the route that came first are forgotten if there are too many. */
function firstEventsOf({firstEventsByRoute}: ServiceOutcomes, route: string): FirstEvents {
	const known = firstEventsByRoute.get(route) ?? {times: [], medianAtMs: Number.NEGATIVE_INFINITY};
	firstEventsByRoute.set(route, known);
	if (firstEventsByRoute.size > maxRoutes) {
		firstEventsByRoute.delete(firstEventsByRoute.keys().next().value!);
	}

	return known;
}

function medianOf(firstEvents: FirstEvents, nowMs: number): number | undefined {
	if (nowMs - firstEvents.medianAtMs >= medianIntervalMs) {
		firstEvents.medianAtMs = nowMs;
		firstEvents.medianMs = currentMedianOf(firstEvents, nowMs);
	}

	return firstEvents.medianMs;
}

function currentMedianOf({times: firstEvents}: FirstEvents, nowMs: number): number | undefined {
	const times = firstEvents.filter(({atMs}) => nowMs - atMs < windowMs).map(({tookMs}) => tookMs).toSorted((left, right) => left - right);
	return times.length < minSamples ? undefined : times[Math.floor(times.length / 2)];
}

function outcomesOf({targets}: ServiceOutcomes, {targetId, bornMs}: TargetLifetime, maxTargets: number): TargetOutcomes {
	const known = targets.get(targetId);
	if (known?.bornMs === bornMs) {
		return known;
	}

	const created: TargetOutcomes = {targetId, bornMs, outcomes: []};
	if (known && known.bornMs > bornMs) {
		return created;
	}

	targets.delete(targetId);
	targets.set(targetId, created);
	if (targets.size > maxTargets) {
		targets.delete(targets.keys().next().value!);
	}

	return created;
}

function doOthersWell({targets}: ServiceOutcomes, targetId: string, {sinceMs, badShare}: {readonly sinceMs: number; readonly badShare: number}, nowMs: number): boolean {
	let answered = 0;
	let bad = 0;
	for (const target of targets.values()) {
		for (const {atMs, kind} of target.targetId === targetId ? [] : recentOf(target, nowMs)) {
			answered += atMs >= sinceMs && kind === 'answered' ? 1 : 0;
			bad += atMs >= sinceMs && kind !== 'answered' ? 1 : 0;
		}
	}

	return answered >= minOthersAnswered && bad / (answered + bad) <= badShare * maxOthersPart;
}

function recentOf({outcomes}: TargetOutcomes, nowMs: number): Outcome[] {
	return outcomes.filter(({atMs}) => nowMs - atMs < windowMs);
}

function mostFrequent(outcomes: readonly Outcome[]): BadOutcome {
	const countOf = (kind: BadOutcome) => outcomes.filter(outcome => outcome.kind === kind).length;
	const kinds: readonly BadOutcome[] = ['failed', 'hung', 'slow'];
	return kinds.toSorted((left, right) => countOf(right) - countOf(left))[0];
}
