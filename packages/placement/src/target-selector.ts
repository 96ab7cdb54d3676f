/**
Chooses the target for each request of one entry, as the one with the lowest score among those with a free slot. The score combines
the entry's own pending prefill work at the target, its reported load, its failure rate, its pace and its failure domain.
*/

import {LimitTable, PermitHolder, type TargetLimit} from '@rattanspring/target-limits';
import type {TargetLifetime, TargetLoad, TargetReport} from '@rattanspring/target-table';
import {connectionPreference} from './connection-preference.js';
import {groupFigures} from './group-figures.js';
import type {GroupFigures} from './pass-limit.js';
import {type EntryPosition, onTimeEntriesPerSlot} from './slot-shares.js';
import type {ExclusionReason, TargetExclusion} from './target-exclusion.js';
import {
	expectedTokens, hasMemoryFor, isTooLarge, type MemoryProfile, type RequestLength,
} from './target-memory.js';
import {TargetPauses} from './target-pause.js';
import {
	busyOf, type ExchangeOutcome, failureRateAt, isOutdated, isUsable, limitOf, maxLoadAgeMs, ownedSlotsLeft, prefillPassesOf, recordHealth, reservedSlots, targetNumberOf, type TargetRecord,
} from './target-record.js';

/** Approximate time between a measurement at a target and its arrival at the entry. */
const loadDelayMs = 220;

/** Score penalty, in prefill passes, of a target in another failure domain. */
const otherDomainPenalty = 0.8;

/** Range of the random part of a target's score, so that entries with the same load figures do not all choose the same target. */
const scoreJitter = 1;

/** Score penalty of a target whose free slots are all assigned to other entries, and the range of the random part of its score. Targets with a free slot assigned to this entry are preferred. */
const unownedSlotPenalty = 4;
const unownedSlotJitter = 4;

/** Share of the slots up to which targets count as equally loaded: load figures only steer requests away from targets that are nearly full. */
const lowLoadShare = 0.6;

/** Score penalty of a target that fails every request. */
const failurePenalty = 12;

/**
Approximate number of passes until the first event. A slow group is penalised by this for each multiple of its published time, and
its slowest rank a second time, since requests sent there slow down all other ranks.
*/
const passesToFirstEvent = 3;

/** A target with its load as the entry sees it. */
export type TargetView = {
	readonly report: TargetReport;
	readonly busy: number;
	readonly limit: number;
	readonly isBackingOff: boolean;
	readonly inFlight: number;
	readonly loadAgeMs?: number;
	/** Whether the target names a limit. */
	readonly isLimited?: boolean;
};

/** Input of a choice. */
export type ChoiceInput = {
	readonly service: string;
	readonly nowMs: number;
	readonly excluded?: ReadonlySet<string>;
	/** Whether the target with the fewest requests is chosen, whatever else speaks for others. */
	readonly preferIdle?: boolean;
	/** Share of each target's slots that may be used; all by default. */
	readonly slotShare?: number;
	/** Share of all slots that stays free; none by default. Rounded up at some targets and down at others. */
	readonly reserve?: number;
	/** Length of the request; without it, memory is not regarded. */
	readonly requestLength?: RequestLength;
	/** Number of entries to which each free slot is assigned, if only slots assigned to this entry may be used. Without it any free slot may be used. */
	readonly entriesPerSlot?: number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
};

/**
A target to send to, or why there is none: `full` if no usable target has a free slot and memory for the request, `limited` if the limits of all of them leave no
request for now, `tooLarge` if the request exceeds the memory of any target, `paused` if all of them have asked for a pause, `drained` if all usable targets are in
drained failure domains, `none` if there is no usable target.
*/
export type Choice
	= | {readonly kind: 'target'; readonly view: TargetView}
		| {readonly kind: 'tooLarge' | 'drained' | 'none'}
		/** `isForOthers` is whether there may be a slot for another request: one that needs less memory, or may go to targets that this one has tried. */
		| {readonly kind: 'full'; readonly isForOthers?: boolean}
		/** There is no permit before this time has passed. */
		| {readonly kind: 'limited'; readonly permitInMs: number}
		| {readonly kind: 'paused'; readonly untilMs: number};

