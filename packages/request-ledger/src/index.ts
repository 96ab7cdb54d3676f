/** Replicated state machine that records the claims and outcomes of non-idempotent requests. */
export * from './ledger.js';
export {
	deserializeLedger, emptyLedger, queryLedger, serializeLedger, type LedgerQuery, type LedgerState, type SerializedLedger,
} from './ledger-state.js';
export * from './ledger-types.js';
