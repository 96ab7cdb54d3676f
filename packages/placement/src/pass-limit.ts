/**
Number of requests that the ranks of a group may process at the same time so that the pauses between events stay within the objective, from passes that
were measured. All ranks wait for the most loaded one in each pass, and a pass with more writers takes longer: while passes are slow, fewer writers are on
time where more would all be late. While none can be on time, there is no limit: a late answer is better for its caller than none. A measured pass includes
what the published formula leaves out: prompts that are read, copies, slow ranks.

Load that this answers: demand that moves between experts every few seconds, and ranks that become slow, at an arrival rate near the capacity of the group.
*/

import type {EngineProfile} from '@rattanspring/desired-state';
import {copySlowdown} from '@rattanspring/types';
import {
	fixedPassMs, passShare, writerMs, writersWithin,
} from './writer-limit.js';

/** A measured pass. */
export type PassTime = {readonly passMs: number; readonly ageMs: number};

/** What an entry knows of a group. */
export type GroupFigures = {
	readonly group: string;
	readonly epoch: number;
	/** Requests that a rank processes on average, those whose prompt is still read included. */
	readonly activePerRank: number;
	/** Slowdown of the slowest rank: 1 is the published speed. */
	readonly pace: number;
	/** Skew that the group's coordinator remembers. */
	readonly skew?: number;
	readonly passTimes: readonly PassTime[];
};

/** Interval at which a limit is computed anew. */
const updateIntervalMs = 50;

/** Age at which the weight of a measurement is halved; older ones than the maximum are ignored. */
const halfWeightAgeMs = 250;
const maxPassAgeMs = 1200;

/** A reported pass is an average over about this time before the report: it is compared to the requests of that time. */
const measuredSpanMs = 900;

/** Time for which the slowest passes count: streams that begin now last that long, and what made passes slow comes again within it while demand moves. */
const rememberedMs = 5000;

/** Weight of the published formula, in writers of a rank: a pass with few writers says little about one with many. */
const formulaWriters = 1.5;

/** Rise of a limit a second, as a share of the limit by the published formula at an even load. */
const risePerSecond = 0.3;

/** Slowest over usual passes up to which they count as steady: measurements differ by as much. Beyond it, single passes are slower than the measured averages. */
const steadyRatio = 1.08;

/** Factor from which a change of the slowest rank's pace makes earlier passes worthless. The limit follows it at once both ways: its cause is known. */
const paceChange = 1.5;

/** Time after such a change in which measured passes are still of before. */
const paceSettlingMs = 1200;

type Sample = {readonly atMs: number; readonly value: number};

type GroupRecord = {
	readonly epoch: number;
	/** Requests of a rank, and time that a writer adds to a pass. */
	active: Sample[];
	writerTimes: Sample[];
	/** Pace during the samples, and since when. */
	pace: number;
	paceAtMs: number;
	limit: number;
	updatedAtMs: number;
};

/** The limits of the groups of one entry. */
export class PassLimit {
	readonly #groups = new Map<string, GroupRecord>();

	/** Writers that each rank of a group may have on average, not rounded; undefined if nothing is known of its passes. */
	writers(engine: EngineProfile, pauseObjectiveMs: number, figures: GroupFigures, nowMs: number): number | undefined {
		const {group, epoch, skew, passTimes} = figures;
		const known = this.#groups.get(group);
		const isKnown = known?.epoch === epoch;
		if (isKnown && nowMs - known.updatedAtMs < updateIntervalMs) {
			return known.limit;
		}

		if (skew === undefined && passTimes.length === 0) {
			this.#groups.delete(group);
			return undefined;
		}

		const record = isKnown
			? known
			: {
				epoch, active: [], writerTimes: [], pace: figures.pace, paceAtMs: Number.NEGATIVE_INFINITY, limit: Number.POSITIVE_INFINITY, updatedAtMs: nowMs,
			};
		this.#groups.set(group, record);
		addSample(record, engine, figures, nowMs);
		const highest = record.limit + (risePerSecond * writersWithin(engine, pauseObjectiveMs, 1) * (nowMs - record.updatedAtMs) / 1000);
		record.limit = isEmptyPassTooLong(engine, pauseObjectiveMs, figures.pace) ? Number.POSITIVE_INFINITY : Math.min(wantedWriters(record, engine, pauseObjectiveMs, skew), highest);
		record.updatedAtMs = nowMs;
		return record.limit;
	}
}

