/** Clock backed by the operating system. */

import {performance} from 'node:perf_hooks';
import {Clock} from '@rattanspring/types';

export class SystemClock extends Clock {
	monotonicMs(): number {
		return performance.now();
	}

	wallMs(): number {
		return Date.now();
	}
}
