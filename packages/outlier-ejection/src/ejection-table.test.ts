import {beforeEach, describe, it} from 'node:test';
import type {TargetReport} from '@rattanspring/target-table';
import {expect} from 'earl';
import {
	type Accusation, accusationValidityMs, AccusationBook, EjectionTable, type Evidence, MalformedAccusationError, readAccusations,
} from './index.js';

const reportOf = (index: number, bornMs = 1): TargetReport => ({
	targetId: `t${index}`, bornMs, sequence: 1, service: 's', address: '10.0.0.1:80', failureDomain: 'a', slots: 4, state: 'ready', coldLeftMs: 0,
});

const accusationOf = (index: number, entry: string, timeLeftMs = accusationValidityMs): Accusation => ({
	targetId: `t${index}`, bornMs: 1, entry, kind: 'failed', timeLeftMs,
});

const evidence: Evidence = {
	kind: 'failed', badCount: 4, count: 10, row: 1, isWhole: false, sinceMs: 0, requestIds: [],
};
const wholeEvidence: Evidence = {...evidence, row: 5, isWhole: true};

describe('the ejected targets of a service', () => {
	let table: EjectionTable;
	let reports: TargetReport[];
	let steps: string[];

	const setUp = (count: number) => {
		steps = [];
		table = new EjectionTable({
			entry: 'e0', onChange({step, targetId, source, forMs}) {
				steps.push(`${step} ${targetId} ${source} ${forMs}`);
			},
		});
		reports = Array.from({length: count}, (_, index) => reportOf(index));
		table.setTargets(reports, 0);
	};

	const outAt = (nowMs: number) => reports.filter(report => table.reasonAgainst(report, nowMs) === 'ejected').map(({targetId}) => targetId);
	const accuse = (index: number, nowMs: number, entries = ['e1', 'e2', 'e3']) => {
		table.receive(entries.map(entry => accusationOf(index, entry)), nowMs);
	};

	beforeEach(() => {
		setUp(10);
	});

	describe('with accusations', () => {
		it('are those that three entries accuse, this one among them', () => {
			accuse(1, 0, ['e1', 'e2']);
			accuse(1, 500, ['e1', 'e2']);
			expect(outAt(500)).toEqual([]);
			expect(table.accuse(reportOf(1), evidence, 600)?.entry).toEqual('e0');
			expect(outAt(600)).toEqual(['t1']);
		});

		it('are not those that one entry alone accuses, unless it is this one with whole evidence', () => {
			accuse(1, 0, ['e1']);
			table.accuse(reportOf(2), evidence, 0);
			expect(outAt(0)).toEqual([]);
			table.accuse(reportOf(2), wholeEvidence, 0);
			expect(outAt(0)).toEqual(['t2']);
		});

		it('are none that an entry accuses which accuses more than a fifth of the service', () => {
			for (const index of [1, 2, 3]) {
				table.accuse(reportOf(index), evidence, 0);
				accuse(index, 0, ['e1']);
			}

			accuse(1, 0, ['e2']);
			table.accuse(reportOf(1), wholeEvidence, 0);
			expect(outAt(0)).toEqual([]);
		});

		it('are not changed by an accusation that has ended, is older than the last answer or about another lifetime', () => {
			accuse(1, 0, ['e1', 'e2']);
			table.receive([accusationOf(1, 'e3', 0), {...accusationOf(1, 'e4'), bornMs: 0}], 0);
			expect(outAt(0)).toEqual([]);
			accuse(1, 0);
			table.trialEnded(trialAt(2000), 'answered', 2100);
			table.receive([accusationOf(1, 'e5', accusationValidityMs - 200)], 2200);
			expect(outAt(2200)).toEqual([]);
		});

		it('are at most a tenth, the worst first', () => {
			setUp(20);
			for (const [index, entries] of [['e1', 'e2', 'e3'], ['e4', 'e5', 'e6', 'e7'], ['e8', 'e9', 'e10']].entries()) {
				accuse(index, index, entries);
			}

			expect(outAt(10)).toEqual(['t0', 't1']);
			table.trialEnded(trialAt(2100, 0), 'answered', 2100);
			accuse(3, 2100, ['f1', 'f2', 'f3', 'f4']);
			expect(outAt(2101)).toEqual(['t3']);
		});

		it('are never all, also when the others go', () => {
			accuse(1, 0);
			reports = [reportOf(1)];
			table.setTargets(reports, 100);
			expect([outAt(100), steps.at(-1)]).toEqual([[], 'reinstated t1 room 2000']);
		});

		it('are forgotten with their lifetime', () => {
			accuse(1, 0);
			reports[1] = reportOf(1, 2);
			table.setTargets(reports, 100);
			expect([outAt(100), table.ejectedCount]).toEqual([[], 0]);
		});
	});

	const trialAt = (nowMs: number, index = 1) => {
		table.setTargets(reports, nowMs);
		return table.sent(reportOf(index))!;
	};

	it('are ejected again by older accusations only beside fresh evidence of this entry', () => {
		accuse(1, 0);
		table.trialEnded(trialAt(2000), 'answered', 2100);
		accuse(1, 2200, ['e1']);
		expect(outAt(2200)).toEqual([]);
		table.accuse(reportOf(1), evidence, 2300);
		expect(outAt(2300)).toEqual(['t1']);
	});

	describe('on probation', () => {
		it('get one request at a time', () => {
			accuse(1, 0);
			expect([outAt(1999), outAt(2000)]).toEqual([['t1'], []]);
			const trial = table.sent(reportOf(1))!;
			expect([outAt(2001), table.sent(reportOf(1))]).toEqual([['t1'], undefined]);
			table.trialEnded(trial, undefined, 2100);
			expect(outAt(2100)).toEqual([]);
		});

		it('are in use again after an answer', () => {
			accuse(1, 0);
			table.trialEnded(trialAt(2000), 'answered', 2100);
			expect(steps).toEqual(['ejected t1 entries 2000', 'onProbation t1 time 2000', 'reinstated t1 probation 2000']);
			expect(table.ejectedCount).toEqual(0);
		});

		it('are ejected for twice the time after a failure, within a bound', () => {
			accuse(1, 0);
			let nowMs = 0;
			for (const forMs of [2000, 4000, 8000, 8000]) {
				expect([outAt(nowMs + forMs - 1), outAt(nowMs + forMs)]).toEqual([['t1'], []]);
				nowMs += forMs;
				table.trialEnded(trialAt(nowMs), 'slow', nowMs);
			}
		});

		it('are accused anew after a failure', () => {
			accuse(1, 0);
			expect(table.trialEnded(trialAt(2000), 'failed', 2000)).toEqual(accusationOf(1, 'e0'));
		});

		it('are ejected for longer after a relapse', () => {
			accuse(1, 0);
			table.trialEnded(trialAt(2000), 'answered', 2100);
			accuse(1, 5000);
			expect(steps.at(-1)).toEqual('ejected t1 entries 4000');
		});
	});
});

describe('accusations from other daemons', () => {
	it('are refused if they are malformed', () => {
		const sound = accusationOf(1, 'e1');
		for (const value of [undefined, {}, [null], [{...sound, kind: 'odd'}], [{...sound, timeLeftMs: -1}], [{...sound, bornMs: '1'}], [{...sound, entry: ''}], Array.from({length: 1001}, () => sound)]) {
			expect(() => readAccusations(value)).toThrow(MalformedAccusationError);
		}

		expect(readAccusations([{...sound, timeLeftMs: 1e9, extra: 1}])).toEqual([sound]);
	});

	it('are new once, again when they are renewed, and bounded by entry and second', () => {
		const book = new AccusationBook({maxAccusations: 4});
		const sound = accusationOf(1, 'e1');
		expect([book.add(sound, 0), book.add(sound, 1400), book.add(sound, 1500)]).toEqual([true, false, true]);
		expect(Array.from({length: 9}, (_, index) => book.add(accusationOf(index + 2, 'e2'), 3000)).filter(Boolean).length).toEqual(5);
		expect(book.messages(4000).map(({timeLeftMs}) => timeLeftMs)).toEqual([9000, 9000, 9000, 9000]);
		expect(book.messages(13_000)).toEqual([]);
	});
});
