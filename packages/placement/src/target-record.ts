/** What one entry knows of a target, and the judgements that follow from a single target's record. */

import {createHash} from 'node:crypto';
import type {TargetLoad, TargetReport} from '@rattanspring/target-table';
import {type EntryPosition, ownedSlots} from './slot-shares.js';

/** How an exchange with a target ended. */
export type ExchangeOutcome = 'answered' | 'abandoned' | 'refused' | 'failed' | 'unreachable';

/** Load figures older than this are ignored. */
export const maxLoadAgeMs = 1500;

/** Load figures whose sequence is at most this far behind the newest come late from the same agent; a larger gap means that the agent restarted. */
const maxReorderDistance = 20;

/** Hexadecimal digits of the target id's digest that are used as the target's number. */
const targetNumberDigits = 8;
const targetNumberRange = 16 ** targetNumberDigits;

/** Approximate number of prompt tokens that a target processes in one prefill pass; a request without a token count is taken as one pass. */
const tokensPerPass = 512;

/** Backoff after a failure: a refusal clears quickly, an unreachable target does not. */
const refusedBackoffMs = 60;
const unreachableBackoffMs = 500;
const maxBackoffMs = 3000;

/** Weight of the newest outcome in a target's failure rate, an exponential moving average. */
const failureRateWeight = 0.25;

/** Exponential decay of the failure rate per second. */
const failureDecayPerSecond = 0.12;

/** A target, its newest load figures, and this entry's own requests there. */
export type TargetRecord = {
	report: TargetReport;
	readonly targetNumber: number;
	load?: TargetLoad;
	loadAtMs: number;
	inFlight: number;
	/** Prefill passes of the requests that this entry has sent and that have no first event yet. */
	pendingPrefillPasses: number;
	/** Send times of requests that the load figures do not include yet. */
	sentAtMs: number[];
	/** Expected lengths of requests that the load figures do not include yet. */
	sentTokens: Array<{readonly atMs: number; readonly tokens: number}>;
	backoffUntilMs: number;
	backoffMs: number;
	failureRate: number;
	failureAtMs: number;
	/** Whether this lifetime of the target has answered a request. */
	hasAnswered?: boolean;
};

/** Whether newer figures of the same target are known. A sequence far below the known one comes from an agent that has restarted. */
export function isOutdated({bornMs, sequence}: TargetLoad, known: TargetLoad | undefined): boolean {
	if (known !== undefined && bornMs < known.bornMs) {
		return true;
	}

	return sequence !== undefined && known?.sequence !== undefined && known.bornMs === bornMs
		&& sequence <= known.sequence && sequence > known.sequence - maxReorderDistance;
}

/** Whether a target accepts work: it is ready, and its rank group is complete according to the newest report or load figures. */
export function isUsable({report, load, loadAtMs}: TargetRecord, service: string, nowMs: number): boolean {
	const place = load && nowMs - loadAtMs < maxLoadAgeMs ? load.rankPlace : report.rankPlace;
	return report.service === service && report.state === 'ready' && (place?.isOpen ?? true);
}

/** Requests at a target: without figures those of this entry; if its figures are outdated, each other entry is assumed to have as many there. */
export function busyOf(record: TargetRecord, loadAgeMs: number, entryCount: number): number {
	const {load, inFlight, sentAtMs} = record;
	if (!load || loadAgeMs > maxLoadAgeMs) {
		return load ? inFlight * entryCount : inFlight;
	}

	return Math.max(inFlight, load.active + load.queued + sentAtMs.length);
}

/** Requests that a target may process. The average of its group is rounded up at some targets and down at others. */
export function limitOf({report, load, targetNumber}: TargetRecord, writers: ReadonlyMap<string, number>): number {
	const average = writers.get(load?.rankPlace?.group ?? '');
	return average === undefined ? report.slots : Math.min(report.slots, Math.floor(average + (targetNumber / targetNumberRange)));
}

/** Slots of a target that stay free, as its part of a share of the slots of all. */
export function reservedSlots({targetNumber}: TargetRecord, limit: number, reserve: number): number {
	return reserve === 0 ? 0 : Math.floor((limit * reserve) + (targetNumber / targetNumberRange));
}

/** Position of the entry, requests that the target may process, and number of entries to which each slot is assigned. */
export type OwnedSlotsOptions = {readonly position: EntryPosition; readonly limit: number; readonly entriesPerSlot?: number};

/** Free slots in the newest load figures that are assigned to this entry and that it has not used since; all slots while there are no recent figures. */
export function ownedSlotsLeft({targetNumber, load, loadAtMs, sentAtMs}: TargetRecord, nowMs: number, {position, limit, entriesPerSlot = 1}: OwnedSlotsOptions): number {
	if (!load || nowMs - loadAtMs > maxLoadAgeMs) {
		return limit;
	}

	const owned = ownedSlots({
		targetNumber, sequence: load.sequence ?? 0, freeSlots: (limit - load.active - load.queued) * entriesPerSlot, position,
	});
	return owned - sentAtMs.filter(atMs => atMs > loadAtMs).length;
}

/** A number in [0, `targetNumberRange`) that is specific to the target. */
export function targetNumberOf(targetId: string): number {
	return Number.parseInt(createHash('sha256').update(targetId).digest('hex').slice(0, targetNumberDigits), 16);
}

/** Passes in which a target reads a prompt. */
export function prefillPassesOf(promptTokens: number | undefined): number {
	return promptTokens === undefined ? 1 : Math.max(1, promptTokens / tokensPerPass);
}

/** Failure rate in [0, 1], which decays with time. */
export function failureRateAt({failureRate, failureAtMs}: TargetRecord, nowMs: number): number {
	return failureRate * Math.exp(-failureDecayPerSecond * (nowMs - failureAtMs) / 1000);
}

/** Whether an outcome speaks against the target: an error, a wrong or broken answer, or no connection. A refusal and an exchange that this side has ended do not. */
export function isFailure(outcome: ExchangeOutcome): boolean {
	return outcome === 'failed' || outcome === 'unreachable';
}

/** Updates the failure rate and the backoff after an exchange. */
export function recordHealth(record: TargetRecord, outcome: ExchangeOutcome, nowMs: number): void {
	const share = failureRateAt(record, nowMs);
	record.failureRate = outcome === 'refused' ? share : share + (((isFailure(outcome) ? 1 : 0) - share) * failureRateWeight);
	record.failureAtMs = nowMs;
	if (outcome === 'answered') {
		record.backoffMs = 0;
		return;
	}

	if (outcome === 'refused') {
		record.backoffUntilMs = Math.max(record.backoffUntilMs, nowMs + refusedBackoffMs);
		return;
	}

	if (outcome === 'unreachable') {
		record.backoffMs = Math.min(maxBackoffMs, Math.max(unreachableBackoffMs, record.backoffMs * 2));
		record.backoffUntilMs = Math.max(record.backoffUntilMs, nowMs + record.backoffMs);
	}
}
