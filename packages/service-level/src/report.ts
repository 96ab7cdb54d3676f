/** Builds the service-level report, as plain data, from merged snapshots. */

import {budgetLeft, burnRate} from './burn-rate.js';
import {
	fastBurn, type Objective, type ObjectiveKind, type WindowMinutes, windows,
} from './objectives.js';
import {histogramPercentile, type PlaceCounts, type ServiceLevelSnapshot} from './recorder.js';

/** Burn rates and error budget of one objective for one service and client account. */
export type ReportLine = {
	readonly service: string;
	readonly clientAccount: string;
	readonly objective: ObjectiveKind;
	readonly target: number;
	readonly total: number;
	readonly bad: number;
	/** Burn rate of each window, the shortest first. */
	readonly burnRates: ReadonlyArray<{readonly windowMinutes: WindowMinutes; readonly rate: number}>;
	/** Remaining fraction of the error budget of the longest window. */
	readonly budgetLeft: number;
	readonly burnsFast: boolean;
};

/** Latency percentiles of one service and client account. */
export type ReportLatencies = {
	readonly service: string;
	readonly clientAccount: string;
	readonly firstTokenP50Ms?: number;
	readonly firstTokenP95Ms?: number;
	readonly longestGapP95Ms?: number;
};

/** The service-level report. */
export type ServiceLevelReport = {
	readonly atMs: number;
	readonly lines: readonly ReportLine[];
	readonly times: readonly ReportLatencies[];
	/** Places to which the bad requests of the last hour are attributed, in descending order of their number. */
	readonly places: readonly PlaceCounts[];
};

/** Maximum number of places in a report. */
const maxPlaces = 20;

/** Builds the report. Lines are sorted by the burn rate of the longest window, the highest first. */
export function buildReport(parts: readonly ServiceLevelSnapshot[], objectives: readonly Objective[], atMs: number): ServiceLevelReport {
	const lines = parts.flatMap(snapshot => objectives.map(objective => buildLine(snapshot, objective)));
	return {
		atMs,
		lines: lines.filter(line => line.total > 0).toSorted((left, right) => longestWindowRate(right) - longestWindowRate(left)),
		times: parts.map(snapshot => buildLatencies(snapshot)),
		places: mergePlaces(parts),
	};
}

function buildLine(serviceSnapshot: ServiceLevelSnapshot, objective: Objective): ReportLine {
	const counts = serviceSnapshot.counts.filter(count => count.kind === objective.kind);
	const burnRates = windows.map(windowMinutes => {
		const inWindow = counts.find(count => count.windowMinutes === windowMinutes) ?? {total: 0, bad: 0};
		return {windowMinutes, rate: burnRate(inWindow, objective.target)};
	});
	const longest = counts.find(count => count.windowMinutes === windows.at(-1)) ?? {total: 0, bad: 0};
	const rateIn = (minutes: number): number => burnRates.find(({windowMinutes}) => windowMinutes === minutes)?.rate ?? 0;
	return {
		service: serviceSnapshot.service,
		clientAccount: serviceSnapshot.clientAccount,
		objective: objective.kind,
		target: objective.target,
		total: longest.total,
		bad: longest.bad,
		burnRates,
		budgetLeft: budgetLeft(longest, objective.target),
		burnsFast: rateIn(fastBurn.shortMinutes) > fastBurn.rate && rateIn(fastBurn.longMinutes) > fastBurn.rate,
	};
}

function longestWindowRate(line: ReportLine): number {
	return line.burnRates.at(-1)?.rate ?? 0;
}

function buildLatencies(serviceSnapshot: ServiceLevelSnapshot): ReportLatencies {
	return {
		service: serviceSnapshot.service,
		clientAccount: serviceSnapshot.clientAccount,
		firstTokenP50Ms: histogramPercentile(serviceSnapshot.firstToken, 50),
		firstTokenP95Ms: histogramPercentile(serviceSnapshot.firstToken, 95),
		longestGapP95Ms: histogramPercentile(serviceSnapshot.longestGap, 95),
	};
}

function mergePlaces(parts: readonly ServiceLevelSnapshot[]): PlaceCounts[] {
	const sums = new Map<string, number>();
	for (const {place, bad} of parts.flatMap(snapshot => snapshot.places)) {
		sums.set(place, (sums.get(place) ?? 0) + bad);
	}

	return [...sums].map(([place, bad]) => ({place, bad})).toSorted((left, right) => right.bad - left.bad).slice(0, maxPlaces);
}
