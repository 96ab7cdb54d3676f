/** Runs replicas of the log: replica driver, peer transport and group formation. */
export * from './exit-on-fatal-error.js';
export * from './group-formation.js';
export * from './grpc-peer-transport.js';
export type * from './grpc-service.js';
export * from './peer-calls.js';
export * from './peer-service.js';
export * from './replica-driver.js';
export * from './system-clock.js';
export * from './write-queue.js';
