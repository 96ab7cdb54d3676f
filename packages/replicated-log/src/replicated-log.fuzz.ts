/** Fuzz target for long runs of the stateful fuzzer: `npm run fuzz -- --seed N --runs M`. */

import {runFuzz} from './simulation/run-fuzz.js';

/** Runs the fuzz target and returns its statistics. */
export default function fuzz(options: {readonly seed: number; readonly runs: number}): Readonly<Record<string, number>> {
	return runFuzz(options);
}
