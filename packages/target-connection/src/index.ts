/** Direct HTTP/1.1 connections to targets, each carrying one request at a time. */
export * from './connection-pool.js';
export * from './event-splitter.js';
export * from './reachability.js';
export * from './stream-continuation.js';
export * from './target-transport.js';
