import {describe, it} from 'node:test';
import type {TargetLoad} from '@rattanspring/target-table';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {linkService, serializeShared} from './link-service.js';
import {fromLoadRow, toLoadRow} from './load-rows.js';
import type {DownMessage, UpMessage} from './messages.js';

const load: TargetLoad = {
	address: '10.3.0.79:8527', bornMs: 1_780_604_412_000, sequence: 41, active: 3, queued: 0, memoryShare: 0.25, pace: 1.5,
	rankPlace: {
		group: 'g0-1', epoch: 2, rank: 17, size: 96, isOpen: true,
	},
	skew: 1.4,
	passMs: 104,
};
const {passMs: _passMs, ...withoutPass} = load;
const {rankPlace: _rankPlace, sequence: _sequence, skew: _skew, ...plain} = withoutPass;

/** Lengths of shorter rows that are complete: a target without a rank, and a rank that reports no passes. */
const completeLengths = new Set([7, 13]);

describe('load figures on the wire', () => {
	it('come back as they were, with or without a rank, a sequence and passes', () => {
		for (const figures of [load, withoutPass, plain]) {
			const down: DownMessage = {type: 'loads', loads: [figures, figures]};
			expect(linkService.follow.responseDeserialize(serializeShared(down))).toEqual(down);
			const up: UpMessage = {type: 'load', load: figures};
			expect(linkService.follow.requestDeserialize(linkService.follow.requestSerialize(up))).toEqual(up);
		}
	});

	it('take less than half of the bytes of objects', () => {
		const down: DownMessage = {type: 'loads', loads: Array.from({length: 20}, () => load)};
		expect(serializeShared(down).length).toBeLessThan(JSON.stringify(down).length / 2);
	});

	it('are refused if a value is missing, added or of another type', () => {
		const row = toLoadRow(load);
		for (let index = 0; index < row.length; index++) {
			expect(() => fromLoadRow(row.with(index, {}))).toThrow(TypeError);
			expect(() => fromLoadRow(row.slice(0, completeLengths.has(index) ? index - 1 : index))).toThrow(TypeError);
		}

		expect(() => fromLoadRow([...row, 1])).toThrow(TypeError);
		fc.assert(fc.property(fc.anything(), value => {
			try {
				fromLoadRow(value);
			} catch (error) {
				expect(error instanceof TypeError).toEqual(true);
			}
		}));
	});
});
