/** Limits for the requests of all entries together, which targets name or have while they are cold, and the permits that keep them. */
export * from './authority-rank.js';
export * from './cold-targets.js';
export * from './limit-table.js';
export * from './permit-authority.js';
export * from './permit-holder.js';
export * from './permit-messages.js';
