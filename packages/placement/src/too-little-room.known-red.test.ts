import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	type CallerKind, type CallerRecord, type CallersOptions, capacityOf, shareOf, simulateCallers, worthOf,
} from './test-callers.js';

const capacity = capacityOf(18);
const seeds = [1, 2, 3, 4, 5];

/** Factor by which callers get more than with fixed return times and without an expected room. */
const gain = 1.03;

function kind(name: string, perSecond: (atMs: number) => number, change: Partial<CallerKind> = {}): CallerKind {
	return {
		name, priority: 1, objectiveMs: 500, deadlineMs: 8000, perSecond: atMs => capacity * perSecond(atMs), ...change,
	};
}

function play(options: Omit<CallersOptions, 'seed'>): CallerRecord[] {
	return seeds.flatMap(seed => simulateCallers({seed, ...options}));
}

const mean = (records: readonly CallerRecord[]) => worthOf(records) / records.length;
const of = (records: readonly CallerRecord[], name: string) => records.filter(record => record.kind.name === name);

/** Most returns in any 100 ms from a moment on, over their mean. */
function returnPeak(records: readonly CallerRecord[], fromMs: number, untilMs: number): number {
	const counts = new Map<number, number>();
	const times = records.flatMap(({refusals}) => refusals.flatMap(({returnAtMs}) => returnAtMs !== undefined && returnAtMs >= fromMs && returnAtMs < untilMs ? [returnAtMs] : []));
	for (const time of times) {
		const slot = Math.floor(time / 100);
		counts.set(slot, (counts.get(slot) ?? 0) + 1);
	}

	return Math.max(...counts.values()) / (times.length / ((untilMs - fromMs) / 100));
}

describe('callers under too little room', () => {
	it('get more from a load that swings by half, with bursts of a further 0.9 of the capacity', () => {
		const kinds = [kind('any', atMs => 0.9 + (0.3 * Math.sin(atMs / 15_000 * 2 * Math.PI)) + (atMs % 5000 < 700 ? 0.9 : 0))];
		const [before, after] = [play({kinds, forMs: 20_000, isFixed: true}), play({kinds, forMs: 20_000})];
		expect(mean(after)).toBeGreaterThan(mean(before) * gain);
		expect(shareOf(after, 'refused')).toBeLessThan(shareOf(before, 'refused') / 2);
	});

	it('get more when a third of the targets is lost, and their returns form no peak', () => {
		const kinds = [kind('any', () => 1)];
		const [before, after] = [play({
			kinds, forMs: 12_000, lostAtMs: 5000, isFixed: true,
		}), play({kinds, forMs: 12_000, lostAtMs: 5000})];
		expect(mean(after)).toBeGreaterThan(mean(before) * gain);
		expect(returnPeak(after, 5000, 12_000)).toBeLessThan(2);
	});

	it('get more beside callers who leave while they wait', () => {
		const kinds = [kind('stays', () => 0.8), kind('leaves', () => 0.5, {leaveAfterMs: 60})];
		const [before, after] = [play({kinds, forMs: 12_000, isFixed: true}), play({kinds, forMs: 12_000})];
		expect(mean(after)).toBeGreaterThan(mean(before) * gain);
		expect(shareOf(of(after, 'stays'), 'refused')).toBeLessThan(shareOf(of(before, 'stays'), 'refused'));
	});
});
