/** Client for the control voters: submits commands and reads state. */
export * from './control-access.js';
export * from './grpc-client-pool.js';
export * from './grpc-control-access.js';
export * from './json-bytes.js';
export * from './voter-access.js';
