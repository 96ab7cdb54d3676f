/** The desired state, the operators' document of routes, services, limits and client accounts: its types, validation and look-ups. */
export * from './document-changes.js';
export * from './document-codec.js';
export type * from './desired-state.js';
export * from './document-register.js';
export * from './route-table.js';
export * from './validate-desired-state.js';
