import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EngineState} from './engine-client.js';
import {PassTimer, reportsPasses} from './pass-timer.js';

const running: EngineState = {
	bornMs: 1, active: 3, queued: 0, memoryShare: 0, pace: 1, step: 0, mapVersion: 0,
	rankPlace: {
		group: 'g', epoch: 1, rank: 0, size: 63, isOpen: true,
	},
};

describe('PassTimer', () => {
	/** Reads at intervals of 100 ms a group whose passes last as given. */
	function read(timer: PassTimer, fromMs: number, toMs: number, passMs: number): void {
		for (let nowMs = fromMs; nowMs <= toMs; nowMs += 100) {
			timer.observe({...running, step: Math.floor(nowMs / passMs)}, nowMs);
		}
	}

	it('measures passes that are shorter and longer than the interval of the reads', () => {
		for (const passMs of [37, 83, 120, 260, 610]) {
			const timer = new PassTimer();
			read(timer, 0, 4000, passMs);
			const measured = timer.passMs(4000)!;
			expect(Math.abs(measured - passMs) / passMs).toBeLessThan(0.16);
		}
	});

	it('follows longer passes within a second, and a pass that does not end at once', () => {
		const timer = new PassTimer();
		read(timer, 0, 2000, 80);
		for (let nowMs = 2100; nowMs <= 3000; nowMs += 100) {
			timer.observe({...running, step: 25 + Math.floor((nowMs - 2000) / 160)}, nowMs);
		}

		expect(timer.passMs(3000)! > 130).toEqual(true);
		expect(timer.passMs(3600)! >= 600).toEqual(true);
	});

	it('says nothing of an idle, held or switching group, and starts anew with a new epoch or map', () => {
		const changes: Array<Partial<EngineState>> = [
			{active: 0},
			{heldStep: 30},
			{armed: {version: 1, step: 30}},
			{mapVersion: 1},
			{rankPlace: {...running.rankPlace!, epoch: 2}},
			{rankPlace: {...running.rankPlace!, isOpen: false}},
			{step: 1},
		];
		for (const change of changes) {
			const timer = new PassTimer();
			read(timer, 0, 2000, 80);
			timer.observe({...running, step: 26, ...change}, 2100);
			expect(timer.passMs(2100)).toEqual(undefined);
		}
	});

	it('is reported by a few ranks of a group, whatever its size', () => {
		for (const size of [1, 5, 12, 63, 96, 400]) {
			const count = Array.from({length: size}, (_, rank) => rank).filter(rank => reportsPasses({rank, size})).length;
			expect(count >= Math.min(size, 3) && count <= 6).toEqual(true);
		}
	});
});
