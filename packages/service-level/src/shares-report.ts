/** Builds the report of client accounts' shares, as plain data, from two readings of the counters that entries serve. */

import {fairShares} from '@rattanspring/account-shares';

/** Counters of one account at one service and one entry. Work is in milliseconds of a target's time, or requests at a service without an engine. */
export type ShareCounts = {
	/** Address of the entry. */
	readonly entry: string;
	readonly service: string;
	readonly account: string;
	/** Failure domain of the entry. */
	readonly failureDomain: string;
	readonly asked: number;
	readonly admitted: number;
	readonly refused: number;
	/** Number of admitted requests by the time that they waited, cumulative, by upper bound in seconds. */
	readonly waits: ReadonlyMap<number, number>;
};

/** One account at one service over the time between the readings. */
export type ShareLine = {
	readonly service: string;
	readonly account: string;
	readonly asked: number;
	readonly admitted: number;
	readonly refused: number;
	/** Part of the admitted work of all accounts, in [0, 1]. */
	readonly usedShare: number;
	/** Part that it was owed: its max-min fair share of the admitted work, in [0, 1]. */
	readonly owedShare: number;
	/** Upper bound of the wait of 95 in 100 admitted requests; undefined if none was admitted. */
	readonly waitP95Seconds?: number;
	/** Admitted work by failure domain of the entries. */
	readonly byFailureDomain: Readonly<Record<string, number>>;
};

/** The report. */
export type SharesReport = {readonly fromMs: number; readonly toMs: number; readonly lines: readonly ShareLine[]};

/** The time between the readings, and the weight of an account among the others, 1 by default. */
export type SharesReportOptions = {readonly fromMs: number; readonly toMs: number; readonly weightOf?: (account: string) => number};

const waitPercentile = 0.95;

/** Builds the report of what happened between two readings; lines are sorted by service, then by admitted work. */
export function buildSharesReport(before: readonly ShareCounts[], after: readonly ShareCounts[], {fromMs, toMs, weightOf = () => 1}: SharesReportOptions): SharesReport {
	const known = new Map(before.map(counts => [keyOf(counts), counts]));
	const changes = after.map(counts => subtract(counts, known.get(keyOf(counts))));
	const services = [...new Set(changes.map(({service}) => service))].toSorted();
	return {fromMs, toMs, lines: services.flatMap(service => linesOf(changes.filter(change => change.service === service), weightOf))};
}

function linesOf(changes: readonly ShareCounts[], weightOf: (account: string) => number): ShareLine[] {
	const accounts = [...new Set(changes.map(({account}) => account))];
	const lines = accounts.map(account => lineOf(account, changes.filter(change => change.account === account)));
	const room = lines.reduce((sum, {admitted}) => sum + admitted, 0);
	const owed = fairShares(lines.map(({account, asked}) => ({account, asked, weight: weightOf(account)})), room);
	return lines
		.map(line => ({...line, usedShare: line.admitted / Math.max(Number.EPSILON, room), owedShare: (owed.get(line.account) ?? 0) / Math.max(Number.EPSILON, room)}))
		.toSorted((left, right) => right.admitted - left.admitted);
}

function lineOf(account: string, parts: readonly ShareCounts[]): ShareLine {
	const sumOf = (value: (counts: ShareCounts) => number): number => parts.reduce((sum, counts) => sum + value(counts), 0);
	const waitP95Seconds = percentileOf(parts.map(({waits}) => waits));
	return {
		service: parts[0].service,
		account,
		asked: sumOf(({asked}) => asked),
		admitted: sumOf(({admitted}) => admitted),
		refused: sumOf(({refused}) => refused),
		usedShare: 0,
		owedShare: 0,
		...(waitP95Seconds !== undefined && {waitP95Seconds}),
		byFailureDomain: sumByFailureDomain(parts),
	};
}

function sumByFailureDomain(parts: readonly ShareCounts[]): Record<string, number> {
	const sums: Record<string, number> = {};
	for (const {failureDomain, admitted} of parts) {
		sums[failureDomain] = (sums[failureDomain] ?? 0) + admitted;
	}

	return sums;
}

function percentileOf(histograms: ReadonlyArray<ReadonlyMap<number, number>>): number | undefined {
	const sums = new Map<number, number>();
	for (const [bound, count] of histograms.flatMap(histogram => [...histogram])) {
		sums.set(bound, (sums.get(bound) ?? 0) + count);
	}

	const total = Math.max(0, ...sums.values());
	const bounds = [...sums].toSorted(([left], [right]) => left - right);
	return total === 0 ? undefined : bounds.find(([, count]) => count >= total * waitPercentile)?.[0];
}

/** What came on top of an earlier reading; an entry that has restarted counts from zero. */
function subtract(current: ShareCounts, earlier: ShareCounts | undefined): ShareCounts {
	if (!earlier || earlier.asked > current.asked) {
		return current;
	}

	return {
		...current,
		asked: current.asked - earlier.asked,
		admitted: current.admitted - earlier.admitted,
		refused: current.refused - earlier.refused,
		waits: new Map([...current.waits].map(([bound, count]) => [bound, count - (earlier.waits.get(bound) ?? 0)])),
	};
}

function keyOf({entry, service, account}: ShareCounts): string {
	return `${entry} ${service} ${account}`;
}
