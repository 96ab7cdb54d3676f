/** Shares of client accounts in the work that a service does, over all entries. */
export * from './account-use.js';
export * from './fair-shares.js';
export * from './request-work.js';
export * from './share-order.js';
export * from './share-table.js';
export * from './use-record.js';
export * from './use-sums.js';
