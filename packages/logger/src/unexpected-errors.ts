/**
Logs errors that nothing has caught, with their stacks. The process keeps running: such an error ends the message, call or timer in which it was
thrown, and the other requests of the process go on.
*/

import type {Logger} from './logger.js';

/** The part of the process that reports such errors. */
export type ErrorSource = {
	readonly on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown;
};

/** Longest stack in a log line. */
const maxStackLength = 1500;

/** Starts logging. */
export function logUnexpectedErrors(source: ErrorSource, logger: Pick<Logger, 'log'>): void {
	for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
		source.on(event, error => {
			logger.log('error', 'unexpectedError', {kind: event, ...describeError(error)});
		});
	}
}

/** Message and stack of anything that was thrown. */
export function describeError(error: unknown): {readonly message: string; readonly stack?: string} {
	return error instanceof Error ? {message: error.message, stack: error.stack?.slice(0, maxStackLength)} : {message: String(error)};
}
