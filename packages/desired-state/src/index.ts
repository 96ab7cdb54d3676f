/** The operators' document of routes, services, limits and client accounts: its rules, and look-ups in it. */
export * from './check-desired-state.js';
export * from './document-codec.js';
export type * from './desired-state.js';
export * from './document-register.js';
export * from './route-table.js';
