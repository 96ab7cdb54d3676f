/** Reads the counters of client accounts from the metrics that entries serve. */

import Wreck from '@hapi/wreck';
import type {ShareCounts} from '@rattanspring/service-level';
import {err, ok, type Result} from '@rattanspring/types';
import type {CollectFailure} from './collect.js';

const timeoutMs = 5000;

type Mutable = {-readonly [Key in keyof ShareCounts]: ShareCounts[Key]} & {waits: Map<number, number>};

/** The counters of all entries that answered, and the failures of the others. */
export type CollectedCounters = {readonly counts: readonly ShareCounts[]; readonly failures: readonly CollectFailure[]};

/** Reads the metrics of every entry. */
export async function collectCounters(urls: readonly string[]): Promise<CollectedCounters> {
	const results = await Promise.all(urls.map(async url => fetchCounters(url)));
	return {
		counts: results.flatMap(result => result.ok ? result.value : []),
		failures: results.flatMap(result => result.ok ? [] : [result.failure]),
	};
}

async function fetchCounters(url: string): Promise<Result<readonly ShareCounts[], CollectFailure>> {
	try {
		const {payload} = await Wreck.get<Uint8Array>(url, {timeout: timeoutMs});
		return ok(parseCounters(url, new TextDecoder().decode(payload)));
	} catch (error) {
		return err({type: 'entryUnreachable', message: `${url}: ${String(error)}`, url});
	}
}

/** Picks the counters of client accounts from metrics in the Prometheus text format. */
export function parseCounters(entry: string, text: string): ShareCounts[] {
	const counts = new Map<string, Mutable>();
	for (const line of text.split('\n')) {
		const match = /^(?<name>rattanspring_account_\w+){(?<labels>.*)} (?<value>\S+)$/.exec(line);
		if (match?.groups) {
			const labels = parseLabels(match.groups.labels);
			add(countsOf(counts, entry, labels), match.groups.name, labels, Number(match.groups.value));
		}
	}

	return [...counts.values()];
}

function add(counts: Mutable, name: string, labels: ReadonlyMap<string, string>, value: number): void {
	if (name === 'rattanspring_account_work_total') {
		const step = labels.get('step');
		if (step === 'asked' || step === 'admitted' || step === 'refused') {
			counts[step] = value;
		}
	} else if (name === 'rattanspring_account_wait_seconds_bucket') {
		const bound = labels.get('le') === '+Inf' ? Number.POSITIVE_INFINITY : Number(labels.get('le'));
		counts.waits.set(bound, value);
	}
}

function countsOf(counts: Map<string, Mutable>, entry: string, labels: ReadonlyMap<string, string>): Mutable {
	const service = labels.get('service') ?? '';
	const account = labels.get('account') ?? '';
	const key = `${service} ${account}`;
	const known = counts.get(key) ?? {
		entry, service, account, failureDomain: labels.get('failureDomain') ?? '', asked: 0, admitted: 0, refused: 0, waits: new Map<number, number>(),
	};
	counts.set(key, known);
	return known;
}

function parseLabels(text: string): Map<string, string> {
	return new Map([...text.matchAll(/(?<name>\w+)="(?<value>(?:[^"\\]|\\.)*)"/g)].map(({groups}) => [groups!.name, groups!.value.replaceAll(/\\(.)/g, '$1')]));
}
