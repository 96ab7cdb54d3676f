import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {evenShareSkew} from '@rattanspring/expert-map';
import {expect} from 'earl';
import {LockstepGroup, type OrderFate} from './lockstep-group.js';
import {MapKeeper} from './map-keeper.js';
import {MapVersions} from './map-versions.js';

const rankCount = 4;
const expertCount = 16;
const lists = [Array.from({length: rankCount}, (_, rank) => [rank, rank + 4, rank + 8, rank + 12])];

/** Choices of one moment in which some experts are in demand. */
function demandOf(hot: readonly number[]): number[] {
	return Array.from({length: expertCount}, (_, expert) => hot.includes(expert) ? 4000 : 300);
}

const silent = {
	log() {
		// Nothing is looked at.
	},
};

describe('MapKeeper', () => {
	const timers: NodeJS.Timeout[] = [];
	after(() => {
		for (const timer of timers) {
			clearInterval(timer);
		}
	});

	function bed(active: number, fateOf: () => OrderFate = () => 'prompt'): {readonly group: LockstepGroup; readonly keeper: MapKeeper; readonly round: () => Promise<void>} {
		const group = new LockstepGroup({
			ranks: rankCount, lists, copyMs: 5, passMs: 5, fateOf, lateMs: () => 0, nowMs: () => performance.now(), active,
		});
		timers.push(setInterval(() => {
			group.advance();
		}, 1));
		const keeper = new MapKeeper({
			nowMs: () => performance.now(),
			versions: new MapVersions(() => Date.now()),
			logger: silent,
			engine: {
				placesPerRank: 6, newPlacesPerRank: 2, stepMs: 5.85, perSequenceMs: 0.5, expertShare: 0.85,
			},
		});
		return {group, keeper, round: async () => keeper.round({group: 'g', epoch: group.epoch, engines: group.engines}, 1)};
	}

	/** Choices of one moment: experts 0 and 4, both on the first rank, are in demand. */
	function choose(group: LockstepGroup, moment: number): void {
		const counts = Array.from({length: expertCount}, (_, expert) => moment * (expert === 0 || expert === 4 ? 4000 : 300));
		for (let rank = 0; rank < rankCount; rank++) {
			group.setCounts(rank, counts);
		}
	}

	async function play(active: number): Promise<LockstepGroup> {
		const {group, round} = bed(active);
		for (let moment = 1; moment <= 6; moment++) {
			choose(group, moment);
			await round();
			await sleep(60);
		}

		return group;
	}

	it('switches to a map that evens out what is chosen, on all ranks with the same pass', async () => {
		const group = await play(8);
		expect(group.versions[0] > 0).toEqual(true);
		expect(new Set(group.versions).size).toEqual(1);
		expect(group.mixedPasses).toEqual(0);
	});

	it('meets the demand of a new formation with its first look', async () => {
		const {group, round} = bed(8);
		choose(group, 1);
		await round();
		await sleep(80);
		expect(group.versions[0] > 0).toEqual(true);
	});

	it('meets a sudden change of demand with its next switch', async () => {
		const {group, round} = bed(8);
		const turn = async (counts: readonly number[]): Promise<void> => {
			for (let rank = 0; rank < rankCount; rank++) {
				group.setCounts(rank, [...counts]);
			}

			await round();
			await sleep(60);
		};

		const demand = Array.from({length: expertCount}, () => 0);
		const add = (hot: readonly number[]): number[] => {
			for (let expert = 0; expert < expertCount; expert++) {
				demand[expert] += demandOf(hot)[expert];
			}

			return demand;
		};

		for (let moment = 0; moment < 5; moment++) {
			await turn(add([0, 4]));
		}

		const before = group.versions[0];
		await turn(add([3, 7]));
		expect(group.versions[0] > before).toEqual(true);
		expect(evenShareSkew([Array.from({length: rankCount}, (_, rank) => group.experts(rank).experts[0])], [demandOf([3, 7])])).toBeLessThan(1.3);
	});

	it('rests after a switch that left the group held, as the next one would end alike', async () => {
		let orders = 0;
		// Four prepares and the hold are taken; arms get no answer.
		const {group, round} = bed(8, () => ++orders <= 5 ? 'prompt' : 'lost');
		choose(group, 1);
		await round();
		const ordersOfFirst = orders;
		expect(group.state(1).heldStep !== undefined).toEqual(true);
		group.restart();
		choose(group, 2);
		await round();
		choose(group, 3);
		await round();
		expect(orders).toEqual(ordersOfFirst);
	});

	it('leaves the map alone while too little is written for a switch to pay', async () => {
		const group = await play(0);
		expect(group.versions).toEqual([0, 0, 0, 0]);
	});
});
