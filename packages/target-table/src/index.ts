/** Reports of targets, ordered by start time and sequence instead of arrival. */
export * from './readable-report.js';
export type * from './target-report.js';
export * from './target-table.js';
