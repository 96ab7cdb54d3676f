/**
Records how requests went at one entry, by service and client account, in buckets of a minute over six hours. The parts
of all entries are merged by adding them up, so no central store is needed.
*/

import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {
	type Objective, type ObjectiveKind, windows, type WindowMinutes,
} from './objectives.js';

const minuteMs = 60_000;
const keptMinutes = 360;

/** Histograms hold times of up to ten minutes with two digits. */
const histogramOptions = {highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2} as const;

/** Where the burn of a bad request falls. */
export type RequestOrigin = {readonly target: string; readonly failureDomain: string; readonly revision: number};

/** How one request went. */
export type RequestOutcome = {
	readonly service: string;
	readonly clientAccount: string;
	readonly place: RequestOrigin;
	readonly firstTokenMs?: number;
	/** Longest gap between two parts of the answer. */
	readonly longestGapMs?: number;
	readonly isWhole: boolean;
	readonly isRefused: boolean;
	readonly isWithinDeadline: boolean;
};

/** Counts of one objective in one window. */
export type ObjectiveCounts = {readonly kind: ObjectiveKind; readonly windowMinutes: WindowMinutes; readonly total: number; readonly bad: number};

/** Bad requests at one place in the last hour. */
export type PlaceCounts = {readonly place: string; readonly bad: number};

/** What one entry knows of one service and client account: plain data. */
export type ServiceLevelSnapshot = {
	readonly service: string;
	readonly clientAccount: string;
	readonly counts: readonly ObjectiveCounts[];
	readonly places: readonly PlaceCounts[];
	/** Encoded histograms of the recorder's lifetime, in milliseconds. */
	readonly firstToken: string;
	readonly longestGap: string;
};

type Tally = Record<ObjectiveKind, {total: number; bad: number}>;
type Bucket = {readonly minute: number; readonly tally: Tally; readonly places: Map<string, number>};
type Series = {
	readonly service: string;
	readonly clientAccount: string;
	readonly buckets: Bucket[];
	readonly firstToken: Histogram;
	readonly longestGap: Histogram;
};

/** Options of a recorder. */
export type RecorderOptions = {readonly objectives: readonly Objective[]};

/** Records outcomes. */
export class ServiceLevelRecorder {
	readonly #objectives: readonly Objective[];
	readonly #series = new Map<string, Series>();

	constructor(options: RecorderOptions) {
		this.#objectives = options.objectives;
	}

	/** Takes in one outcome; `nowMs` is wall time. */
	record(outcome: RequestOutcome, nowMs: number): void {
		const series = this.#seriesOf(outcome);
		const bucket = bucketAt(series, Math.floor(nowMs / minuteMs));
		let isBad = false;
		for (const objective of this.#objectives) {
			const verdict = verdictOf(objective, outcome);
			if (verdict !== undefined) {
				const tally = bucket.tally[objective.kind];
				tally.total++;
				tally.bad += verdict ? 0 : 1;
				isBad ||= !verdict;
			}
		}

		if (isBad) {
			countPlaces(bucket, outcome.place);
		}

		recordMs(series.firstToken, outcome.firstTokenMs);
		recordMs(series.longestGap, outcome.longestGapMs);
	}