export type TargetSelectorOptions = {
	readonly failureDomain: string;
	/** Position of this entry among those that send to the same targets; by default it is the only one. */
	readonly entryPosition?: () => EntryPosition;
	/** Requests that a target of a service may process on average, from what is known of its group; undefined if only its slots limit them. */
	readonly writersWithin?: (service: string, figures: GroupFigures, nowMs: number) => number | undefined;
	/** Engine of a service's targets; without it, their memory is not regarded. */
	readonly engineOf?: (service: string) => MemoryProfile | undefined;
	/** Reasons against ready targets; none by default. */
	readonly exclusions?: readonly TargetExclusion[];
	/** Limit of a target while it is cold, in requests a second of all entries together; undefined if it is not cold or has none. */
	readonly coldLimitOf?: (target: TargetReport, nowMs: number) => number | undefined;
	/** Whether the target was seen to start, so that it may not be able yet to take what other targets take; no by default. */
	readonly hasSeenStart?: (target: TargetLifetime) => boolean;
	/** Time that counts the suspension of the process, for permits; by default that of the calls. */
	readonly permitNowMs?: () => number;
	/** Whether there is a kept connection to an address; none by default. */
	readonly hasConnection?: (address: string) => boolean;
};

/** What the score of a target depends on beside its record. */
type ScoreInput = {
	readonly busy: number;
	readonly limit: number;
	/** Pace of each rank group. */
	readonly paces: ReadonlyMap<string, number>;
	readonly random: () => number;
};

/** What is known of the rank groups of a service at a moment, by group. */
type KnownGroups = {
	readonly nowMs: number;
	readonly paces: ReadonlyMap<string, number>;
	readonly writers: ReadonlyMap<string, number>;
};

const alone: EntryPosition = {index: 0, count: 1};

/**
Selects targets for the requests of one entry.

The time to the first event depends mostly on the prompts that a target still has to prefill, far more than on the streams that it
generates. Load figures do not show pending prefill, are a few hundred milliseconds old and are the same at all entries: if entries
ranked targets by load alone, all would send to the same target at once. So an entry scores targets first by the prefill of the
requests that it has sent itself and that have no first event yet. Apart from that, load figures and failure rates only steer
requests away from targets that are nearly full, slow or failing.
*/
export class TargetSelector {
	readonly #options: TargetSelectorOptions;
	/** Records of the targets, by target id. */
	readonly #records = new Map<string, TargetRecord>();
	/** The same by service; absent until it is needed after the targets have changed. */
	#recordsByService?: ReadonlyMap<string, readonly TargetRecord[]>;
	/** The groups of services as they were when last asked for, without change of their targets or figures since. */
	readonly #groups = new Map<string, KnownGroups>();
	readonly #pauses = new TargetPauses();
	readonly #limits = new LimitTable();
	readonly #permits = new PermitHolder();
	/** Newest load figures, by target address. */
	readonly #loads = new Map<string, {readonly load: TargetLoad; readonly atMs: number}>();

	constructor(options: TargetSelectorOptions) {
		this.#options = options;
	}

	/** Replaces the set of targets that accept new work. Removed targets are kept while requests are in progress there. */
	setTargets(reports: readonly TargetReport[], nowMs: number): void {
		this.#recordsByService = undefined;
		this.#groups.clear();
		this.#pauses.removeEnded(nowMs);
		this.#permits.retain(targetId => this.#records.has(targetId));
		const ready = new Set<string>();
		for (const report of reports) {
			ready.add(report.targetId);
			this.#setTarget(report);
		}

		for (const [targetId, record] of this.#records) {
			if (!ready.has(targetId)) {
				record.report = {...record.report, state: 'draining'};
				if (record.inFlight === 0) {
					this.#records.delete(targetId);
				}
			}
		}
	}

