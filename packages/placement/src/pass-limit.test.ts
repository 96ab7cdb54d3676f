import {describe, it} from 'node:test';
import type {EngineProfile} from '@rattanspring/desired-state';
import {expect} from 'earl';
import {type GroupSimulationOptions, simulateGroup, type Streams} from './group-simulation.js';
import {type GroupFigures, PassLimit} from './pass-limit.js';
import {targets} from './test-fixtures.js';
import {TargetSelector} from './target-selector.js';
import {writersWithin} from './writer-limit.js';

const pauseObjectiveMs = 120;

function engineOf(ranks: number): EngineProfile {
	return {
		slots: 7, contextTokens: 288_166, stepMs: 4.84, perSequenceMs: 0.62, contextMsPerThousandTokens: 0.0165, promptTokensPerSecond: 74_800, stepsPerPass: 7,
		usualPromptTokens: 835, usualAnswerTokens: 161, expertSets: 8, expertsPerSet: ranks * 4, placesPerRank: 5, newPlacesPerRank: 2, megabytesPerExpert: 420,
		linkMegabitsPerSecond: 44_000, expertShare: 0.85,
	};
}

type Scenario = Pick<GroupSimulationOptions, 'arrivals' | 'moveIntervalMs' | 'pace'>;
type Compared = {readonly before: Streams; readonly after: Streams};

/** Sums of three simulations, with the published formula alone and with measured passes. */
function compare(ranks: number, scenario: Scenario): Compared {
	const engine = engineOf(ranks);
	const run = (makeLimit: () => GroupSimulationOptions['limit']): Streams => {
		const sum = {onTime: 0, late: 0, refused: 0};
		for (const seed of [1, 2, 3]) {
			const streams = simulateGroup({
				...scenario, engine, ranks, seed, pauseObjectiveMs, durationMs: 60_000, limit: makeLimit(),
			});
			sum.onTime += streams.onTime;
			sum.late += streams.late;
			sum.refused += streams.refused;
		}

		return sum;
	};

	return {
		before: run(() => ({skew}) => writersWithin(engine, pauseObjectiveMs, skew)),
		after: run(() => {
			const limit = new PassLimit();
			return (figures, nowMs) => limit.writers(engine, pauseObjectiveMs, {group: 'g', epoch: 1, ...figures}, nowMs) ?? engine.slots;
		}),
	};
}

/** Share of the streams that were admitted and had all their pauses within the objective. */
function onTimeShare({onTime, late}: Streams): number {
	return onTime / (onTime + late);
}

for (const ranks of [63, 12]) {
	describe(`PassLimit with a simulated group of ${ranks} ranks`, () => {
		for (const moveIntervalMs of [1500, 3000, 5000]) {
			it(`has nearly all streams on time while the demand moves every ${moveIntervalMs} ms, and about as many of them`, () => {
				const {before, after} = compare(ranks, {arrivals: () => 3, moveIntervalMs});
				expect(onTimeShare(after) > 0.93).toEqual(true);
				expect(after.onTime > before.onTime * 0.95).toEqual(true);
			});
		}

		it('has nearly all streams on time in bursts', () => {
			const {before, after} = compare(ranks, {arrivals: nowMs => nowMs % 10_000 < 1500 ? 6 : 1.2, moveIntervalMs: 8000});
			expect(onTimeShare(after) > 0.93).toEqual(true);
			expect(after.onTime > before.onTime * 0.93).toEqual(true);
		});

		for (const pace of [3.2, 5, 12]) {
			it(`gives late answers rather than none while a rank is ${pace} times as slow for some seconds, so that none can be on time`, () => {
				const {before, after} = compare(ranks, {arrivals: () => 2, pace: nowMs => nowMs % 10_000 < 3000 ? pace : 1});
				expect(after.onTime > before.onTime * 0.97).toEqual(true);
				expect(after.onTime + after.late > (before.onTime + before.late) * 0.97).toEqual(true);
				expect(after.refused <= before.refused * 1.03).toEqual(true);
			});
		}

		it('has nearly all streams on time while a rank runs at half of its speed for some seconds', () => {
			const {after} = compare(ranks, {arrivals: () => 2, pace: nowMs => nowMs % 10_000 < 3000 ? 2 : 1});
			expect(onTimeShare(after) > 0.97).toEqual(true);
			expect(after.refused < after.onTime / 10).toEqual(true);
		});

		it('serves as much as before while the demand is calm', () => {
			for (const perSecond of [1, 2, 3.5]) {
				const {before, after} = compare(ranks, {arrivals: () => perSecond});
				expect(after.onTime > before.onTime * 0.97).toEqual(true);
			}
		});
	});
}

