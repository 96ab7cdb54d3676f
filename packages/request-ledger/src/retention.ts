/**
Retention: expires the ledger's entries and evicts recorded outcomes that exceed the size limit.
*/

import {
	outcomeBytesOf, putEntry, removeEntry, type LedgerState,
} from './ledger-state.js';
import type {LedgerEntry, LedgerEntryState} from './ledger-types.js';

/** Entries checked for expiry per command. It is greater than 1, so that entries expire faster than commands add them. */
const sweepBatchSize = 4;

/** Share of the size limit that an eviction reduces the outcomes to, so that evictions are rare. */
const evictionTargetRatio = 0.9;

/** Advances ledger time by at most `maxAdvanceMs` (the first command sets it), then expires entries and evicts outcomes. */
export function advanceTime(state: LedgerState, nowMs: number): void {
	const latestMs = state.nowMs === 0 ? nowMs : state.nowMs + state.limits.maxAdvanceMs;
	state.nowMs = Math.max(state.nowMs, Math.min(nowMs, latestMs));
	sweep(state);
	evictOutcomes(state);
}

/** Whether another key of a client account can be stored. */
export function hasCapacity(state: LedgerState, clientAccount: string): boolean {
	const {maxEntries, maxEntriesPerAccount} = state.limits;
	return state.entries.size < maxEntries && (state.entriesByAccount.get(clientAccount) ?? 0) < maxEntriesPerAccount;
}

/** Checks the entries that were checked least recently; removes each if it has expired, or moves it to the end of the order. */
function sweep(state: LedgerState): void {
	let remaining = sweepBatchSize;
	for (const entry of state.entries.values()) {
		if (remaining === 0 || entry.updatedAtMs === state.nowMs) {
			return;
		}

		remaining--;
		expireEntry(state, entry);
	}
}

/**
Removes an entry after the retention time of its key, or drops its outcome after `answerRetentionMs`; the key of a dropped outcome
remains as `expired` and is refused until `keyRetentionMs` has passed.
*/
function expireEntry(state: LedgerState, entry: LedgerEntry): void {
	if (isPastRetention(state, entry)) {
		removeEntry(state, entry);
		return;
	}

	const ageMs = state.nowMs - entry.updatedAtMs;
	const isAnswerExpired = entry.state === 'recorded' && ageMs >= state.limits.answerRetentionMs;
	putEntry(state, isAnswerExpired ? markExpired(entry) : entry);
}

/** Drops recorded outcomes before `answerRetentionMs`, oldest first, if they exceed the size limit; their keys remain as `expired`. */
function evictOutcomes(state: LedgerState): void {
	if (state.outcomeBytes <= state.limits.maxOutcomeBytes) {
		return;
	}

	const targetBytes = Math.floor(state.limits.maxOutcomeBytes * evictionTargetRatio);
	const recorded = [...state.entries.values()].filter(entry => outcomeBytesOf(entry) > 0);
	for (const entry of recorded.toSorted((left, right) => left.updatedAtMs - right.updatedAtMs)) {
		if (state.outcomeBytes <= targetBytes) {
			return;
		}

		putEntry(state, markExpired(entry));
	}
}

function markExpired(entry: LedgerEntry): LedgerEntry {
	return {...entry, state: 'expired', outcome: undefined};
}

function isPastRetention(state: LedgerState, entry: LedgerEntry): boolean {
	const retentionMs = retentionOf(state, entry.state);
	return state.nowMs - entry.updatedAtMs >= retentionMs;
}

/** A claimed key or one with an unknown outcome never expires. */
function retentionOf(state: LedgerState, entryState: LedgerEntryState): number {
	switch (entryState) {
		case 'claimed':
		case 'unknown': {
			return Number.POSITIVE_INFINITY;
		}

		case 'released': {
			return state.limits.releasedRetentionMs;
		}

		case 'recorded':
		case 'settled':
		case 'expired': {
			return state.limits.keyRetentionMs;
		}
	}
}
