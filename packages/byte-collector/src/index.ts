/** Collects bytes that arrive in pieces, at a known cost of memory however small the pieces are, and counts what JSON texts become. */
export * from './byte-budget.js';
export * from './byte-collector.js';
export {fragmentedReads} from './fragmented-reads.js';
export * from './garbage-watch.js';
export * from './json-values.js';
export * from './read-bounded.js';
export * from './request-memory.js';
