/**
Structured logs: one line of key=value pairs for each event, on standard error.
*/

import process from 'node:process';
import winston from 'winston';

/** Values a log field may hold. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of an event. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes events. */
export abstract class Logger {
	/** Writes one event, named in camel case, with its fields. */
	abstract log(level: LogLevel, event: string, fields?: LogFields): void;
}

/** Options of the winston logger. */
export type WinstonLoggerOptions = {
	readonly level?: LogLevel;
	/** Fields on every line, such as the daemon's name. */
	readonly fields?: LogFields;
	/** Where lines go; standard error by default. */
	readonly stream?: NodeJS.WritableStream;
};

/** Writes events through winston. */
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

/** Writes nothing; for tests. */
export class SilentLogger extends Logger {
	log(): void {
		// Nothing to do.
	}
}

/** Formats fields as `key=value` pairs; values with spaces, quotes, equals signs or control characters are quoted. */
export function formatFields(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatValue(value)}`);
		}
	}

	return pairs.join(' ');
}

function formatValue(value: string | number | boolean): string {
	const text = String(value);
	return /^[^\s"=\\\p{C}]+$/u.test(text) ? text : JSON.stringify(text);
}
