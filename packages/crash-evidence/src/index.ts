/** Which components of requests crash targets: evidence for and against, shared by all entries. */
export * from './component-evidence.js';
export * from './crash-evidence.js';
export * from './crash-guard.js';
export * from './sound-components.js';
export * from './trial-grants.js';
