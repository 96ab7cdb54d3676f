import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	isSameState, silenceTimeoutMs, type TargetReport, type TargetsExceeded, TargetTable,
} from './index.js';

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

const hourMs = 3_600_000;

describe('TargetTable', () => {
	describe('with as many targets as it may know', () => {
		const target = (index: number): TargetReport => ({...report, targetId: `t${index}`, address: `10.0.0.${index}:80`});

		it('forgets those not heard of for longest, not those that report', () => {
			const events: TargetsExceeded[] = [];
			const table = new TargetTable({
				maxTargets: 32, onExceeded(event) {
					events.push(event);
				},
			});
			for (let index = 0; index < 32; index++) {
				table.add(target(index), index);
			}

			table.add({...target(0), sequence: 5}, 40);
			table.add(target(32), 41);
			expect(table.all().map(({targetId}) => targetId)).toEqual([0, ...Array.from({length: 30}, (_, index) => index + 3)].map(index => `t${index}`));
			expect(events).toEqual([{removedCount: 2, maxTargets: 32}]);
		});

		it('keeps a bounded number of notices of targets that leave', () => {
			const table = new TargetTable({maxTargets: 32});
			for (let index = 0; index < 100; index++) {
				table.markLeaving(target(index), index);
			}

			expect(table.leaving().map(({targetId}) => targetId)).toEqual(Array.from({length: 32}, (_, index) => `t${index + 68}`));
		});

		it('looks at each target a bounded number of times a new one, however many there are', () => {
			let removals = 0;
			const table = new TargetTable({
				maxTargets: 1600, onExceeded() {
					removals++;
				},
			});
			for (let index = 0; index < 3200; index++) {
				table.add({...target(index), address: `10.0.${Math.floor(index / 250)}.${index % 250}:80`}, index);
			}

			expect(removals).toEqual(16);
		});
	});

	describe('a target that said in an answer that it is leaving', () => {
		it('is not ready again by any later report of the same lifetime', () => {
			const table = new TargetTable();
			table.add(report, 0);
			expect(table.markLeaving(report, 0)).toEqual(true);
			expect(table.markLeaving(report, 0)).toEqual(false);
			expect(table.ready()).toEqual([]);
			table.add({...report, sequence: 5}, 1);
			table.touch({...report, sequence: 6}, 2);
			expect(table.ready()).toEqual([]);
			expect(table.get('t1')?.state).toEqual('draining');
		});

		it('is not ready by a report that arrives later than the notice', () => {
			const table = new TargetTable();
			table.markLeaving(report, 0);
			table.add(report, 0);
			expect(table.ready()).toEqual([]);
		});

		it('is another target after a restart, and so is one at its address', () => {
			const table = new TargetTable();
			table.markLeaving(report, 0);
			table.add({...report, bornMs: 200}, 0);
			table.add({
				...report, targetId: 't2', bornMs: 300, address: '10.0.0.2:80',
			}, 0);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t1', 't2']);
		});
	});

	describe('heartbeats', () => {
		it('keep an unchanged target ready, and count only for a known lifetime and a higher sequence', () => {
			const table = new TargetTable();
			const other = {...report, targetId: 't2', address: '10.0.0.2:80'};
			table.add(report, 0);
			table.add(other, 0);
			table.add({...other, sequence: 5}, silenceTimeoutMs + 1);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t2']);
			expect(table.touch({...report, bornMs: 99, sequence: 9}, silenceTimeoutMs + 1)).toEqual(false);
			expect(table.touch({...report, sequence: 4}, silenceTimeoutMs + 1)).toEqual(false);
			expect(table.touch({...report, sequence: 5}, silenceTimeoutMs + 1)).toEqual(true);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t1', 't2']);
		});
	});

	describe('cold times', () => {
		const cold = {...report, coldLeftMs: 3000};

		it('run on between reports, and heartbeats do not move their end', () => {
			const table = new TargetTable();
			table.add(cold, 0);
			table.touch({...report, sequence: 5}, 1000);
			expect([table.current('t1', 1000)?.coldLeftMs, table.allCurrent(2000)[0].coldLeftMs, table.allCurrent(9000)[0].coldLeftMs]).toEqual([2000, 1000, 0]);
			table.add({...cold, sequence: 6, coldLeftMs: 800}, 2100);
			expect(table.current('t1', 2100)?.coldLeftMs).toEqual(900);
			table.add({...cold, sequence: 7, coldLeftMs: 3000}, 2200);
			expect(table.current('t1', 2200)?.coldLeftMs).toEqual(3000);
			expect(new TargetTable().allCurrent(0)).toEqual([]);
		});

		it('that only run down are no change of a report, and those that begin, end or are said for the first time are one', () => {
			expect(isSameState({...cold, coldLeftMs: 2000}, {...cold, sequence: 5, coldLeftMs: 1900})).toEqual(true);
			expect(isSameState({...cold, coldLeftMs: 2000}, {...cold, sequence: 5, coldLeftMs: 2500})).toEqual(false);
			expect(isSameState({...cold, coldLeftMs: 100}, {...cold, coldLeftMs: 0})).toEqual(false);
			expect(isSameState({...cold, coldLeftMs: 0}, {...cold, coldLeftMs: 100})).toEqual(false);
			expect(isSameState({...cold, coldLeftMs: undefined}, {...cold, coldLeftMs: 0})).toEqual(false);
			expect(isSameState({...cold, slots: 7}, cold)).toEqual(false);
		});
	});

	describe('reports that arrive out of order', () => {
		it('keeps the report with the higher sequence', () => {
			const table = new TargetTable();
			table.add({...report, sequence: 6, state: 'draining'}, 0);
			expect(table.add({...report, sequence: 5}, 1)).toEqual(false);
			expect(table.ready()).toEqual([]);
		});

		it('accepts a new start under the same id with any sequence', () => {
			const table = new TargetTable();
			table.add({...report, sequence: 90, state: 'draining'}, 0);
			expect(table.add({...report, bornMs: 200, sequence: 1}, 1)).toEqual(true);
			expect(table.ready().length).toEqual(1);
		});

		it('rejects a late report of a previous start', () => {
			const table = new TargetTable();
			table.add({...report, bornMs: 200, sequence: 1}, 0);
			expect(table.add({...report, sequence: 99}, 1)).toEqual(false);
		});
	});

	describe('a reused address', () => {
		it('belongs to the target that started last', () => {
			const table = new TargetTable();
			table.add(report, 0);
			table.add({
				...report, targetId: 't2', bornMs: 300, service: 'other', sequence: 1,
			}, 1);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t2']);
			expect(table.add({...report, sequence: 9}, 2)).toEqual(false);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t2']);
		});
	});

	describe('a target that has left', () => {
		it('is not added again by a late report', () => {
			const table = new TargetTable();
			table.add(report, 0);
			table.add(table.goneReport({targetId: 't1', bornMs: report.bornMs})!, 1);
			expect(table.add({...report, sequence: 50}, 2)).toEqual(false);
			expect(table.ready()).toEqual([]);
		});
	});

	describe('a target whose last report is not known where it says that it leaves', () => {
		it('has left wherever that report is known, also of the build before', () => {
			const withoutLast = new TargetTable();
			const withLast = new TargetTable();
			withoutLast.add(report, 0);
			withLast.add({...report, sequence: report.sequence + 1}, 0);
			const gone = withoutLast.goneReport(report)!;
			expect(gone.sequence).toBeGreaterThan(report.sequence + 1);
			expect(withLast.add({...gone, sequence: report.sequence}, 1)).toEqual(true);
			expect(withLast.ready()).toEqual([]);
			expect(withLast.touch({...report, sequence: report.sequence + 2}, 2)).toEqual(false);
		});
	});

	describe('a target that has started again under its ID', () => {
		it('has not left when an earlier lifetime has', () => {
			const table = new TargetTable();
			table.add({...report, bornMs: report.bornMs + 10}, 0);
			expect(table.goneReport({targetId: 't1', bornMs: report.bornMs})).toEqual(undefined);
			expect(table.goneReport({targetId: 't1'})?.bornMs).toEqual(report.bornMs + 10);
		});
	});

	describe('a silent target', () => {
		it('gets no new work while others report', () => {
			const table = new TargetTable();
			table.add(report, 0);
			table.add({...report, targetId: 't2', address: '10.0.0.2:80'}, silenceTimeoutMs + 1);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t2']);
		});

		it('is kept while no target reports, since the connection for reports may be lost', () => {
			const table = new TargetTable();
			table.add(report, 0);
			expect(table.ready().length).toEqual(1);
			table.expire(hourMs);
			expect(table.ready().length).toEqual(1);
		});
	});

	describe('targets that come and go under new IDs', () => {
		it('take no more room after a while, also those that left before their first report', () => {
			const table = new TargetTable();
			const stays = {...report, targetId: 'stays', address: '10.0.0.2:80'};
			table.add(report, 0);
			table.add(table.goneReport({targetId: 't1'})!, 1);
			table.markLeaving(report, 1);
			table.markLeaving({targetId: 'never reported', bornMs: 1}, 1);
			table.add({...report, targetId: 'silent', address: '10.0.0.3:80'}, 1);
			table.add(stays, 1);
			table.expire(60_000);
			expect(table.all().length).toEqual(3);
			table.add({...stays, sequence: 5}, hourMs);
			table.expire(hourMs);
			expect(table.all().map(({targetId}) => targetId)).toEqual(['stays']);
			expect(table.leaving()).toEqual([]);
		});
	});
});
