/** Runs the simulation of orders with random seeds. */

import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {orderOutcome} from '../domain-register.js';
import {OrderModel} from './order-model.js';

const stepsPerRun = 120;

/** The generator returns signed 32-bit integers. */
const minGeneratorValue = -(2 ** 31);
const generatorRange = 2 ** 32;

export type FuzzOptions = {
	readonly seed: number;
	readonly runs: number;
	/** The rule of the state machine; another one seeds a fault. */
	readonly rule?: typeof orderOutcome;
};

/** Throws if a run violates the oracle; otherwise returns figures. */
export function runFuzz({seed, runs, rule = orderOutcome}: FuzzOptions): Record<string, number> {
	const figures = {
		runs: 0, steps: 0, acknowledged: 0, overtaken: 0, delivered: 0,
	};
	fc.assert(fc.property(fc.integer(), modelSeed => {
		const generator = xoroshiro128plus(modelSeed);
		const model = new OrderModel({random: () => (generator.next() - minGeneratorValue) / generatorRange, rule});
		for (let step = 0; step < stepsPerRun; step++) {
			model.step();
		}

		model.finish();
		figures.runs++;
		figures.steps += stepsPerRun;
		figures.acknowledged += model.figures.acknowledged;
		figures.overtaken += model.figures.overtaken;
		figures.delivered += model.figures.delivered;
	}), {seed, numRuns: runs});
	return figures;
}
