/**
Writes each event as one line to a stream, without a logging library: where a process has a fraction of a core, loading one takes a good part of
its start. The lines are the same.
*/

import {
	formatFields, type LogFields, Logger, type LogLevel,
} from './logger.js';

const severities: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 2, debug: 3,
};

/** Options of `LineLogger`. */
export type LineLoggerOptions = {
	/** Events below this level are not written. */
	readonly level?: LogLevel;
	/** Fields added to every line, such as the daemon's name. */
	readonly fields?: LogFields;
	readonly stream: Pick<NodeJS.WritableStream, 'write'>;
};

export class LineLogger extends Logger {
	readonly #options: LineLoggerOptions;

	constructor(options: LineLoggerOptions) {
		super();
		this.#options = options;
	}

	log(level: LogLevel, event: string, fields: LogFields = {}): void {
		const {level: lowest = 'info', fields: common, stream} = this.#options;
		if (severities[level] <= severities[lowest]) {
			stream.write(`${formatFields({
				time: new Date().toISOString(), level, event, ...common, ...fields,
			})}\n`);
		}
	}
}
