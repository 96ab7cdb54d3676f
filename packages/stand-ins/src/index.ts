/** Lightweight stand-ins for external systems, each implementing the published interface of the real one. */
export * from './engine-core.js';
export * from './engine-server.js';
export * from './plain-service.js';
export * from './caller.js';
export * from './rank-group.js';
export * from './rank-group-server.js';
export * from './weight-store.js';
