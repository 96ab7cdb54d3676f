/** What targets say of themselves, ordered by start and sequence instead of arrival. */
export type * from './target-report.js';
export * from './target-table.js';