	/** The parts for a report; only those of one client account where it is named. */
	snapshots(nowMs: number, clientAccount?: string): ServiceLevelSnapshot[] {
		const minute = Math.floor(nowMs / minuteMs);
		return [...this.#series.values()]
			.filter(series => clientAccount === undefined || series.clientAccount === clientAccount)
			.map(series => partOf(series, minute, this.#objectives));
	}

	#seriesOf({service, clientAccount}: RequestOutcome): Series {
		const key = JSON.stringify([service, clientAccount]);
		let series = this.#series.get(key);
		if (!series) {
			series = {
				service, clientAccount, buckets: [], firstToken: build(histogramOptions), longestGap: build(histogramOptions),
			};
			this.#series.set(key, series);
		}

		return series;
	}
}

/** Adds up the parts of all entries. */
export function mergeSnapshots(parts: readonly ServiceLevelSnapshot[]): ServiceLevelSnapshot[] {
	const merged = new Map<string, ServiceLevelSnapshot>();
	for (const part of parts) {
		const key = JSON.stringify([part.service, part.clientAccount]);
		const earlier = merged.get(key);
		merged.set(key, earlier ? added(earlier, part) : part);
	}

	return [...merged.values()];
}

/** A percentile of an encoded histogram, in milliseconds; undefined where nothing was recorded. */
export function histogramPercentile(encoded: string, percentile: number): number | undefined {
	const histogram = decodeFromCompressedBase64(encoded);
	return histogram.totalCount === 0 ? undefined : histogram.getValueAtPercentile(percentile);
}

function verdictOf(objective: Objective, outcome: RequestOutcome): boolean | undefined {
	const {thresholdMs = Number.POSITIVE_INFINITY} = objective;
	switch (objective.kind) {
		case 'firstToken': {
			return outcome.firstTokenMs === undefined ? undefined : outcome.firstTokenMs <= thresholdMs;
		}

		case 'tokenGap': {
			return outcome.longestGapMs === undefined ? undefined : outcome.longestGapMs <= thresholdMs;
		}

		case 'answeredWhole': {
			return outcome.isRefused ? undefined : outcome.isWhole;
		}

		case 'deadlineMet': {
			return outcome.isWithinDeadline;
		}

		case 'notRefused': {
			return !outcome.isRefused;
		}
	}
}

function bucketAt(series: Series, minute: number): Bucket {
	const last = series.buckets.at(-1);
	if (last && last.minute >= minute) {
		return last;
	}

	const bucket: Bucket = {minute, tally: emptyTally(), places: new Map()};
	series.buckets.push(bucket);
	while (series.buckets[0].minute <= minute - keptMinutes) {
		series.buckets.shift();
	}

	return bucket;
}

function emptyTally(): Tally {
	const zero = (): {total: number; bad: number} => ({total: 0, bad: 0});
	return {
		firstToken: zero(), tokenGap: zero(), answeredWhole: zero(), deadlineMet: zero(), notRefused: zero(),
	};
}

function countPlaces(bucket: Bucket, place: RequestOrigin): void {
	for (const name of [`target ${place.target}`, `failureDomain ${place.failureDomain}`, `revision ${place.revision}`]) {
		bucket.places.set(name, (bucket.places.get(name) ?? 0) + 1);
	}
}

function recordMs(histogram: Histogram, ms: number | undefined): void {
	if (ms !== undefined) {
		histogram.recordValue(Math.min(histogramOptions.highestTrackableValue, Math.max(0, Math.round(ms))));
	}
}

function partOf(series: Series, minute: number, objectives: readonly Objective[]): ServiceLevelSnapshot {
	const counts: ObjectiveCounts[] = [];
	for (const {kind} of objectives) {
		for (const windowMinutes of windows) {
			counts.push({kind, windowMinutes, ...countIn(series, kind, minute - windowMinutes)});
		}
	}

	return {
		service: series.service,
		clientAccount: series.clientAccount,
		counts,
		places: placesAfter(series, minute - 60),
		firstToken: encodeIntoCompressedBase64(series.firstToken),
		longestGap: encodeIntoCompressedBase64(series.longestGap),
	};
}

function countIn(series: Series, kind: ObjectiveKind, afterMinute: number): {total: number; bad: number} {
	let total = 0;
	let bad = 0;
	for (const bucket of series.buckets) {
		if (bucket.minute > afterMinute) {
			total += bucket.tally[kind].total;
			bad += bucket.tally[kind].bad;
		}
	}

	return {total, bad};
}

function placesAfter(series: Series, afterMinute: number): PlaceCounts[] {
	const sums = new Map<string, number>();
	for (const bucket of series.buckets) {
		if (bucket.minute > afterMinute) {
			addPlaces(sums, [...bucket.places].map(([place, bad]) => ({place, bad})));
		}
	}

	return listOf(sums);
}

function addPlaces(sums: Map<string, number>, places: readonly PlaceCounts[]): void {
	for (const {place, bad} of places) {
		sums.set(place, (sums.get(place) ?? 0) + bad);
	}
}

function listOf(sums: ReadonlyMap<string, number>): PlaceCounts[] {
	return [...sums].map(([place, bad]) => ({place, bad})).toSorted((left, right) => right.bad - left.bad);
}

function added(left: ServiceLevelSnapshot, right: ServiceLevelSnapshot): ServiceLevelSnapshot {
	const counts = left.counts.map(count => {
		const other = right.counts.find(candidate => candidate.kind === count.kind && candidate.windowMinutes === count.windowMinutes);
		return {...count, total: count.total + (other?.total ?? 0), bad: count.bad + (other?.bad ?? 0)};
	});
	const sums = new Map<string, number>();
	addPlaces(sums, left.places);
	addPlaces(sums, right.places);
	return {
		...left,
		counts,
		places: listOf(sums),
		firstToken: addedHistograms(left.firstToken, right.firstToken),
		longestGap: addedHistograms(left.longestGap, right.longestGap),
	};
}

function addedHistograms(left: string, right: string): string {
	const sum = decodeFromCompressedBase64(left);
	sum.add(decodeFromCompressedBase64(right));
	return encodeIntoCompressedBase64(sum);
}
