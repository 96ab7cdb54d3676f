/**
Records request outcomes at one entry by service and client account, in one-minute buckets that are retained for six
hours. The snapshots of all entries are merged by addition, so no central store is needed.
*/

import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {
	type Objective, type ObjectiveKind, windows, type WindowMinutes,
} from './objectives.js';

const minuteMs = 60_000;
const retentionMinutes = 360;

/** Histograms cover durations of up to ten minutes in milliseconds, with two significant digits. */
const histogramOptions = {highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2} as const;

/** The target, failure domain and configuration revision to which a bad request is attributed. */
export type RequestPlacement = {readonly target: string; readonly failureDomain: string; readonly revision: number};

/** The outcome of one request. */
export type RequestOutcome = {
	readonly service: string;
	readonly clientAccount: string;
	readonly place: RequestPlacement;
	readonly firstTokenMs?: number;
	/** Longest gap between two consecutive parts of the answer. */
	readonly longestGapMs?: number;
	readonly isWhole: boolean;
	readonly isRefused: boolean;
	readonly isWithinDeadline: boolean;
};

/** Counts of one objective in one window. */
export type ObjectiveCounts = {readonly kind: ObjectiveKind; readonly windowMinutes: WindowMinutes; readonly total: number; readonly bad: number};

/** Number of bad requests attributed to one place (a target, failure domain or revision) in the last hour. */
export type PlaceCounts = {readonly place: string; readonly bad: number};

/** The recorded data of one service and client account at one entry, as plain data. */
export type ServiceLevelSnapshot = {
	readonly service: string;
	readonly clientAccount: string;
	readonly counts: readonly ObjectiveCounts[];
	readonly places: readonly PlaceCounts[];
	/** Encoded histograms in milliseconds, over the recorder's lifetime. */
	readonly firstToken: string;
	readonly longestGap: string;
};

type ObjectiveTallies = Record<ObjectiveKind, {total: number; bad: number}>;
type Bucket = {readonly minute: number; readonly tallies: ObjectiveTallies; readonly places: Map<string, number>};
type Series = {
	readonly service: string;
	readonly clientAccount: string;
	readonly buckets: Bucket[];
	readonly firstToken: Histogram;
	readonly longestGap: Histogram;
};

/** Options of `ServiceLevelRecorder`. */
export type RecorderOptions = {readonly objectives: readonly Objective[]};

/** Records request outcomes and takes snapshots of them. */
export class ServiceLevelRecorder {
	readonly #objectives: readonly Objective[];
	readonly #series = new Map<string, Series>();

	constructor(options: RecorderOptions) {
		this.#objectives = options.objectives;
	}

	/** Records one outcome; `nowMs` is wall-clock time. */
	record(outcome: RequestOutcome, nowMs: number): void {
		const series = this.#getOrCreateSeries(outcome);
		const bucket = bucketAt(series, Math.floor(nowMs / minuteMs));
		let isBad = false;
		for (const objective of this.#objectives) {
			const isMet = meetsObjective(objective, outcome);
			if (isMet !== undefined) {
				const tally = bucket.tallies[objective.kind];
				tally.total++;
				tally.bad += isMet ? 0 : 1;
				isBad ||= !isMet;
			}
		}

		if (isBad) {
			countPlaces(bucket, outcome.place);
		}

		recordDuration(series.firstToken, outcome.firstTokenMs);
		recordDuration(series.longestGap, outcome.longestGapMs);
	}

	/** Returns snapshots for a report, restricted to one client account if given. */
	parts(nowMs: number, clientAccount?: string): ServiceLevelSnapshot[] {
		const minute = Math.floor(nowMs / minuteMs);
		return [...this.#series.values()]
			.filter(series => clientAccount === undefined || series.clientAccount === clientAccount)
			.map(series => buildSnapshot(series, minute, this.#objectives));
	}

	#getOrCreateSeries({service, clientAccount}: RequestOutcome): Series {
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

/** Merges the snapshots of several entries by service and client account. */
export function mergeSnapshots(parts: readonly ServiceLevelSnapshot[]): ServiceLevelSnapshot[] {
	const merged = new Map<string, ServiceLevelSnapshot>();
	for (const snapshot of parts) {
		const key = JSON.stringify([snapshot.service, snapshot.clientAccount]);
		const earlier = merged.get(key);
		merged.set(key, earlier ? mergeTwoSnapshots(earlier, snapshot) : snapshot);
	}

	return [...merged.values()];
}

/** Returns a percentile of an encoded histogram, in milliseconds; undefined if the histogram is empty. */
export function histogramPercentile(encoded: string, percentile: number): number | undefined {
	const histogram = decodeFromCompressedBase64(encoded);
	return histogram.totalCount === 0 ? undefined : histogram.getValueAtPercentile(percentile);
}

function meetsObjective(objective: Objective, outcome: RequestOutcome): boolean | undefined {
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

	const bucket: Bucket = {minute, tallies: emptyTallies(), places: new Map()};
	series.buckets.push(bucket);
	while (series.buckets[0].minute <= minute - retentionMinutes) {
		series.buckets.shift();
	}

	return bucket;
}

function emptyTallies(): ObjectiveTallies {
	const zero = (): {total: number; bad: number} => ({total: 0, bad: 0});
	return {
		firstToken: zero(), tokenGap: zero(), answeredWhole: zero(), deadlineMet: zero(), notRefused: zero(),
	};
}

function countPlaces(bucket: Bucket, place: RequestPlacement): void {
	for (const name of [`target ${place.target}`, `failureDomain ${place.failureDomain}`, `revision ${place.revision}`]) {
		bucket.places.set(name, (bucket.places.get(name) ?? 0) + 1);
	}
}

function recordDuration(histogram: Histogram, ms: number | undefined): void {
	if (ms !== undefined) {
		histogram.recordValue(Math.min(histogramOptions.highestTrackableValue, Math.max(0, Math.round(ms))));
	}
}

function buildSnapshot(series: Series, minute: number, objectives: readonly Objective[]): ServiceLevelSnapshot {
	const counts: ObjectiveCounts[] = [];
	for (const {kind} of objectives) {
		for (const windowMinutes of windows) {
			counts.push({kind, windowMinutes, ...countAfter(series, kind, minute - windowMinutes)});
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

function countAfter(series: Series, kind: ObjectiveKind, afterMinute: number): {total: number; bad: number} {
	let total = 0;
	let bad = 0;
	for (const bucket of series.buckets) {
		if (bucket.minute > afterMinute) {
			total += bucket.tallies[kind].total;
			bad += bucket.tallies[kind].bad;
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

	return sortedPlaceCounts(sums);
}

function addPlaces(sums: Map<string, number>, places: readonly PlaceCounts[]): void {
	for (const {place, bad} of places) {
		sums.set(place, (sums.get(place) ?? 0) + bad);
	}
}

function sortedPlaceCounts(sums: ReadonlyMap<string, number>): PlaceCounts[] {
	return [...sums].map(([place, bad]) => ({place, bad})).toSorted((left, right) => right.bad - left.bad);
}

function mergeTwoSnapshots(left: ServiceLevelSnapshot, right: ServiceLevelSnapshot): ServiceLevelSnapshot {
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
		places: sortedPlaceCounts(sums),
		firstToken: mergeHistograms(left.firstToken, right.firstToken),
		longestGap: mergeHistograms(left.longestGap, right.longestGap),
	};
}

function mergeHistograms(left: string, right: string): string {
	const sum = decodeFromCompressedBase64(left);
	sum.add(decodeFromCompressedBase64(right));
	return encodeIntoCompressedBase64(sum);
}