/** Adds a sample, and forgets those of another pace. */
function addSample(record: GroupRecord, engine: EngineProfile, {activePerRank, pace, skew, passTimes}: GroupFigures, nowMs: number): void {
	const isFaster = pace * paceChange < record.pace;
	if (isFaster || pace > record.pace * paceChange) {
		record.writerTimes = [];
		record.paceAtMs = nowMs;
		record.limit = isFaster ? Number.POSITIVE_INFINITY : record.limit;
	}

	record.pace = pace;
	record.active = [...record.active.filter(({atMs}) => nowMs - atMs < measuredSpanMs), {atMs: nowMs, value: activePerRank}];
	record.writerTimes = record.writerTimes.filter(({atMs}) => nowMs - atMs < rememberedMs);
	const passMs = weightedMedian(passTimes);
	if (passMs === undefined || nowMs - record.paceAtMs < paceSettlingMs) {
		return;
	}

	const active = record.active.reduce((sum, {value}) => sum + value, 0) / record.active.length;
	const published = writerMs(engine, skew ?? 1);
	const value = (Math.max(0, passMs - (fixedPassMs(engine) * pace)) + (published * formulaWriters)) / (active + formulaWriters);
	record.writerTimes.push({atMs: nowMs, value: Math.max(value, writerMs(engine, 1))});
}

/** Whether the slowest rank alone makes each pass longer than the objective: no answer is on time then, and a limit would only refuse those that come late. */
function isEmptyPassTooLong(engine: EngineProfile, pauseObjectiveMs: number, pace: number): boolean {
	return fixedPassMs(engine) * pace >= pauseObjectiveMs * passShare;
}

/** The writers that keep a pass within the objective. */
function wantedWriters({writerTimes, pace}: GroupRecord, engine: EngineProfile, pauseObjectiveMs: number, skew: number | undefined): number {
	if (writerTimes.length === 0) {
		return Math.max(1, ((pauseObjectiveMs * passShare / copySlowdown) - (fixedPassMs(engine) * pace)) / (writerMs(engine, skew ?? 1) * pace));
	}

	const values = writerTimes.map(({value}) => value).toSorted((left, right) => left - right);
	const slowest = values.at(-1)!;
	const unsteadiness = slowest / values[Math.floor(values.length / 2)] / steadyRatio;
	const reserve = Math.min(copySlowdown, Math.max(1, unsteadiness));
	const perWriterMs = Math.max(slowest, writerMs(engine, skew ?? 1)) * reserve;
	return Math.max(1, ((pauseObjectiveMs * passShare) - (fixedPassMs(engine) * pace)) / perWriterMs);
}

/** The median of the recent measurements, in which newer ones count more: one agent that measures wrongly doesn't change it much. */
function weightedMedian(passTimes: readonly PassTime[]): number | undefined {
	const recent = passTimes.filter(({ageMs}) => ageMs < maxPassAgeMs)
		.map(({passMs, ageMs}) => ({passMs, weight: halfWeightAgeMs / (halfWeightAgeMs + ageMs)}))
		.toSorted((left, right) => left.passMs - right.passMs);
	let left = recent.reduce((sum, {weight}) => sum + weight, 0) / 2;
	for (const {passMs, weight} of recent) {
		left -= weight;
		if (left <= 0) {
			return passMs;
		}
	}

	return undefined;
}
