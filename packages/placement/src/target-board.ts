/**
What one entry knows of the targets: their reports, their measured load, and its own requests in progress.

A first event waits for the prompts that its target still reads, far more than for the streams that it writes. Load figures
do not tell what is being read, are some hundred milliseconds old, and are shared by all entries: ranked by them alone,
all entries send to the same target at once. So an entry goes by the prompts that it has sent itself and that have not begun to be
answered, and takes the free places of a report that are its own first; otherwise the load figures only steer away from targets that
are nearly full, slow or broken.
*/

import {createHash} from 'node:crypto';
import type {TargetLoad, TargetReport} from '@rattanspring/target-table';
import {type EntryPosition, ownedSlots} from './place-shares.js';

/** How an exchange with a target ended. */
export type ExchangeOutcome = 'answered' | 'abandoned' | 'refused' | 'failed' | 'unreachable';

/** Load figures older than this say nothing. */
const maxLoadAgeMs = 1500;

/** Time between a measurement at a target and its arrival here, about. */
const loadDelayMs = 220;

/** A target in another failure domain counts as this much busier. */
const distancePenalty = 0.8;

/** Random part of a target's rank, so that entries with the same view do not all choose the same target. */
const drawSpread = 1;

/** Figures that are at most this many behind are late ones of the same agent. */
const overtakenWithin = 20;

/** How much busier a target counts whose free places belong to other entries, and the random part of its rank. */
const othersPlacePenalty = 4;
const othersDrawSpread = 4;

/** Hexadecimal digits of a digest that make a target's number. */
const numberDigits = 8;

/** Share of the slots up to which targets count as equally busy. */
const comfortableShare = 0.6;

/** Prompt tokens that a target reads in one pass, about; without figures a request counts as one pass. */
const tokensPerPass = 512;

/** Pauses after failures: a refusal passes quickly, an unreachable target does not. */
const refusedPauseMs = 60;
const unreachablePauseMs = 500;
const maxPauseMs = 3000;

/** Weight of the newest answer in a target's share of failures. */
const failureWeight = 0.25;

/** Share of failures that is forgotten in a second. */
const failureDecayPerSecond = 0.12;

/** How much busier a target counts that fails every request. */
const failurePenalty = 12;

/**
Passes until a first event, about: a slow group counts as so much busier for each multiple of its published time. Its slow rank counts twice:
what is sent there slows all others.
*/
const passesToFirstEvent = 3;

type Entry = {
	report: TargetReport;
	readonly targetNumber: number;
	load?: TargetLoad;
	loadAtMs: number;
	inFlight: number;
	/** Passes that prompts sent from here, and not begun to be answered, take to be read. */
	readingPasses: number;
	/** Times at which requests were sent that the load figures do not show yet. */
	sentAtMs: number[];
	pausedUntilMs: number;
	pauseMs: number;
	failureShare: number;
	failureAtMs: number;
};

/** One target as the board shows it. */
export type TargetView = {readonly report: TargetReport; readonly busy: number; readonly limit: number; readonly isBackingOff: boolean; readonly inFlight: number; readonly loadAgeMs?: number};

/** What a choice needs. */
export type ChoiceInput = {
	readonly service: string;
	readonly nowMs: number;
	readonly excluded?: ReadonlySet<string>;
	/** Share of each target's places that may be taken; all by default. */
	readonly slotShare?: number;
	/** How many entries each free place is offered to, where only places that are offered to this one may be taken; all by default. */
	readonly entriesPerSlot?: number;
	/** Random numbers in [0, 1). */
	readonly random: () => number;
};

/** A target to send to, or why there is none: all are full, or none is there at all. */
export type Choice = {readonly kind: 'target'; readonly view: TargetView} | {readonly kind: 'full'} | {readonly kind: 'none'};

/** Options of a board. */
export type TargetSelectorOptions = {
	readonly failureDomain: string;
	/** Where this entry stands among those that send to the same targets; alone by default. */
	readonly entryPosition?: () => EntryPosition;
};

const alone: EntryPosition = {index: 0, count: 1};

/** The board of one entry. */
export class TargetSelector {
	readonly #options: TargetSelectorOptions;
	readonly #entries = new Map<string, Entry>();
	readonly #loads = new Map<string, {readonly load: TargetLoad; readonly atMs: number}>();

	constructor(options: TargetSelectorOptions) {
		this.#options = options;
	}

