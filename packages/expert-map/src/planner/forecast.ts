/** Forecasts of the next window's loads from the previous windows. */

import type {LayerLoads} from './count-history.js';

/** A forecasting method. */
export abstract class Forecast {
	/** Adds the loads of the newest window. */
	abstract observe(loads: LayerLoads): void;
	/** The loads expected in the next window. */
	abstract next(): LayerLoads;
}

/** Predicts the loads of the last window. */
export class LastWindowForecast extends Forecast {
	#last: LayerLoads = [];

	observe(loads: LayerLoads): void {
		this.#last = loads;
	}

	next(): LayerLoads {
		return this.#last;
	}
}

/** Options of an exponential average. */
export type ExponentialAverageOptions = {
	/** Weight of the newest window. */
	readonly newestWeight?: number;
	/** Share of a layer's tokens that may move to other experts before the average is reset to the newest window. */
	readonly changeLimit?: number;
};

/** Predicts an exponential moving average of the windows. A sudden change resets it. */
export class ExponentialAverageForecast extends Forecast {
	readonly #newestWeight: number;
	readonly #changeLimit: number;
	#average: LayerLoads = [];

	constructor({newestWeight = 0.5, changeLimit = 0.2}: ExponentialAverageOptions = {}) {
		super();
		this.#newestWeight = newestWeight;
		this.#changeLimit = changeLimit;
	}

	observe(loads: LayerLoads): void {
		const weight = this.#newestWeight;
		this.#average = loads.map((newest, layer) => {
			const average = this.#average[layer];
			if (!average || changedShare(average, newest) > this.#changeLimit) {
				return newest;
			}

			return newest.map((value, expert) => (weight * value) + ((1 - weight) * average[expert]));
		});
	}

	next(): LayerLoads {
		return this.#average;
	}
}

/** Predicts that the change between the last two windows continues, with no load below zero. */
export class LinearTrendForecast extends Forecast {
	#previous: LayerLoads = [];
	#last: LayerLoads = [];

	observe(loads: LayerLoads): void {
		this.#previous = this.#last.length === 0 ? loads : this.#last;
		this.#last = loads;
	}

	next(): LayerLoads {
		return this.#last.map((loads, layer) => loads.map((value, expert) => Math.max(0, (2 * value) - this.#previous[layer][expert])));
	}
}

/** Adds to the last window the change seen at the same time of the previous day. */
export class TimeOfDayForecast extends Forecast {
	readonly #windowsPerDay: number;
	#history: LayerLoads[] = [];

	constructor({windowsPerDay}: {readonly windowsPerDay: number}) {
		super();
		this.#windowsPerDay = windowsPerDay;
	}

	observe(loads: LayerLoads): void {
		this.#history = [...this.#history, loads].slice(-this.#windowsPerDay - 1);
	}

	next(): LayerLoads {
		const last = this.#history.at(-1)!;
		if (this.#history.length <= this.#windowsPerDay) {
			return last;
		}

		const [dayBefore, after] = this.#history;
		return last.map((loads, layer) => loads.map((value, expert) => Math.max(0, value + after[layer][expert] - dayBefore[layer][expert])));
	}
}

function changedShare(expected: Float64Array, seen: Float64Array): number {
	let difference = 0;
	let total = 0;
	for (const [expert, value] of seen.entries()) {
		difference += Math.abs(value - expected[expert]);
		total += value;
	}

	return total === 0 ? 0 : difference / (2 * total);
}
