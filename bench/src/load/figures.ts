/** Statistics over request outcomes. */

import {build} from 'hdr-histogram-js';
import type {LoadOutcome} from './caller.js';

/** Highest latency that a histogram holds: 10 minutes in microseconds. */
const maxLatencyMicroseconds = 600_000_000;

/** A percentile of the time to the first token, over whole and late answers. */
export function firstTokenPercentileMs(outcomes: readonly LoadOutcome[], percentile: number): number {
	const histogram = build({highestTrackableValue: maxLatencyMicroseconds, numberOfSignificantValueDigits: 3});
	for (const {firstTokenMs} of outcomes) {
		if (!Number.isNaN(firstTokenMs)) {
			histogram.recordValue(Math.round(firstTokenMs * 1000));
		}
	}

	return Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
}

/** Number of outcomes of a kind. */
export function countOf(outcomes: readonly LoadOutcome[], kind: LoadOutcome['kind']): number {
	return outcomes.filter(outcome => outcome.kind === kind).length;
}

/** A ratio rounded to three decimal places. */
export function ratio(numerator: number, denominator: number): number {
	return Math.round(numerator / denominator * 1000) / 1000;
}
