import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	LimitTable, PermitAuthority, PermitHolder, readTargetLimit,
} from './index.js';

const target = {targetId: 't1', bornMs: 5};
const limited = {...target, perSecond: 4};

describe('LimitTable', () => {
	it('keeps the newest value of a lifetime, and says what is new', () => {
		const table = new LimitTable();
		expect([table.set(limited), table.set(limited), table.set({...limited, perSecond: 4.01}), table.set({...limited, perSecond: 3})]).toEqual([true, false, false, true]);
		expect(table.perSecondOf(target)).toEqual(3);
		expect(table.set({...target, bornMs: 4, perSecond: 9})).toEqual(false);
		expect(table.set(target)).toEqual(true);
		expect(table.perSecondOf(target)).toEqual(undefined);
	});

	it('knows nothing of another lifetime of the target, and stays bounded', () => {
		const table = new LimitTable({maxTargets: 3});
		for (let index = 0; index < 100; index++) {
			table.set({...limited, targetId: `t${index}`});
		}

		expect(table.all.map(({targetId}) => targetId)).toEqual(['t97', 't98', 't99']);
		expect(table.perSecondOf({targetId: 't99', bornMs: 6})).toEqual(undefined);
		table.set({targetId: 't98', bornMs: 5});
		expect(table.all.map(({targetId}) => targetId)).toEqual(['t97', 't99']);
	});

	for (const value of [undefined, null, {}, {...limited, bornMs: '5'}, {...limited, perSecond: -1}, {...limited, perSecond: Number.NaN}]) {
		it(`rejects ${JSON.stringify(value)} as a limit`, () => {
			expect(() => readTargetLimit(value)).toThrow(TypeError);
		});
	}
});

describe('PermitAuthority', () => {
	/** Largest number of permits in any four seconds, and the number in all, if permits are asked for at these times. */
	function play(perSecond: number, askAtMs: readonly number[]): {readonly most: number; readonly count: number} {
		const authority = new PermitAuthority();
		const granted = askAtMs.filter(atMs => authority.take({...target, perSecond}, {}, atMs).granted === 1);
		return {most: Math.max(...granted.map(startMs => granted.filter(atMs => atMs >= startMs && atMs < startMs + 4000).length)), count: granted.length};
	}

	for (const perSecond of [0.4, 1.5, 4, 60]) {
		it(`keeps a limit of ${perSecond} a second, and gives nine tenths of it while it is asked for more`, () => {
			const everyMs = play(perSecond, Array.from({length: 20_000}, (_, index) => index));
			expect(everyMs.most).toBeLessThanOrEqual((4 * perSecond) + 2);
			expect(everyMs.count).toBeGreaterThanOrEqual(Math.floor(0.9 * 20 * perSecond));
			const bursts = play(perSecond, Array.from({length: 20_000}, (_, index) => Math.floor(index / 100) * 100));
			expect(bursts.most).toBeLessThanOrEqual((4 * perSecond) + 2);
		});
	}

	it('says when there will be a permit, and never gives one at a limit of 0', () => {
		const authority = new PermitAuthority();
		expect(authority.take(limited, {}, 0)).toEqual({granted: 0, retryInMs: 250});
		expect(authority.take(limited, {}, 250)).toEqual({granted: 1, retryInMs: 0});
		authority.take({...target, targetId: 'none', perSecond: 0}, {}, 0);
		const {granted, retryInMs} = authority.take({...target, targetId: 'none', perSecond: 0}, {}, 60_000);
		expect([granted, Number.isFinite(retryInMs)]).toEqual([0, true]);
	});
});

describe('PermitHolder', () => {
	const granted = {granted: 1, retryInMs: 0};
	const at = (nowMs: number) => ({askedAtMs: nowMs, nowMs});

	it('lets one request be sent with a permit, and none once it has ended', () => {
		const holder = new PermitHolder();
		holder.record(limited, granted, at(0));
		expect([holder.has(target, 499), holder.has(target, 500), holder.has({...target, bornMs: 6}, 0)]).toEqual([true, false, false]);
		holder.record(limited, granted, at(1000));
		holder.use(target);
		expect(holder.has(target, 1001)).toEqual(false);
	});

	it('holds permits for a shorter time at a high limit, so that they can\'t be used all at once', () => {
		const holder = new PermitHolder();
		holder.record({...target, perSecond: 100}, granted, at(0));
		expect([holder.has(target, 19), holder.has(target, 20)]).toEqual([true, false]);
	});

	it('asks for the targets in turn, for none twice at a time, and for none before its time', () => {
		const holder = new PermitHolder();
		const other = {...limited, targetId: 't2'};
		const targets = [limited, other];
		expect([holder.nextToAsk(targets, 0), holder.nextToAsk(targets, 0), holder.nextToAsk(targets, 0)]).toEqual([limited, other, undefined]);
		holder.record(limited, {granted: 0, retryInMs: 200}, at(10));
		holder.record(other, undefined, at(10));
		expect([holder.nextToAsk(targets, 209), holder.nextToAsk(targets, 210), holder.nextToAsk(targets, 509), holder.nextToAsk(targets, 510)]).toEqual([undefined, limited, undefined, other]);
	});

	it('expects a wait that follows from the permits of the last seconds and from those who wait', () => {
		const holder = new PermitHolder();
		for (let index = 0; index < 8; index++) {
			holder.record(limited, granted, at(index * 400));
		}

		expect(holder.expectedWaitMs(0, 3000)).toEqual(500);
		expect(holder.expectedWaitMs(3, 3000)).toEqual(2000);
		expect(holder.expectedWaitMs(0, 30_000)).toEqual(4000);
	});
});
