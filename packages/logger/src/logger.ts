/**
Structured logging: one line of key=value pairs per event.
*/

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
