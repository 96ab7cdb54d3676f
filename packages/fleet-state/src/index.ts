/** State machine over the replicated log: fleet configuration, change ids, leases, suspects and the request ledger. */
export * from './apply-change.js';
export * from './catalogue.js';
export * from './change-log.js';
export * from './effective.js';
export * from './fencing-gate.js';
export * from './fleet-state.js';
export {
	findActiveLease, smallestFencingNumber, type LeaderTime, type Lease, type LeaseAnswer, type LeaseCommand, type LeaseKind, type LeaseState, type LeaseSubject,
} from './leases.js';
export * from './serialize-fleet-state.js';
export * from './suspects.js';
export * from './configuration-replica.js';
export * from './freshness.js';
