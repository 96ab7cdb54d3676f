/** Bounds the connections of listeners, so that those who hold them without using them leave descriptors and memory to others. */
export * from './connection-limit.js';
export * from './connection-requests.js';
export * from './descriptor-plan.js';
export * from './http-connections.js';
export * from './sliced-reads.js';
