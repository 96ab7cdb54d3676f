/** Bounds the lines a process writes under load, and says how many were left out. */

import {
	type LogFields, Logger, type LogLevel,
} from './logger.js';

/** Options of the bound. */
export type BoundedLoggerOptions = {
	readonly inner: Logger;
	readonly nowMs: () => number;
	/** Lines in each second, besides warnings and errors. */
	readonly maxLinesPerSecond?: number;
	/** Warnings and errors in each second. */
	readonly maxWarningsPerSecond?: number;
};

const defaults = {maxLinesPerSecond: 60, maxWarningsPerSecond: 40};

const spanMs = 1000;

/** Passes on a bounded number of lines a second. */
export class BoundedLogger extends Logger {
	readonly #options: Required<BoundedLoggerOptions>;
	#spanStartMs = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#warnings = 0;
	#leftOut = 0;

	constructor(options: BoundedLoggerOptions) {
		super();
		this.#options = {...defaults, ...options};
	}

	log(level: LogLevel, event: string, fields?: LogFields): void {
		this.#startSpan();
		const {inner, maxLinesPerSecond, maxWarningsPerSecond} = this.#options;
		const isWarning = level === 'warn' || level === 'error';
		const isWithin = isWarning ? this.#warnings < maxWarningsPerSecond : this.#lines < maxLinesPerSecond;
		if (!isWithin) {
			this.#leftOut++;
			return;
		}

		if (isWarning) {
			this.#warnings++;
		} else {
			this.#lines++;
		}

		inner.log(level, event, fields);
	}

	#startSpan(): void {
		const nowMs = this.#options.nowMs();
		if (nowMs - this.#spanStartMs < spanMs) {
			return;
		}

		if (this.#leftOut > 0) {
			this.#options.inner.log('warn', 'linesLeftOut', {count: this.#leftOut, spanMs: Math.round(nowMs - this.#spanStartMs)});
		}

		this.#spanStartMs = nowMs;
		this.#lines = 0;
		this.#warnings = 0;
		this.#leftOut = 0;
	}
}
