/** Consensus core: leader election, log replication, snapshots and membership changes. */
export * from './entry-list.js';
export * from './events.js';
export type * from './log-entry.js';
export * from './membership.js';
export * from './messages.js';
export * from './options.js';
export * from './ports.js';
export * from './replica-state.js';
export * from './step.js';
