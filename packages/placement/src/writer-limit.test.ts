import {describe, it} from 'node:test';
import type {EngineProfile} from '@rattanspring/desired-state';
import type {TargetLoad} from '@rattanspring/target-table';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {targets} from './test-fixtures.js';
import {PassLimit, TargetSelector, writersWithin} from './index.js';

const slots = 7;
const pauseObjectiveMs = 120;
const engine: EngineProfile = {
	slots,
	contextTokens: 288_166,
	stepMs: 4.84,
	perSequenceMs: 0.62,
	contextMsPerThousandTokens: 0.0165,
	promptTokensPerSecond: 74_800,
	stepsPerPass: 7,
	usualPromptTokens: 835,
	usualAnswerTokens: 161,
	expertSets: 16,
	expertsPerSet: 96,
	placesPerRank: 5,
	newPlacesPerRank: 2,
	megabytesPerExpert: 420,
	linkMegabitsPerSecond: 44_000,
	expertShare: 0.85,
};

/** Factor by which passes take longer while weights are copied. */
const copySlowdown = 1.15;

/** Duration of a pass by the engine's published formula, with prompts in proportion to the writers. */
function passMs(writersPerRank: number, skew: number): number {
	const {stepsPerPass, stepMs, perSequenceMs, expertShare, usualPromptTokens, usualAnswerTokens, promptTokensPerSecond} = engine;
	const unevenness = 1 - expertShare + (expertShare * skew);
	const promptMs = usualPromptTokens / promptTokensPerSecond * 1000;
	const promptsPerPass = writersPerRank / (usualAnswerTokens / stepsPerPass);
	return (stepsPerPass * (stepMs + (perSequenceMs * writersPerRank * unevenness))) + (promptMs * promptsPerPass * unevenness);
}

type Served = {readonly onTime: number; readonly late: number; readonly refused: number};

/** Plays arrivals at a group whose demand moves every 2.2 s: the skew is high, and weights are copied, until the map has followed. Those that find no place are refused. */
function play(limitOf: (skew: number) => number, seed: number): Served {
	const ranks = 24;
	const arrivalsPerMs = 0.0029 * ranks;
	const random = seededRandom(seed);
	const served = {onTime: 0, late: 0, refused: 0};
	let streams: Array<{eventsLeft: number; isLate: boolean}> = [];
	for (let nowMs = 0; nowMs < 60_000;) {
		const isBehind = nowMs % 2200 < 900;
		const skew = isBehind ? 3.2 : 1.4;
		const tookMs = passMs(streams.length / ranks, skew) * (isBehind ? copySlowdown : 1);
		for (const stream of streams) {
			stream.eventsLeft--;
			stream.isLate ||= tookMs > pauseObjectiveMs;
		}

		const ended = streams.filter(({eventsLeft}) => eventsLeft <= 0);
		served.late += ended.filter(({isLate}) => isLate).length;
		served.onTime += ended.filter(({isLate}) => !isLate).length;
		streams = streams.filter(({eventsLeft}) => eventsLeft > 0);
		const expected = arrivalsPerMs * tookMs;
		const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
		const places = Math.floor(ranks * limitOf(3.2)) - streams.length;
		for (let arrival = 0; arrival < arrivals; arrival++) {
			if (arrival < places) {
				streams.push({eventsLeft: 23, isLate: false});
			} else {
				served.refused++;
			}
		}

		nowMs += tookMs;
	}

	return served;
}

function loadOf(index: number, skew?: number): TargetLoad {
	return {
		address: `10.0.0.${index}:80`, bornMs: 1, sequence: 1, active: 0, queued: 0, memoryShare: 0, pace: 1,
		rankPlace: {
			group: 'g', epoch: 1, rank: index, size: 24, isOpen: true,
		},
		...(skew !== undefined && {skew}),
	};
}

describe('writersWithin', () => {
	it('keeps a pass within the objective, and falls as the load becomes uneven', () => {
		for (const skew of [1, 1.5, 2, 2.5, 3, 4]) {
			const writers = writersWithin(engine, pauseObjectiveMs, skew);
			expect(passMs(writers, skew) * copySlowdown).toBeLessThan(pauseObjectiveMs);
			expect(writersWithin(engine, pauseObjectiveMs, skew + 0.5)).toBeLessThan(writers);
		}
	});

	it('leaves a rank at least one writer, whatever the skew', () => {
		expect(writersWithin(engine, pauseObjectiveMs, 40)).toEqual(1);
	});

	it('serves more callers on time while demand moves, where without it nearly all are late', () => {
		const all = play(() => slots, 1);
		const limited = play(skew => Math.min(slots, writersWithin(engine, pauseObjectiveMs, skew)), 1);
		const total = ({onTime, late, refused}: Served): number => onTime + late + refused;
		expect(all.onTime / total(all)).toBeLessThan(0.3);
		expect(limited.onTime / total(limited) > 0.75).toEqual(true);
	});
});

describe('a selector whose group reports an uneven load', () => {
	function placesOf(skew: number | undefined): number {
		const limit = new PassLimit();
		const selector = new TargetSelector({failureDomain: 'a', writersWithin: (_service, figures, nowMs) => limit.writers(engine, pauseObjectiveMs, figures, nowMs)});
		selector.setTargets(targets(24, slots), 0);
		selector.setLoads(Array.from({length: 24}, (_, index) => loadOf(index, index === 0 ? skew : undefined)), 0);
		let places = 0;
		for (let choice = selector.choose({service: 's', nowMs: 1, random: () => 0.5}); choice.kind === 'target'; choice = selector.choose({service: 's', nowMs: 1, random: () => 0.5})) {
			selector.sent(choice.view.report.targetId, 1);
			places++;
		}

		return places;
	}

	it('gives the ranks as many places as keep their pauses, on average, and all of them if the load is even or unknown', () => {
		expect(placesOf(undefined)).toEqual(24 * slots);
		expect(placesOf(1)).toEqual(24 * slots);
		const average = placesOf(3.2) / 24;
		expect(Math.abs(average - writersWithin(engine, pauseObjectiveMs, 3.2))).toBeLessThan(0.4);
	});
});