	/** Replaces the targets that take new work. Targets that left are kept while requests are in progress there. */
	setTargets(reports: readonly TargetReport[]): void {
		const ready = new Set<string>();
		for (const report of reports) {
			ready.add(report.targetId);
			this.#setTarget(report);
		}

		for (const [targetId, entry] of this.#entries) {
			if (!ready.has(targetId)) {
				entry.report = {...entry.report, state: 'draining'};
				if (entry.inFlight === 0) {
					this.#entries.delete(targetId);
				}
			}
		}
	}

	/** Takes load figures. */
	setLoads(loads: readonly TargetLoad[], nowMs: number): void {
		for (const load of loads) {
			if (!isOvertaken(load, this.#loads.get(load.address)?.load)) {
				this.#loads.set(load.address, {load, atMs: nowMs});
			}
		}

		for (const entry of this.#entries.values()) {
			const known = this.#loads.get(entry.report.address);
			if (known?.load.bornMs === entry.report.bornMs && known.atMs !== entry.loadAtMs) {
				entry.load = known.load;
				entry.loadAtMs = known.atMs;
				entry.sentAtMs = entry.sentAtMs.filter(sentAtMs => sentAtMs > known.atMs - loadDelayMs);
			}
		}
	}

	/** Notes that a request was sent. */
	recordSent(targetId: string, nowMs: number, promptTokens?: number): void {
		const entry = this.#entries.get(targetId);
		if (entry) {
			entry.inFlight++;
			entry.readingPasses += passesOf(promptTokens);
			entry.sentAtMs = entry.sentAtMs.filter(sentAtMs => sentAtMs > nowMs - maxLoadAgeMs - loadDelayMs);
			entry.sentAtMs.push(nowMs);
		}
	}

	/** Notes that a request began to be answered, or ended without that. */
	recordPrefillEnd(targetId: string, promptTokens?: number): void {
		const entry = this.#entries.get(targetId);
		if (entry) {
			entry.readingPasses = Math.max(0, entry.readingPasses - passesOf(promptTokens));
		}
	}

	/** Notes how a request ended. */
	recordEnd(targetId: string, outcome: ExchangeOutcome, nowMs: number): void {
		const entry = this.#entries.get(targetId);
		if (!entry) {
			return;
		}

		entry.inFlight--;
		if (outcome === 'abandoned') {
			return;
		}

		noteHealth(entry, outcome, nowMs);
	}

	/** Chooses among the targets with room the least busy one, with a random part. */
	choose({service, nowMs, excluded, random, slotShare: placeShare = 1, entriesPerSlot: offeredTo}: ChoiceInput): Choice {
		let best: TargetView | undefined;
		let bestRank = Number.POSITIVE_INFINITY;
		let isAnyReady = false;
		const paces = this.#groupPaces(nowMs);
		const place = this.#entryPlace;
		for (const [targetId, entry] of this.#entries) {
			if (!isUsable(entry, service, nowMs) || excluded?.has(targetId)) {
				continue;
			}

			isAnyReady = true;
			const view = this.#view(entry, nowMs);
			const crowd = Math.max(0, view.busy - (entry.report.slots * comfortableShare));
			const isOwn = placesLeft(entry, nowMs, place) > 0;
			const draw = isOwn ? random() * drawSpread : othersPlacePenalty + (random() * othersDrawSpread);
			const rank = entry.readingPasses + crowd + this.#penalty(entry, nowMs, paces) + draw;
			const hasRoom = !view.isBackingOff && view.busy < view.limit * placeShare && (offeredTo === undefined || placesLeft(entry, nowMs, place, offeredTo) > 0);
			if (hasRoom && rank < bestRank) {
				best = view;
				bestRank = rank;
			}
		}

		if (best) {
			return {kind: 'target', view: best};
		}

		return {kind: isAnyReady ? 'full' : 'none'};
	}

	get #entryPlace(): EntryPosition {
		return this.#options.entryPosition?.() ?? alone;
	}

	#setTarget(report: TargetReport): void {
		const known = this.#entries.get(report.targetId);
		if (known?.report.bornMs === report.bornMs) {
			known.report = report;
			return;
		}

