/** The report on service-level burn: plain data assembled from merged parts. */

import {budgetLeft, burnRate} from './burn-rate.js';
import {
	fastBurn, type Objective, type ObjectiveKind, type WindowMinutes, windows,
} from './objectives.js';
import {histogramPercentile, type PlaceCounts, type ServiceLevelSnapshot} from './recorder.js';

/** Burn of one objective of one service and client account. */
export type ReportLine = {
	readonly service: string;
	readonly clientAccount: string;
	readonly objective: ObjectiveKind;
	readonly target: number;
	readonly total: number;
	readonly bad: number;
	/** Burn rate by window, the shortest first. */
	readonly burnRates: ReadonlyArray<{readonly windowMinutes: WindowMinutes; readonly rate: number}>;
	/** Part of the error budget of the longest window that is left. */
	readonly budgetLeft: number;
	readonly burnsFast: boolean;
};

/** Times of one service and client account. */
export type ReportLatencies = {
	readonly service: string;
	readonly clientAccount: string;
	readonly firstTokenP50Ms?: number;
	readonly firstTokenP95Ms?: number;
	readonly longestGapP95Ms?: number;
};

/** The whole report. */
export type ServiceLevelReport = {
	readonly atMs: number;
	readonly lines: readonly ReportLine[];
	readonly times: readonly ReportLatencies[];
	/** Where bad requests of the last hour fell, most first. */
	readonly places: readonly PlaceCounts[];
};

/** Places listed at most. */
const maxPlaces = 20;

/** Assembles the report; lines that burn fastest come first. */
export function buildReport(parts: readonly ServiceLevelSnapshot[], objectives: readonly Objective[], atMs: number): ServiceLevelReport {
	const lines = parts.flatMap(part => objectives.map(objective => lineOf(part, objective)));
	return {
		atMs,
		lines: lines.filter(line => line.total > 0).toSorted((left, right) => longestRate(right) - longestRate(left)),
		times: parts.map(part => timesOf(part)),
		places: placesOf(parts),
	};
}

function lineOf(part: ServiceLevelSnapshot, objective: Objective): ReportLine {
	const counts = part.counts.filter(count => count.kind === objective.kind);
	const burnRates = windows.map(windowMinutes => {
		const inWindow = counts.find(count => count.windowMinutes === windowMinutes) ?? {total: 0, bad: 0};
		return {windowMinutes, rate: burnRate(inWindow, objective.target)};
	});
	const longest = counts.find(count => count.windowMinutes === windows.at(-1)) ?? {total: 0, bad: 0};
	const rateIn = (minutes: number): number => burnRates.find(({windowMinutes}) => windowMinutes === minutes)?.rate ?? 0;
	return {
		service: part.service,
		clientAccount: part.clientAccount,
		objective: objective.kind,
		target: objective.target,
		total: longest.total,
		bad: longest.bad,
		burnRates,
		budgetLeft: budgetLeft(longest, objective.target),
		burnsFast: rateIn(fastBurn.shortMinutes) > fastBurn.rate && rateIn(fastBurn.longMinutes) > fastBurn.rate,
	};
}

function longestRate(line: ReportLine): number {
	return line.burnRates.at(-1)?.rate ?? 0;
}

function timesOf(part: ServiceLevelSnapshot): ReportLatencies {
	return {
		service: part.service,
		clientAccount: part.clientAccount,
		firstTokenP50Ms: histogramPercentile(part.firstToken, 50),
		firstTokenP95Ms: histogramPercentile(part.firstToken, 95),
		longestGapP95Ms: histogramPercentile(part.longestGap, 95),
	};
}

function placesOf(parts: readonly ServiceLevelSnapshot[]): PlaceCounts[] {
	const sums = new Map<string, number>();
	for (const {place, bad} of parts.flatMap(part => part.places)) {
		sums.set(place, (sums.get(place) ?? 0) + bad);
	}

	return [...sums].map(([place, bad]) => ({place, bad})).toSorted((left, right) => right.bad - left.bad).slice(0, maxPlaces);
}
