/** Where a request goes, how long it may wait and when it is refused. */
export * from './admission.js';
export * from './crash-guard.js';
export * from './retry-budget.js';
export * from './place-shares.js';
export * from './target-board.js';
export * from './retry-policy.js';
