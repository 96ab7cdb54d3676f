import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildLossReport} from './loss-report.js';

const head = 'time=2026-12-04T10:00:03.500Z level=info event=requestEnded node=e1/entry role=entry requestId=r1 route=draft objectiveMs=400 pauseObjectiveMs=120';

function fateOf(fields: string): string | undefined {
	const [interval] = buildLossReport([`  3.5000 e1 ${head} ${fields}`], 2000);
	return Object.entries(interval.counts).find(([, count]) => count === 1)?.[0];
}

describe('buildLossReport', () => {
	describe('of one request', () => {
		for (const [fields, fate] of [
			['outcome=answered waitedMs=0 firstByteMs=150 pauseMs=60 tookMs=900', 'onTime'],
			['outcome=answered waitedMs=0 firstByteMs=150 pauseMs=150 tookMs=900', 'latePause'],
			['outcome=answered sent=0 waitedMs=20 firstByteMs=450 pauseMs=60 tookMs=900', 'lateAtTarget'],
			['outcome=answered sent=1 waitedMs=20 firstByteMs=450 pauseMs=60 tookMs=900', 'lateAfterRetry'],
			['outcome=answered sent=0 waitedMs=300 firstByteMs=450 tookMs=900', 'lateInQueue'],
			['outcome=answered sinceFirstTryMs=300 waitedMs=0 firstByteMs=150 tookMs=900', 'lateAfterReturn'],
			['outcome=refused status=503 reason=full tookMs=50', 'refused'],
			['outcome=failed status=504 reason=deadline tookMs=2000', 'failed'],
			['outcome=callerLeft status=0 tookMs=2000', 'callerLeft'],
		] as const) {
			it(`is ${fate}: ${fields}`, () => {
				expect(fateOf(fields)).toEqual(fate);
			});
		}
	});

	it('counts a request in the interval in which it arrived, with the reasons of refusals', () => {
		const report = buildLossReport([
			`${head} outcome=refused reason=full tookMs=100`,
			`${head} outcome=refused reason=noTarget tookMs=2000`,
			`${head} outcome=answered firstByteMs=100 tookMs=2000`,
			'time=2026-12-04T10:00:03.500Z event=mapSwitch outcome=refused',
			'no line of a log',
			'',
		], 2000);
		expect(report.map(({fromMs}) => new Date(fromMs).toISOString())).toEqual(['2026-12-04T10:00:00.000Z', '2026-12-04T10:00:02.000Z']);
		expect(report.map(({counts, reasons}) => [counts.onTime, counts.refused, reasons])).toEqual([[1, 1, {noTarget: 1}], [0, 1, {full: 1}]]);
	});
});
