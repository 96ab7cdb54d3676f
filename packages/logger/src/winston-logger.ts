/** Logs events through winston, by default to standard error. */

import process from 'node:process';
import winston from 'winston';
import {
	formatFields, type LogFields, Logger, type LogLevel,
} from './logger.js';

/** Options of `WinstonLogger`. */
export type WinstonLoggerOptions = {
	readonly level?: LogLevel;
	/** Fields added to every line, such as the daemon's name. */
	readonly fields?: LogFields;
	/** Output stream; standard error by default. */
	readonly stream?: NodeJS.WritableStream;
};

/** Logs events through winston. */
export class WinstonLogger extends Logger {
	readonly #logger: winston.Logger;
	readonly #fields: LogFields;

	constructor(options: WinstonLoggerOptions = {}) {
		super();
		this.#fields = options.fields ?? {};
		this.#logger = winston.createLogger({
			level: options.level ?? 'info',
			format: winston.format.printf(info => String(info.message)),
			transports: [new winston.transports.Stream({stream: options.stream ?? process.stderr})],
		});
	}

	log(level: LogLevel, event: string, fields: LogFields = {}): void {
		const all = {
			time: new Date().toISOString(), level, event, ...this.#fields, ...fields,
		};
		this.#logger.log(level, formatFields(all));
	}
}
