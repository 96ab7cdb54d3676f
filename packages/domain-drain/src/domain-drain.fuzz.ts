/** Fuzz target for long runs: `npm run fuzz -- --seed N --runs M domain-drain`. */

import {runFuzz} from './simulation/run-fuzz.js';

/** Runs the fuzz target and returns its figures. */
export default function fuzz(options: {readonly seed: number; readonly runs: number}): Readonly<Record<string, number>> {
	return runFuzz(options);
}
