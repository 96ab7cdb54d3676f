/** Domain types, tagged failures and the result type shared by all packages. */
export type * from './announcement.js';
export * from './clock.js';
export type * from './configuration.js';
export * from './engine-figures.js';
export type * from './execution.js';
export * from './failures.js';
export * from './header-text.js';
export * from './http-status.js';
export type * from './identity.js';
export * from './result.js';
export * from './suspend-aware-clock.js';
export type * from './transition.js';
