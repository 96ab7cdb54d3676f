/**
The state of the ledger with its counters, and its serialized form for snapshots.
*/

import {
	defaultLedgerLimits, type LedgerEntry, type LedgerEntryState, type LedgerKey, type LedgerLimits,
} from './ledger-types.js';

/** The state of the ledger; `applyLedgerCommand` mutates it in place. */
export type LedgerState = {
	readonly limits: LedgerLimits;
	/** One entry per key, in the order in which the retention sweep visits them. */
	readonly entries: Map<string, LedgerEntry>;
	/** Number of entries by client account. */
	readonly entriesByAccount: Map<string, number>;
	/** Total size of the recorded outcomes. */
	outcomeBytes: number;
	/** Ledger time; never decreases. */
	nowMs: number;
};

/** The ledger as JSON-compatible data, for snapshots. */
export type SerializedLedger = {
	readonly limits: LedgerLimits;
	readonly nowMs: number;
	readonly entries: readonly LedgerEntry[];
};

/** Filter and limit of a query for entries. */
export type LedgerQuery = {
	readonly clientAccount?: string;
	readonly states?: readonly LedgerEntryState[];
	readonly limit?: number;
};

/** Maximum number of entries returned by a query without a limit. */
const defaultQueryLimit = 100;

/** Creates an empty ledger. */
export function emptyLedger(limits: Partial<LedgerLimits> = {}): LedgerState {
	return {
		limits: {...defaultLedgerLimits, ...limits}, entries: new Map(), entriesByAccount: new Map(), outcomeBytes: 0, nowMs: 0,
	};
}

/** Converts a ledger to JSON-compatible data. */
export function serializeLedger(state: LedgerState): SerializedLedger {
	return {limits: state.limits, nowMs: state.nowMs, entries: [...state.entries.values()]};
}

/** Restores a ledger from the result of `serializeLedger`. */
export function deserializeLedger(serialized: SerializedLedger): LedgerState {
	const state = emptyLedger(serialized.limits);
	state.nowMs = serialized.nowMs;
	for (const entry of serialized.entries) {
		putEntry(state, entry);
	}

	return state;
}

/** Returns the matching entries, most recently updated first. */
export function queryLedger(state: LedgerState, query: LedgerQuery): LedgerEntry[] {
	const {clientAccount, states, limit = defaultQueryLimit} = query;
	const found = [...state.entries.values()].filter(entry => (clientAccount === undefined || entry.key.clientAccount === clientAccount) && (states === undefined || states.includes(entry.state)));
	return found.toSorted((left, right) => right.updatedAtMs - left.updatedAtMs).slice(0, limit);
}

/** Map key under which the entry of a ledger key is stored. */
export function storageKey(key: LedgerKey): string {
	return JSON.stringify([key.clientAccount, key.service, key.idempotencyKey]);
}

/** Stores an entry, replacing an earlier one of its key, and moves it to the end of the sweep order. */
export function putEntry(state: LedgerState, entry: LedgerEntry): void {
	const id = storageKey(entry.key);
	const previous = state.entries.get(id);
	if (previous) {
		removeEntry(state, previous);
	}

	const {clientAccount} = entry.key;
	state.entries.set(id, entry);
	state.entriesByAccount.set(clientAccount, (state.entriesByAccount.get(clientAccount) ?? 0) + 1);
	state.outcomeBytes += outcomeBytesOf(entry);
}

export function removeEntry(state: LedgerState, entry: LedgerEntry): void {
	if (!state.entries.delete(storageKey(entry.key))) {
		return;
	}

	const {clientAccount} = entry.key;
	const remaining = (state.entriesByAccount.get(clientAccount) ?? 1) - 1;
	if (remaining > 0) {
		state.entriesByAccount.set(clientAccount, remaining);
	} else {
		state.entriesByAccount.delete(clientAccount);
	}

	state.outcomeBytes -= outcomeBytesOf(entry);
}

/** Size of an entry's recorded outcome: the length of its base64 body. */
export function outcomeBytesOf(entry: LedgerEntry): number {
	return entry.outcome ? entry.outcome.body.length : 0;
}
