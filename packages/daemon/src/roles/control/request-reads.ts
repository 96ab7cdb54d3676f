/** Answers reads of `requests`: the keys in the request ledger, without recorded bodies. */

import {queryLedger, type LedgerEntry, type LedgerState} from '@rattanspring/request-ledger';
import type {ReadParameters} from './command-schema.js';

/** One key of the ledger, with the status of its recorded outcome in place of the outcome. */
export type LedgerEntrySummary = Omit<LedgerEntry, 'outcome'> & {readonly status?: number};

/** Returns the most recently changed keys that match the parameters. */
export function readRequests(ledger: LedgerState, parameters: ReadParameters): LedgerEntrySummary[] {
	const {clientAccount, requestStates: states, limit} = parameters;
	return queryLedger(ledger, {clientAccount, states, limit}).map(({outcome, ...entry}) => ({...entry, ...(outcome && {status: outcome.status})}));
}