		this.#entries.set(report.targetId, {
			report,
			targetNumber: numberOf(report.targetId),
			loadAtMs: Number.NEGATIVE_INFINITY,
			inFlight: 0,
			readingPasses: 0,
			sentAtMs: [],
			pausedUntilMs: 0,
			pauseMs: 0,
			failureShare: 0,
			failureAtMs: 0,
		});
	}

	#view(entry: Entry, nowMs: number): TargetView {
		const {report, inFlight, loadAtMs, pausedUntilMs} = entry;
		const loadAgeMs = nowMs - loadAtMs;
		return {
			report,
			busy: busyOf(entry, loadAgeMs, this.#entryPlace.count),
			limit: report.slots,
			isBackingOff: nowMs < pausedUntilMs,
			inFlight,
			...(entry.load && {loadAgeMs}),
		};
	}

	/** The pace of each group is that of its slowest rank, as all ranks work in lock-step. */
	#groupPaces(nowMs: number): Map<string, number> {
		const paces = new Map<string, number>();
		for (const {load, loadAtMs} of this.#entries.values()) {
			if (load?.rankPlace && nowMs - loadAtMs < maxLoadAgeMs) {
				const {group} = load.rankPlace;
				paces.set(group, Math.max(paces.get(group) ?? 1, load.pace));
			}
		}

		return paces;
	}

	#penalty(entry: Entry, nowMs: number, paces: ReadonlyMap<string, number>): number {
		const distance = entry.report.failureDomain === this.#options.failureDomain ? 0 : distancePenalty;
		const ownPace = entry.load?.pace ?? 1;
		const groupPace = paces.get(entry.load?.rankPlace?.group ?? '') ?? ownPace;
		const slowness = (Math.max(0, groupPace - 1) + Math.max(0, ownPace - 1)) * passesToFirstEvent;
		return distance + slowness + (failureShareAt(entry, nowMs) * failurePenalty);
	}
}

/** Whether other figures of the same target came first. A sequence far below the known one is that of an agent that started anew. */
function isOvertaken({bornMs, sequence}: TargetLoad, known: TargetLoad | undefined): boolean {
	return sequence !== undefined && known?.sequence !== undefined && known.bornMs === bornMs
		&& sequence <= known.sequence && sequence > known.sequence - overtakenWithin;
}

/** Whether a target takes work: it is ready, and its group of ranks is whole by the newest word of it. */
function isUsable({report, load, loadAtMs}: Entry, service: string, nowMs: number): boolean {
	const place = load && nowMs - loadAtMs < maxLoadAgeMs ? load.rankPlace : report.rankPlace;
	return report.service === service && report.state === 'ready' && (place?.isOpen ?? true);
}

/** Without fresh figures the other entries are taken to send as much as this one. */
function busyOf(entry: Entry, loadAgeMs: number, entryCount: number): number {
	const {load, inFlight, sentAtMs} = entry;
	if (!load || loadAgeMs > maxLoadAgeMs) {
		return load ? inFlight * entryCount : inFlight;
	}

	return Math.max(inFlight, load.active + load.queued + sentAtMs.length);
}

/** Places of the newest report that are offered to this entry and were not used since; all places while there is no fresh report. */
function placesLeft({report, targetNumber, load, loadAtMs, sentAtMs}: Entry, nowMs: number, entry: EntryPosition, offeredTo = 1): number {
	if (!load || nowMs - loadAtMs > maxLoadAgeMs) {
		return report.slots;
	}

	const own = ownedSlots({
		targetNumber, sequence: load.sequence ?? 0, freeSlots: (report.slots - load.active - load.queued) * offeredTo, position: entry,
	});
	return own - sentAtMs.filter(atMs => atMs > loadAtMs).length;
}

function numberOf(targetId: string): number {
	return Number.parseInt(createHash('sha256').update(targetId).digest('hex').slice(0, numberDigits), 16);
}

function passesOf(promptTokens: number | undefined): number {
	return promptTokens === undefined ? 1 : Math.max(1, promptTokens / tokensPerPass);
}

function failureShareAt({failureShare, failureAtMs}: Entry, nowMs: number): number {
	return failureShare * Math.exp(-failureDecayPerSecond * (nowMs - failureAtMs) / 1000);
}

function noteHealth(entry: Entry, outcome: ExchangeOutcome, nowMs: number): void {
	const isFailure = outcome === 'failed' || outcome === 'unreachable';
	const share = failureShareAt(entry, nowMs);
	entry.failureShare = outcome === 'refused' ? share : share + (((isFailure ? 1 : 0) - share) * failureWeight);
	entry.failureAtMs = nowMs;
	if (outcome === 'answered') {
		entry.pauseMs = 0;
		return;
	}

	if (outcome === 'refused') {
		entry.pausedUntilMs = Math.max(entry.pausedUntilMs, nowMs + refusedPauseMs);
		return;
	}

	if (outcome === 'unreachable') {
		entry.pauseMs = Math.min(maxPauseMs, Math.max(unreachablePauseMs, entry.pauseMs * 2));
		entry.pausedUntilMs = Math.max(entry.pausedUntilMs, nowMs + entry.pauseMs);
	}
}
