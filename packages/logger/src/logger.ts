/**
Structured logging: one line of key=value pairs per event, written to standard error by default.
*/

import process from 'node:process';
import winston from 'winston';

/** A value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event, by key. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Severity of an event. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes structured log events. */
export abstract class Logger {
	/** Logs one event with its fields. `event` is a camel-case name. */
	abstract log(level: LogLevel, event: string, fields?: LogFields): void;
}

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

/** Discards all events; for tests. */
export class SilentLogger extends Logger {
	log(): void {
		// Discards the event.
	}
}

/** Formats fields as `key=value` pairs. Values that are empty or contain whitespace, quotes, backslashes, equals signs or control characters are quoted as JSON strings. */
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