	/** Applies load figures; those that are older than the known ones are ignored. */
	setLoads(loads: readonly TargetLoad[], nowMs: number): void {
		this.#groups.clear();
		for (const load of loads) {
			if (!isOutdated(load, this.#loads.get(load.address)?.load)) {
				this.#loads.set(load.address, {load, atMs: nowMs});
			}
		}

		for (const record of this.#records.values()) {
			const known = this.#loads.get(record.report.address);
			if (known?.load.bornMs === record.report.bornMs && known.atMs !== record.loadAtMs) {
				record.load = known.load;
				record.loadAtMs = known.atMs;
				record.sentAtMs = record.sentAtMs.filter(sentAtMs => sentAtMs > known.atMs - loadDelayMs);
				record.sentTokens = record.sentTokens.filter(({atMs}) => atMs > known.atMs - loadDelayMs);
			}
		}
	}

	/** Records that a request was sent. */
	sent(targetId: string, nowMs: number, promptTokens?: number, requestLength?: RequestLength): void {
		const record = this.#records.get(targetId);
		if (record) {
			if (this.#limitOf(record.report, nowMs)) {
				this.#permits.use(record.report);
			}

			record.inFlight++;
			record.pendingPrefillPasses += prefillPassesOf(promptTokens);
			record.sentAtMs = record.sentAtMs.filter(sentAtMs => sentAtMs > nowMs - maxLoadAgeMs - loadDelayMs);
			record.sentAtMs.push(nowMs);
			this.#recordTokens(record, nowMs, requestLength);
		}
	}

	/** Records that a lifetime of a target has answered a request. */
	answered(target: TargetLifetime): void {
		const record = this.#recordOf(target);
		if (record) {
			record.hasAnswered = true;
		}
	}

	/** Records that a request got its first event, or ended without one. */
	begun(target: TargetLifetime, promptTokens?: number): void {
		const record = this.#recordOf(target);
		if (record) {
			record.pendingPrefillPasses = Math.max(0, record.pendingPrefillPasses - prefillPassesOf(promptTokens));
		}
	}

	/** Records that a target wants no further requests from this entry until a moment. */
	pause(targetId: string, bornMs: number, untilMs: number): void {
		this.#pauses.add(targetId, bornMs, untilMs);
	}

	/** The permits for targets that name a limit. */
	get permits(): PermitHolder {
		return this.#permits;
	}

	/** The limits that targets name. */
	get limits(): TargetLimit[] {
		return this.#limits.all;
	}

	/** Records a limit; returns whether it differs from the known one. */
	setLimit(limit: TargetLimit): boolean {
		return this.#limits.set(limit);
	}

	/** Targets of a service that accept work and have a limit. */
	limitedTargets(service: string, nowMs: number): TargetLimit[] {
		return this.#recordsOf(service).flatMap(record => {
			const limit = isUsable(record, service, nowMs) && this.#exclusionOf(record, nowMs) === undefined ? this.#limitOf(record.report, nowMs) : undefined;
			return limit ? [limit] : [];
		});
	}

	/** Those of the limited targets to which this entry may send now if it has a permit; all of them if there is no such target. */
	permitTargets(service: string, nowMs: number): TargetLimit[] {
		const limited = this.limitedTargets(service, nowMs);
		const {writers} = this.#groupsOf(service, nowMs);
		const usable = limited.filter(({targetId}) => {
			const record = this.#records.get(targetId)!;
			return ownedSlotsLeft(record, nowMs, {position: this.#entryPosition, limit: limitOf(record, writers), entriesPerSlot: onTimeEntriesPerSlot}) > 0;
		});
		return usable.length > 0 ? usable : limited;
	}

	/** Records how a request ended at a lifetime of a target. */
	ended(target: TargetLifetime, outcome: ExchangeOutcome, nowMs: number): void {
		const record = this.#recordOf(target);
		if (!record) {
			return;
		}

		record.inFlight--;
		if (outcome === 'abandoned') {
			return;
		}

		recordHealth(record, outcome, nowMs);
	}

	/** Share of the slots of a service's usable targets that are free, as this entry sees it, without targets whose limit leaves no request for now; 0 without targets. */
	freeShare(service: string, nowMs: number): number {
		let slots = 0;
		let free = 0;
		const {writers} = this.#groupsOf(service, nowMs);
		for (const record of this.#recordsOf(service)) {
			if (isUsable(record, service, nowMs) && this.#exclusionOf(record, nowMs) === undefined && this.#mayBeSent(record, nowMs)) {
				const {busy, limit} = this.#view(record, nowMs, limitOf(record, writers));
				slots += limit;
				free += Math.max(0, limit - busy);
			}
		}

		return slots === 0 ? 0 : free / slots;
	}

	/** Chooses the target with the lowest score among those that have a free slot. Ejected targets are better than none. */
	choose(input: ChoiceInput): Choice {
		const choice = this.#chooseAmong(input, false);
		return choice.kind === 'none' || choice.kind === 'drained' ? this.#chooseAmong(input, true) : choice;
	}

	/** Records of a service's targets, in their order. */
	#recordsOf(service: string): readonly TargetRecord[] {
		this.#recordsByService ??= recordsByService(this.#records.values());
		return this.#recordsByService.get(service) ?? [];
	}

	/** What is known of a lifetime of a target; undefined if the target has started again since, or is gone. */
	#recordOf({targetId, bornMs}: TargetLifetime): TargetRecord | undefined {
		const record = this.#records.get(targetId);
		return record?.report.bornMs === bornMs ? record : undefined;
	}

	#chooseAmong({service, nowMs, excluded, random, preferIdle = false, slotShare = 1, reserve = 0, entriesPerSlot, requestLength}: ChoiceInput, mayUseEjected: boolean): Choice {
		const memory = this.#memoryCheck(service, nowMs, requestLength);
		if (memory === 'tooLarge') {
			return {kind: 'tooLarge'};
		}

		let best: TargetRecord | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		let hasUsableTarget = false;
		let areAllLimited = true;
		let hasDrainedTarget = false;
		let isForOthers = excluded !== undefined && excluded.size > 0;
		let firstPauseEndMs = Number.POSITIVE_INFINITY;
		const {paces, writers} = this.#groupsOf(service, nowMs);
		const place = this.#entryPosition;
		for (const record of this.#recordsOf(service)) {
			const {targetId} = record.report;
			if (!isUsable(record, service, nowMs) || excluded?.has(targetId)) {
				continue;
			}

			const exclusion = this.#exclusionOf(record, nowMs);
			if (exclusion && !(exclusion === 'ejected' && mayUseEjected)) {
				hasDrainedTarget ||= exclusion === 'domainDrained';
				continue;
			}

			const pausedUntilMs = this.#pauses.untilMs(targetId, record.report.bornMs, nowMs);
			if (pausedUntilMs !== undefined) {
				firstPauseEndMs = Math.min(firstPauseEndMs, pausedUntilMs);
				continue;
			}

			hasUsableTarget = true;
			if (!this.#mayBeSent(record, nowMs)) {
				continue;
			}

			areAllLimited = false;
			const limit = limitOf(record, writers);
			const busy = busyOf(record, nowMs - record.loadAtMs, place.count);
			const usableSlots = Math.min(limit * slotShare, limit - reservedSlots(record, limit, reserve));
			const mayUseSlot = entriesPerSlot === undefined || ownedSlotsLeft(record, nowMs, {position: place, limit, entriesPerSlot}) > 0;
			if (nowMs < record.backoffUntilMs || busy >= usableSlots || !mayUseSlot || this.#isUntried(record)) {
				continue;
			}

			if (memory && !memory(record)) {
				isForOthers = true;
				continue;
			}

			const score = preferIdle
				? busy + random()
				: this.#score(record, nowMs, {
					busy, limit, paces, random,
				});
			if (score < bestScore) {
				best = record;
				bestScore = score;
			}
		}

		if (best) {
			return {kind: 'target', view: this.#view(best, nowMs, limitOf(best, writers))};
		}

		if (hasUsableTarget) {
			return areAllLimited ? {kind: 'limited', permitInMs: this.#permits.earliestPermitInMs(this.limitedTargets(service, nowMs), this.#permitNowMs(nowMs))} : {kind: 'full', ...(isForOthers && {isForOthers})};
		}

		if (Number.isFinite(firstPauseEndMs)) {
			return {kind: 'paused', untilMs: firstPauseEndMs};
		}

		return {kind: hasDrainedTarget ? 'drained' : 'none'};
	}

	/** Score of a target; the lowest is the best. */
	#score(record: TargetRecord, nowMs: number, {busy, limit, paces, random}: ScoreInput): number {
		const lowLoad = record.report.slots * lowLoadShare;
		const excessLoad = Math.max(0, busy - lowLoad);
		const ownsFreeSlot = ownedSlotsLeft(record, nowMs, {position: this.#entryPosition, limit}) > 0;
		const slotPenalty = ownsFreeSlot ? random() * scoreJitter : unownedSlotPenalty + (random() * unownedSlotJitter);
		const preference = this.#connectionPreference(record, busy, lowLoad);
		return record.pendingPrefillPasses + excessLoad + this.#penalty(record, nowMs, paces) + slotPenalty - preference;
	}

	/** Whether a target has memory for a request; `tooLarge` if none of the service ever has, undefined if memory is not regarded. */
	#memoryCheck(service: string, nowMs: number, length: RequestLength | undefined): ((record: TargetRecord) => boolean) | 'tooLarge' | undefined {
		const engine = length && this.#options.engineOf?.(service);
		if (!engine || engine.contextTokens <= 0) {
			return undefined;
		}

		if (isTooLarge(length, engine)) {
			return 'tooLarge';
		}

		const requestTokens = expectedTokens(length, engine);

		const sentTo = ({sentTokens}: TargetRecord) => sentTokens.reduce((sum, {tokens}) => sum + tokens, 0);
		const records = this.#recordsOf(service).filter(record => isUsable(record, service, nowMs));
		const sentToAllTokens = records.reduce((sum, record) => sum + sentTo(record), 0);
		const entryCount = this.#entryPosition.count;
		return record => !record.load || nowMs - record.loadAtMs > maxLoadAgeMs || hasMemoryFor(requestTokens, {
			memoryShare: record.load.memoryShare,
			sentTokens: sentTo(record),
			sentToAllTokens,
			targetCount: records.length,
			entryCount,
			freeSlots: record.report.slots - record.load.active - record.load.queued,
		}, engine);
	}

	#recordTokens(record: TargetRecord, nowMs: number, length: RequestLength | undefined): void {
		const engine = length && this.#options.engineOf?.(record.report.service);
		if (engine) {
			record.sentTokens = [...record.sentTokens.filter(({atMs}) => atMs > nowMs - maxLoadAgeMs - loadDelayMs), {atMs: nowMs, tokens: expectedTokens(length, engine)}];
		}
	}

	#exclusionOf({report}: TargetRecord, nowMs: number): ExclusionReason | undefined {
		for (const exclusion of this.#options.exclusions ?? []) {
			const reason = exclusion.reasonAgainst(report, nowMs);
			if (reason) {
				return reason;
			}
		}

		return undefined;
	}

	/** Whether the target has no limit, or this entry has a permit for it. */
	#mayBeSent({report}: TargetRecord, nowMs: number): boolean {
		return this.#limitOf(report, nowMs) === undefined || this.#permits.has(report, this.#permitNowMs(nowMs));
	}

	/** The limit that the target names, that of a cold target, or both. */
	#limitOf(report: TargetReport, nowMs: number): TargetLimit | undefined {
		const perSecond = this.#limits.perSecondOf(report);
		const coldPerSecond = this.#options.coldLimitOf?.(report, nowMs);
		const {targetId, bornMs} = report;
		return perSecond === undefined && coldPerSecond === undefined
			? undefined
			: {
				targetId, bornMs, ...(perSecond !== undefined && {perSecond}), ...(coldPerSecond !== undefined && {coldPerSecond}),
			};
	}

	/** Whether a target that has just started works on the first request of this entry: until it answers, nobody knows what it can take. */
	#isUntried({report, inFlight, hasAnswered}: TargetRecord): boolean {
		return inFlight > 0 && hasAnswered !== true && this.#options.hasSeenStart?.(report) === true;
	}

	#permitNowMs(nowMs: number): number {
		return this.#options.permitNowMs?.() ?? nowMs;
	}

	get #entryPosition(): EntryPosition {
		return this.#options.entryPosition?.() ?? alone;
	}

	#setTarget(report: TargetReport): void {
		const known = this.#records.get(report.targetId);
		if (known?.report.bornMs === report.bornMs) {
			known.report = report;
			return;
		}

		this.#records.set(report.targetId, {
			report,
			targetNumber: targetNumberOf(report.targetId),
			loadAtMs: Number.NEGATIVE_INFINITY,
			inFlight: 0,
			pendingPrefillPasses: 0,
			sentAtMs: [],
			sentTokens: [],
			backoffUntilMs: 0,
			backoffMs: 0,
			failureRate: 0,
			failureAtMs: 0,
		});
	}

	#view(record: TargetRecord, nowMs: number, limit: number): TargetView {
		const {report, inFlight, loadAtMs, backoffUntilMs} = record;
		const loadAgeMs = nowMs - loadAtMs;
		return {
			report,
			busy: busyOf(record, loadAgeMs, this.#entryPosition.count),
			limit,
			isBackingOff: nowMs < backoffUntilMs,
			inFlight,
			...(record.load && {loadAgeMs}),
			...(this.#limits.perSecondOf(report) !== undefined && {isLimited: true}),
		};
	}

	#connectionPreference({report, inFlight}: TargetRecord, busy: number, lowLoad: number): number {
		const hasConnection = this.#options.hasConnection?.(report.address) ?? false;
		return connectionPreference({
			hasConnection, inFlight, busy, lowLoad,
		});
	}

	/** What is known of a service's groups; all requests that wait are judged at one moment, and it is worked out once for them. */
	#groupsOf(service: string, nowMs: number): KnownGroups {
		const known = this.#groups.get(service);
		if (known?.nowMs === nowMs) {
			return known;
		}

		const groups = {nowMs, paces: this.#groupPaces(service, nowMs), writers: this.#writersByGroup(service, nowMs)};
		this.#groups.set(service, groups);
		return groups;
	}

	/** Requests that the ranks of each group may process on average, where something limits them. */
	#writersByGroup(service: string, nowMs: number): Map<string, number> {
		const {writersWithin} = this.#options;
		const writers = new Map<string, number>();
		for (const figures of writersWithin ? groupFigures(this.#recordsOf(service), service, nowMs) : []) {
			const count = writersWithin?.(service, figures, nowMs);
			if (count !== undefined) {
				writers.set(figures.group, count);
			}
		}

		return writers;
	}

	/** Pace of each rank group of a service: that of its slowest rank, since the ranks of a group run in lock-step. */
	#groupPaces(service: string, nowMs: number): Map<string, number> {
		const paces = new Map<string, number>();
		for (const {load, loadAtMs} of this.#recordsOf(service)) {
			if (load?.rankPlace && nowMs - loadAtMs < maxLoadAgeMs) {
				const {group} = load.rankPlace;
				paces.set(group, Math.max(paces.get(group) ?? 1, load.pace));
			}
		}

		return paces;
	}

	#penalty(record: TargetRecord, nowMs: number, paces: ReadonlyMap<string, number>): number {
		const domainPenalty = record.report.failureDomain === this.#options.failureDomain ? 0 : otherDomainPenalty;
		const ownPace = record.load?.pace ?? 1;
		const groupPace = paces.get(record.load?.rankPlace?.group ?? '') ?? ownPace;
		const slowness = (Math.max(0, groupPace - 1) + Math.max(0, ownPace - 1)) * passesToFirstEvent;
		return domainPenalty + slowness + (failureRateAt(record, nowMs) * failurePenalty);
	}
}

function recordsByService(records: Iterable<TargetRecord>): Map<string, TargetRecord[]> {
	const groups = new Map<string, TargetRecord[]>();
	for (const record of records) {
		const {service} = record.report;
		const group = groups.get(service);
		if (group) {
			group.push(record);
		} else {
			groups.set(service, [record]);
		}
	}

	return groups;
}
