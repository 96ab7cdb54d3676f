/** Ejects targets whose requests fail, hang or are late, from the outcomes at the entries. */
export * from './accusation.js';
export * from './accusation-book.js';
export type * from './ejection-event.js';
export * from './ejection-table.js';
export * from './outcome-record.js';
