/** Runs a long computation in short time slices, so that it does not block the event loop. */

import type {Clock} from '@rattanspring/types';

/** Duration of a slice, after which the computation yields to the event loop. */
const defaultSliceMs = 1;

/** Options of a sliced run. */
export type SliceOptions = {
	readonly clock: Clock;
	readonly sliceMs?: number;
	/** Called with the duration of each slice. */
	readonly onSlice?: (elapsedMs: number) => void;
};

/** Runs a generator to its end and returns its value. Yields to the event loop between slices. */
export async function runInSlices<Value>(steps: Generator<undefined, Value>, {clock, sliceMs = defaultSliceMs, onSlice}: SliceOptions): Promise<Value> {
	for (;;) {
		const startMs = clock.monotonicMs();
		const next = runSlice(steps, clock, startMs + sliceMs);
		onSlice?.(clock.monotonicMs() - startMs);
		if (next.done) {
			return next.value;
		}

		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

function runSlice<Value>(steps: Generator<undefined, Value>, clock: Clock, endMs: number): IteratorResult<undefined, Value> {
	let next = steps.next();
	while (!next.done && clock.monotonicMs() < endMs) {
		next = steps.next();
	}

	return next;
}
