/** Limits that targets name for the requests of all entries together, and the permits that keep them. */
export * from './limit-table.js';
export * from './permit-authority.js';
export * from './permit-holder.js';
