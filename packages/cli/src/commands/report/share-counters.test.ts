import {describe, it} from 'node:test';
import {DaemonMetrics} from '@rattanspring/metrics';
import {buildSharesReport, renderSharesHtml} from '@rattanspring/service-level';
import {expect} from 'earl';
import {parseCounters} from './share-counters.js';

/** Metrics of an entry at which accounts asked for work, of which some was admitted. */
async function countersAt(entry: string, accounts: ReadonlyArray<readonly [name: string, asked: number, admitted: number]>): Promise<ReturnType<typeof parseCounters>> {
	const metrics = new DaemonMetrics();
	for (const [account, asked, admitted] of accounts) {
		const labels = {service: 's', account, failureDomain: entry};
		metrics.accountWork.inc({...labels, step: 'asked'}, asked);
		metrics.accountWork.inc({...labels, step: 'admitted'}, admitted);
		metrics.accountWork.inc({...labels, step: 'refused'}, asked - admitted);
		metrics.accountWaitSeconds.observe(labels, 0.03);
	}

	return parseCounters(entry, await metrics.text());
}

describe('report shares', () => {
	it('adds up the counters of all entries and compares what was used with what is owed', async () => {
		const counts = [...await countersAt('a', [['big', 80, 30], ['small "1"', 5, 5]]), ...await countersAt('b', [['big', 80, 30], ['small "1"', 15, 5]])];
		const report = buildSharesReport([], counts, {fromMs: 0, toMs: 1000});
		expect(report.lines.map(({account, asked, admitted, refused, usedShare, owedShare, waitP95Seconds}) => [account, asked, admitted, refused, usedShare, owedShare, waitP95Seconds])).toEqual([
			['big', 160, 60, 100, 60 / 70, 50 / 70, 0.05],
			['small "1"', 20, 10, 10, 10 / 70, 20 / 70, 0.05],
		]);
		expect(report.lines[0].byFailureDomain).toEqual({a: 30, b: 30});
		expect(renderSharesHtml(report)).toInclude('small &quot;1&quot;');
	});

	it('counts what came between two readings, and all of an entry that has restarted', async () => {
		const before = [...await countersAt('a', [['x', 100, 100]]), ...await countersAt('b', [['x', 100, 100]])];
		const after = [...await countersAt('a', [['x', 130, 120]]), ...await countersAt('b', [['x', 7, 7]])];
		const [line] = buildSharesReport(before, after, {fromMs: 0, toMs: 1000}).lines;
		expect([line.asked, line.admitted]).toEqual([37, 27]);
	});
});
