import {describe, it} from 'node:test';
import {expect} from 'earl';
import {renderHtml} from './html-report.js';
import {defaultObjectives} from './objectives.js';
import {mergeSnapshots, type RequestOutcome, ServiceLevelRecorder} from './recorder.js';
import {buildReport} from './report.js';

const nowMs = 1_800_000_000_000;
const minuteMs = 60_000;

const good: RequestOutcome = {
	service: 'draft', clientAccount: 'a', place: {target: 't1', failureDomain: 'd1', revision: 3}, firstTokenMs: 100, longestGapMs: 20, isWhole: true, isRefused: false, isWithinDeadline: true,
};
const late: RequestOutcome = {...good, place: {...good.place, target: 't2'}, firstTokenMs: 3000};

function recorderWith(outcomes: ReadonlyArray<readonly [RequestOutcome, number]>): ServiceLevelRecorder {
	const recorder = new ServiceLevelRecorder({objectives: defaultObjectives});
	for (const [outcome, atMs] of outcomes) {
		recorder.record(outcome, atMs);
	}

	return recorder;
}

describe('service-level report', () => {
	describe('burn rates', () => {
		it('count a request in the windows that include its minute', () => {
			const recorder = recorderWith([[late, nowMs - (30 * minuteMs)], [good, nowMs]]);
			const report = buildReport(recorder.parts(nowMs), defaultObjectives, nowMs);
			const line = report.lines.find(candidate => candidate.objective === 'firstToken')!;
			expect(line.burnRates.map(({rate}) => Math.round(rate))).toEqual([0, 10, 10]);
		});

		it('exclude a request after six hours', () => {
			const recorder = recorderWith([[late, nowMs - (361 * minuteMs)], [good, nowMs]]);
			const report = buildReport(recorder.parts(nowMs), defaultObjectives, nowMs);
			expect(report.lines.every(line => line.bad === 0)).toEqual(true);
		});

		it('report a fast burn when both the short and the long window exceed the limit', () => {
			const recorder = recorderWith(Array.from({length: 20}, () => [late, nowMs] as const));
			const report = buildReport(recorder.parts(nowMs), defaultObjectives, nowMs);
			expect(report.lines.filter(line => line.burnsFast).map(line => line.objective)).toEqual(['firstToken']);
		});
	});

	describe('snapshots of several entries', () => {
		it('merge to the same report as one entry would give', () => {
			const outcomes = [good, late, good].map(outcome => [outcome, nowMs] as const);
			const whole = recorderWith(outcomes).parts(nowMs);
			const parts = outcomes.flatMap(one => recorderWith([one]).parts(nowMs));
			const reportOf = (merged: typeof whole): unknown => buildReport(mergeSnapshots(merged), defaultObjectives, nowMs);
			expect(reportOf(parts)).toEqual(reportOf(whole));
		});

		it('can be restricted to one client account', () => {
			const recorder = recorderWith([[good, nowMs], [{...good, clientAccount: 'b'}, nowMs]]);
			expect(recorder.parts(nowMs, 'b').map(snapshot => snapshot.clientAccount)).toEqual(['b']);
		});
	});

	describe('places', () => {
		it('name the target, failure domain and revision of bad requests', () => {
			const report = buildReport(recorderWith([[late, nowMs], [good, nowMs]]).parts(nowMs), defaultObjectives, nowMs);
			expect(report.places.map(({place}) => place)).toEqual(['target t2', 'failureDomain d1', 'revision 3']);
		});
	});

	describe('the HTML page', () => {
		it('contains its plots and escapes names', async () => {
			const recorder = recorderWith([[{...late, service: '<draft>'}, nowMs]]);
			const page = await renderHtml(buildReport(recorder.parts(nowMs), defaultObjectives, nowMs));
			expect(page.match(/<svg/g)?.length).toEqual(2);
			expect(page).toInclude('&lt;draft&gt;');
			expect(page.includes('<draft>')).toEqual(false);
		});
	});
});
