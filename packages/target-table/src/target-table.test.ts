import {describe, it} from 'node:test';
import {expect} from 'earl';
import {silentAfterMs, type TargetReport, TargetTable} from './index.js';

const report: TargetReport = {
	targetId: 't1', bornMs: 100, sequence: 4, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 8, state: 'ready', coldLeftMs: 0,
};

describe('TargetTable', () => {
	describe('reports that come out of order', () => {
		it('keeps the one with the higher sequence', () => {
			const table = new TargetTable();
			table.add({...report, sequence: 6, state: 'draining'}, 0);
			expect(table.add({...report, sequence: 5}, 1)).toEqual(false);
			expect(table.ready()).toEqual([]);
		});

		it('takes a new start under the same id, whatever its sequence', () => {
			const table = new TargetTable();
			table.add({...report, sequence: 90, state: 'draining'}, 0);
			expect(table.add({...report, bornMs: 200, sequence: 1}, 1)).toEqual(true);
			expect(table.ready().length).toEqual(1);
		});

		it('does not take a late report of a start that has ended', () => {
			const table = new TargetTable();
			table.add({...report, bornMs: 200, sequence: 1}, 0);
			expect(table.add({...report, sequence: 99}, 1)).toEqual(false);
		});
	});

	describe('an address that is used again', () => {
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

	describe('a target that left', () => {
		it('is not brought back by a report that was on its way', () => {
			const table = new TargetTable();
			table.add(report, 0);
			table.add(table.goneReport('t1')!, 1);
			expect(table.add({...report, sequence: 50}, 2)).toEqual(false);
			expect(table.ready()).toEqual([]);
		});
	});

	describe('a target that fell silent', () => {
		it('is not offered work while others report', () => {
			const table = new TargetTable();
			table.add(report, 0);
			table.add({...report, targetId: 't2', address: '10.0.0.2:80'}, silentAfterMs + 1);
			expect(table.ready().map(({targetId}) => targetId)).toEqual(['t2']);
		});

		it('is kept while nobody reports, as the reports may be what is cut off', () => {
			const table = new TargetTable();
			table.add(report, 0);
			expect(table.ready().length).toEqual(1);
		});
	});
});
