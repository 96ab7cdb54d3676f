/** Structured logging: one line of key=value pairs per event. */
export * from './bounded-logger.js';
export * from './line-logger.js';
export * from './logger.js';
export * from './unexpected-errors.js';
export * from './winston-logger.js';
