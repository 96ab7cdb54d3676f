import {describe, it} from 'node:test';
import {expect} from 'earl';
import {planEvenShares, evenShareSkew} from './even-share.js';
import {runToEnd} from './planner.js';

const ranks = 8;
const experts = 64;

function roundRobinMap(): number[][] {
	return Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, place) => (place * ranks) + rank));
}

/** Loads in which a few experts receive most of the tokens, as popular topics cause. */
function skewedLoads(hot: readonly number[]): number[] {
	return Array.from({length: experts}, (_, expert) => hot.includes(expert) ? 1000 : 40);
}

const limits = {placesPerRank: 11, newPerRank: 4, minGainPerCopy: 0.01};

describe('planEvenShares', () => {
	describe('with hot experts on one rank', () => {
		const current = [roundRobinMap()];
		const loads = [skewedLoads([0, 8, 16, 24])];
		const plan = runToEnd(planEvenShares({current, loads, ...limits}));

		it('balances the ranks', () => {
			expect(plan.skewBefore > 3).toEqual(true);
			expect(plan.skewAfter < 1.3).toEqual(true);
			expect(Math.abs(evenShareSkew(plan.lists, loads) - plan.skewAfter) < 1e-6).toEqual(true);
		});

		it('keeps every expert on a rank and no rank beyond its places', () => {
			expect(new Set(plan.lists[0].flat()).size).toEqual(experts);
			expect(plan.lists[0].every(list => list.length <= limits.placesPerRank && new Set(list).size === list.length)).toEqual(true);
		});

		it('adds no more experts to a rank than one plan may', () => {
			const added = plan.lists[0].map((list, rank) => list.filter(expert => !current[0][rank].includes(expert)).length);
			expect(added.every(count => count <= limits.newPerRank)).toEqual(true);
			expect(added.reduce((sum, count) => sum + count, 0)).toEqual(plan.copies);
		});
	});

	describe('with a slow rank', () => {
		it('moves load away from it until its time is close to that of the others', () => {
			const rankPaces = [1, 1, 1, 4, 1, 1, 1, 1];
			const plan = runToEnd(planEvenShares({
				current: [roundRobinMap()], loads: [skewedLoads([])], ...limits, rankPaces,
			}));
			expect(plan.skewBefore).toEqual(4);
			expect(plan.skewAfter).toBeLessThan(2);
			expect(new Set(plan.lists[0].flat()).size).toEqual(experts);
		});
	});

	describe('with even loads', () => {
		it('changes nothing', () => {
			const current = [roundRobinMap()];
			const plan = runToEnd(planEvenShares({current, loads: [skewedLoads([])], ...limits}));
			expect(plan.copies).toEqual(0);
			expect(plan.lists).toEqual(current);
		});
	});

	describe('with two equally slow ranks', () => {
		// Relieving one of them gains nothing yet; the peak falls from 1.6 to 1.2 with two copies.
		const current = [[[0, 1], [2, 3], [4, 5], [6, 7]]];
		const loads = [[80, 80, 80, 80, 20, 20, 20, 20]];
		const gainPerCopy = (1.6 - 1.2) / 2 * current[0].length;

		it('relieves both if that justifies the copies of both', () => {
			const plan = runToEnd(planEvenShares({
				current, loads, placesPerRank: 3, newPerRank: 1, minGainPerCopy: 0.9 * gainPerCopy,
			}));
			expect(plan.copies).toEqual(2);
			expect(Math.abs(plan.skewAfter - 1.2)).toBeLessThan(1e-9);
		});

		it('changes nothing if the copies gain less than they have to', () => {
			const plan = runToEnd(planEvenShares({
				current, loads, placesPerRank: 3, newPerRank: 1, minGainPerCopy: 1.1 * gainPerCopy,
			}));
			expect(plan.copies).toEqual(0);
			expect(plan.lists).toEqual(current);
		});
	});
});
