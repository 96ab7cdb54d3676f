/** Selects targets for requests, limits how long a request waits for one, and refuses it otherwise. */
export * from './admission.js';
export type * from './admission-request.js';
export * from './expected-room.js';
export * from './first-attempt-order.js';
export * from './queue-order.js';
export * from './retry-budget.js';
export * from './return-times.js';
export * from './room-return-times.js';
export * from './slot-shares.js';
export * from './stream-silence.js';
export * from './target-exclusion.js';
export * from './target-memory.js';
export * from './target-pause.js';
export {type ExchangeOutcome, isFailure} from './target-record.js';
export * from './writer-limit.js';
export * from './target-selector.js';
export * from './retry-policy.js';
