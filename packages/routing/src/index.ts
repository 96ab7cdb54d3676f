/** Target choice, capacity sharing between client accounts, and retry limits. */
export * from './account-limits.js';
export * from './choose-target.js';
export * from './concurrency-limit.js';
export * from './fair-queue.js';
export * from './own-dispatches.js';
export * from './prefix-index.js';
export * from './retry-budget.js';
export * from './score.js';
export * from './fair-share-limiter.js';
export * from './suspect-list-cache.js';
