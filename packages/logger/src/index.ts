/** Structured logs: one line of key=value pairs for each event. */
export * from './bounded-logger.js';
export * from './logger.js';
