/** Limits the rate of log lines under load, and logs how many were suppressed. */

import {
	type LogFields, Logger, type LogLevel,
} from './logger.js';

/** Options of `BoundedLogger`. */
export type BoundedLoggerOptions = {
	readonly inner: Logger;
	readonly nowMs: () => number;
	/** Limit of lines per second, not counting warnings and errors. */
	readonly maxLinesPerSecond?: number;
	/** Limit of warnings and errors per second. They have a limit of their own, so that other lines cannot crowd them out. */
	readonly maxWarningsPerSecond?: number;
	/** Events that are never left out: the few lines of a process's start, reload and stop. */
	readonly unlimitedEvents?: readonly string[];
};

const defaults = {maxLinesPerSecond: 60, maxWarningsPerSecond: 40, unlimitedEvents: [] as readonly string[]};

const spanMs = 1000;

/** Forwards a limited number of lines per second to another logger and drops the rest. */
export class BoundedLogger extends Logger {
	readonly #options: Required<BoundedLoggerOptions>;
	#windowStartMs = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#warnings = 0;
	#suppressedCount = 0;

	constructor(options: BoundedLoggerOptions) {
		super();
		this.#options = {...defaults, ...options};
	}

	log(level: LogLevel, event: string, fields?: LogFields): void {
		this.#startWindowIfElapsed();
		const {inner, maxLinesPerSecond, maxWarningsPerSecond, unlimitedEvents} = this.#options;
		if (unlimitedEvents.includes(event)) {
			inner.log(level, event, fields);
			return;
		}

		const isWarning = level === 'warn' || level === 'error';
		const isWithinLimit = isWarning ? this.#warnings < maxWarningsPerSecond : this.#lines < maxLinesPerSecond;
		if (!isWithinLimit) {
			this.#suppressedCount++;
			return;
		}

		if (isWarning) {
			this.#warnings++;
		} else {
			this.#lines++;
		}

		inner.log(level, event, fields);
	}

	#startWindowIfElapsed(): void {
		const nowMs = this.#options.nowMs();
		if (nowMs - this.#windowStartMs < spanMs) {
			return;
		}

		if (this.#suppressedCount > 0) {
			this.#options.inner.log('warn', 'linesLeftOut', {count: this.#suppressedCount, spanMs: Math.round(nowMs - this.#windowStartMs)});
		}

		this.#windowStartMs = nowMs;
		this.#lines = 0;
		this.#warnings = 0;
		this.#suppressedCount = 0;
	}
}
