/** Reads a stream of server-sent events and records their arrival times. */

import type {IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {Histogram} from 'hdr-histogram-js';

/** Histograms hold integers, so times are recorded in microseconds to keep three decimal places of a millisecond. */
export const microsecondsPerMs = 1000;

/** Histograms of the time to the first byte, the gaps between arrivals, and the time to the end of a whole stream. */
export type StreamHistograms = {readonly firstByte: Histogram; readonly gap: Histogram; readonly whole: Histogram};

/** Number of events read, and whether the stream was complete. */
export type StreamResult = {readonly events: number; readonly isWhole: boolean};

/** Reads a stream to its end; it is whole only if its last event is `[DONE]`. */
export async function readStream(answer: IncomingMessage, startedAtMs: number, times: StreamHistograms): Promise<StreamResult> {
	const reader = new StreamReader(startedAtMs, times);
	try {
		for await (const chunk of answer) {
			reader.push(String(chunk));
		}
	} catch {
		// The connection broke before the end of the stream.
		return {events: reader.events, isWhole: false};
	}

	return {events: reader.events, isWhole: reader.isWhole};
}

/** Splits a stream into events and records their arrival times. */
class StreamReader {
	events = 0;
	isWhole = false;
	readonly #startedAtMs: number;
	readonly #times: StreamHistograms;
	#lastAtMs: number | undefined;
	#partialEvent = '';

	constructor(startedAtMs: number, times: StreamHistograms) {
		this.#startedAtMs = startedAtMs;
		this.#times = times;
	}

	push(chunk: string): void {
		const parts = (this.#partialEvent + chunk).split('\n\n');
		this.#partialEvent = parts.pop() ?? '';
		if (parts.length === 0) {
			return;
		}

		const nowMs = performance.now();
		if (this.#lastAtMs === undefined) {
			record(this.#times.firstByte, nowMs - this.#startedAtMs);
		} else {
			record(this.#times.gap, nowMs - this.#lastAtMs);
		}

		this.#lastAtMs = nowMs;
		this.events += parts.length;
		if (parts.at(-1) === 'data: [DONE]') {
			this.isWhole = true;
			record(this.#times.whole, nowMs - this.#startedAtMs);
		}
	}
}

function record(histogram: Histogram, ms: number): void {
	histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs)));
}

/** A percentile in milliseconds. */
export function percentileMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}
