/** The clock of the machine. */

import {performance} from 'node:perf_hooks';
import {Clock} from '@rattanspring/types';

/** Reads the machine's clocks. */
export class SystemClock extends Clock {
	monotonicMs(): number {
		return performance.now();
	}

	wallMs(): number {
		return Date.now();
	}
}