describe('PassLimit', () => {
	const engine = engineOf(63);
	const calm: GroupFigures = {
		group: 'g', epoch: 1, activePerRank: 5, pace: 1, passTimes: [{passMs: 65, ageMs: 0}],
	};

	/** Limits every 100 ms with the same figures. */
	function limits(limit: PassLimit, fromMs: number, toMs: number, figures: GroupFigures): number[] {
		const values: number[] = [];
		for (let nowMs = fromMs; nowMs < toMs; nowMs += 100) {
			values.push(limit.writers(engine, pauseObjectiveMs, figures, nowMs)!);
		}

		return values;
	}

	it('falls at once, and rises again in small steps', () => {
		const limit = new PassLimit();
		const before = limits(limit, 0, 2000, calm).at(-1)!;
		const [fallen] = limits(limit, 2000, 2100, {...calm, passTimes: [{passMs: 150, ageMs: 0}]});
		expect(fallen < before * 0.6).toEqual(true);
		const after = limits(limit, 2100, 12_000, calm);
		for (const [index, value] of after.entries()) {
			expect(value - (after[index - 1] ?? fallen) <= 0.5).toEqual(true);
		}

		expect(after.at(-1)! > before * 0.95).toEqual(true);
	});

	it('stands on the formula without recent measurements, and on nothing without a skew', () => {
		expect(new PassLimit().writers(engine, pauseObjectiveMs, {...calm, passTimes: []}, 0)).toEqual(undefined);
		for (const skew of [1, 2, 3.2]) {
			const limit = new PassLimit();
			limits(limit, 0, 1000, calm);
			expect(limits(limit, 10_000, 10_100, {...calm, skew, passTimes: [{passMs: 200, ageMs: 1300}]})[0]).toEqual(writersWithin(engine, pauseObjectiveMs, skew));
		}
	});

	it('does not follow one agent that measures wrongly', () => {
		const passTimes = [70, 72, 68, 71, 2000].map(passMs => ({passMs, ageMs: 100}));
		const [value] = limits(new PassLimit(), 0, 100, {...calm, passTimes});
		expect(value > 5).toEqual(true);
	});

	it('leaves a rank one writer, however long the measured passes are at the published speed', () => {
		expect(limits(new PassLimit(), 0, 100, {...calm, passTimes: [{passMs: 5000, ageMs: 0}]})).toEqual([1]);
		expect(limits(new PassLimit(), 0, 100, {
			...calm, skew: 1, pace: 12, passTimes: [],
		})).toEqual([Number.POSITIVE_INFINITY]);
	});
});

describe('a selector whose group reports its passes', () => {
	it('gives fewer places while passes are long', () => {
		const placesWith = (passMs: number): number => {
			const limit = new PassLimit();
			const selector = new TargetSelector({failureDomain: 'a', writersWithin: (_service, figures, nowMs) => limit.writers(engineOf(24), pauseObjectiveMs, figures, nowMs)});
			selector.setTargets(targets(24, 7), 0);
			selector.setLoads(Array.from({length: 24}, (_, rank) => ({
				address: `10.0.0.${rank}:80`, bornMs: 1, sequence: 1, active: 2, queued: 0, memoryShare: 0, pace: 1, ...(rank % 4 === 0 && {passMs}),
				rankPlace: {
					group: 'g', epoch: 1, rank, size: 24, isOpen: true,
				},
			})), 0);
			const choose = (): ReturnType<TargetSelector['choose']> => selector.choose({service: 's', nowMs: 1, random: () => 0.5});
			let places = 0;
			for (let choice = choose(); choice.kind === 'target'; choice = choose()) {
				selector.sent(choice.view.report.targetId, 1);
				places++;
			}

			return places;
		};

		expect(placesWith(50)).toEqual(24 * 5);
		expect(placesWith(110) < 24 * 2).toEqual(true);
	});
});
