import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EvenSharePlacement} from './even-share-placement.js';
import {EvenShareSearch} from './even-share-search.js';

const ranks = 6;
const experts = 24;
const limits = {placesPerRank: 7, newPerRank: 3};
const paces = [1, 1, 1.5, 1, 1, 1];

/** Deterministic tokens: a few hot experts among many others that all differ. */
function tokensOf(seed: number): number[] {
	return Array.from({length: experts}, (_, expert) => 10_000 / (1 + (((expert * 7) + seed) % experts)));
}

function roundRobin(): number[][] {
	return Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, place) => (place * ranks) + rank));
}

/** Times of the ranks from the lists alone. */
function timesOf(lists: ReadonlyArray<readonly number[]>, tokens: readonly number[]): number[] {
	const mean = tokens.reduce((sum, count) => sum + count, 0) / ranks;
	const replicas = tokens.map((_, expert) => lists.filter(list => list.includes(expert)).length);
	return lists.map((list, rank) => list.reduce((sum, expert) => sum + (tokens[expert] / replicas[expert] / mean * paces[rank]), 0));
}

function scoreOf(lists: ReadonlyArray<readonly number[]>, tokens: readonly number[]): number {
	return (timesOf(lists, tokens).reduce((sum, time) => sum + (time ** 8), 0) / ranks) ** (1 / 8);
}

describe('EvenShareSearch', () => {
	for (let seed = 0; seed < 8; seed++) {
		it(`rates each change by what it does to the score of the whole placement (seed ${seed})`, () => {
			const tokens = tokensOf(seed);
			const placement = new EvenSharePlacement({current: roundRobin(), tokens, paces});
			const search = new EvenShareSearch(placement, limits);
			let changes = 0;
			for (let best = search.bestChange(); best && best.gainPerCopy > 1e-6; best = search.bestChange()) {
				const before = {score: scoreOf(placement.lists, tokens), copies: placement.copies};
				placement.apply(best.change);
				const copies = Math.max(1, placement.copies - before.copies);
				expect(Math.abs(before.score - scoreOf(placement.lists, tokens) - (best.gainPerCopy * copies))).toBeLessThan(1e-9);
				changes++;
			}

			expect(changes).toBeGreaterThan(5);
		});

		it(`keeps times, copies and limits of the placement (seed ${seed})`, () => {
			const tokens = tokensOf(seed);
			const placement = new EvenSharePlacement({current: roundRobin(), tokens, paces});
			const search = new EvenShareSearch(placement, limits);
			for (let best = search.bestChange(); best && best.gainPerCopy > 1e-6; best = search.bestChange()) {
				placement.apply(best.change);
			}

			const added = placement.lists.map((list, rank) => list.filter(expert => !roundRobin()[rank].includes(expert)).length);
			expect(placement.copies).toEqual(added.reduce((sum, count) => sum + count, 0));
			expect(added.every(count => count <= limits.newPerRank)).toEqual(true);
			expect(placement.lists.every(list => list.length <= limits.placesPerRank && new Set(list).size === list.length)).toEqual(true);
			expect(new Set(placement.lists.flat()).size).toEqual(experts);
			expect(Math.abs(placement.skew - Math.max(...timesOf(placement.lists, tokens)))).toBeLessThan(1e-9);
		});
	}

	it('lets the slowest rank give up a replica, which needs no copy', () => {
		const current = [[0, 1, 2], [0, 3], [0, 4]];
		const placement = new EvenSharePlacement({current, tokens: [30, 40, 40, 35, 35], paces: [1, 1, 1]});
		const best = new EvenShareSearch(placement, {placesPerRank: 3, newPerRank: 0}).bestChange();
		expect(best?.change).toEqual({to: 0, drop: 0});
	});

	it('replaces a copy that is not yet made by another one when a rank may receive no more', () => {
		const placement = new EvenSharePlacement({current: [[0, 1], [2, 3], [4, 5]], tokens: [60, 60, 10, 20, 10, 20], paces: [1, 1, 1]});
		placement.apply({
			to: 1, add: 4, drop: 2, from: 2,
		});
		const best = new EvenShareSearch(placement, {placesPerRank: 2, newPerRank: 1}).bestChange();
		expect(best !== undefined && best.gainPerCopy > 0).toEqual(true);
		placement.apply(best!.change);
		expect(placement.lists.every((_, rank) => placement.newCount(rank) <= 1)).toEqual(true);
	});
});
