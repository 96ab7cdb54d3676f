/**
Data types of the request ledger: keys, claims, outcomes, commands and answers.
*/

import type {
	ClientAccountId, Incarnation, RequestId, ServiceId, TargetId,
} from '@rattanspring/types';

/** Identifies one logical request of a client account. */
export type LedgerKey = {
	readonly clientAccount: ClientAccountId;
	readonly service: ServiceId;
	readonly idempotencyKey: string;
};

/** A target's response, recorded to be returned to resends. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Response body, base64-encoded. */
	readonly body: string;
};

/** The attempt that a claim authorises, and the target incarnation it is dispatched to. */
export type ClaimedAttempt = {
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly targetId: TargetId;
	readonly incarnation: Incarnation;
};

/** An operator's finding on whether a request with an unknown outcome ran. */
export type SettledExecution = 'ran' | 'didNotRun';

/** An operator's resolution of a request with an unknown outcome. */
export type Settlement = {
	readonly execution: SettledExecution;
	readonly operator: string;
	readonly reason: string;
};

/**
State of a key.
- `claimed`: one attempt may run.
- `released`: the attempt was sealed; the key can be claimed again.
- `recorded`: the outcome is known and returned to every resend.
- `unknown`: the attempt may have run; it is not retried.
- `settled`: an operator stated that the request ran; its response is not known.
- `expired`: the request ran and its response is not retained.
*/
export type LedgerEntryState = 'claimed' | 'released' | 'recorded' | 'unknown' | 'settled' | 'expired';

/** The stored state of one key. */
export type LedgerEntry = {
	readonly key: LedgerKey;
	readonly bodyDigest: string;
	readonly state: LedgerEntryState;
	readonly claim: ClaimedAttempt;
	readonly outcome?: RecordedOutcome;
	readonly settlement?: Settlement;
	/** Ledger time of the last update. */
	readonly updatedAtMs: number;
};

/**
A ledger command. Times are the proposer's wall clock and are only used for retention. A `record` without an outcome
stands for a response too large to retain. `look` returns what a claim would find, without claiming.
*/
export type LedgerCommand
	= | {readonly kind: 'claim'; readonly key: LedgerKey; readonly bodyDigest: string; readonly claim: ClaimedAttempt; readonly nowMs: number}
		| {readonly kind: 'look'; readonly key: LedgerKey; readonly bodyDigest: string; readonly nowMs: number}
		| {readonly kind: 'release'; readonly key: LedgerKey; readonly claim: ClaimedAttempt; readonly nowMs: number}
		| {readonly kind: 'record'; readonly key: LedgerKey; readonly claim: ClaimedAttempt; readonly outcome?: RecordedOutcome; readonly nowMs: number}
		| {readonly kind: 'markUnknown'; readonly key: LedgerKey; readonly claim: ClaimedAttempt; readonly nowMs: number}
		| {readonly kind: 'settle'; readonly key: LedgerKey; readonly settlement: Settlement; readonly nowMs: number};

/**
The answer to a ledger command.
- `granted`: only the attempt named in the claim may be dispatched.
- `free`: the key was never claimed, or its claim was released; the request has not run.
- `claimedElsewhere`: another attempt holds the claim; query the agent of its target.
- `full`: the limit on retained keys is reached; the request was not claimed.
- `stale`: the command refers to an attempt that does not hold the claim.
- `notSettleable`: only an unknown outcome can be settled, or a claimed request as having run.
*/
export type LedgerAnswer
	= | {readonly kind: 'granted'}
		| {readonly kind: 'free'}
		| {readonly kind: 'alreadyRecorded'; readonly outcome: RecordedOutcome}
		| {readonly kind: 'bodyMismatch'}
		| {readonly kind: 'claimedElsewhere'; readonly claim: ClaimedAttempt}
		| {readonly kind: 'unknown'; readonly claim: ClaimedAttempt}
		| {readonly kind: 'settledAsRan'; readonly reason: string}
		| {readonly kind: 'expired'}
		| {readonly kind: 'full'}
		| {readonly kind: 'reasonMissing'}
		| {readonly kind: 'notSettleable'; readonly state: LedgerEntryState | 'absent'}
		| {readonly kind: 'done'}
		| {readonly kind: 'stale'};

/** Limits of the ledger. They are part of its state, so that all replicas apply the same ones. */
export type LedgerLimits = {
	/** Maximum number of keys, over all client accounts. */
	readonly maxEntries: number;
	/** Maximum number of keys of one client account. */
	readonly maxEntriesPerAccount: number;
	/** Maximum total size of recorded outcomes; beyond it the oldest are dropped first and their keys become `expired`. */
	readonly maxOutcomeBytes: number;
	/** How long a recorded outcome is returned to resends. */
	readonly answerRetentionMs: number;
	/** Retention of the key of a request that ran; resends are refused once its outcome is dropped. */
	readonly keyRetentionMs: number;
	/** Retention of a released key. */
	readonly releasedRetentionMs: number;
	/** Maximum advance of ledger time by one command, so that one wrong clock cannot expire all entries. */
	readonly maxAdvanceMs: number;
};

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Default limits of a ledger. */
export const defaultLedgerLimits: LedgerLimits = {
	maxEntries: 200_000,
	maxEntriesPerAccount: 100_000,
	maxOutcomeBytes: 32 * 1024 * 1024,
	answerRetentionMs: dayMs,
	keyRetentionMs: 7 * dayMs,
	releasedRetentionMs: hourMs,
	maxAdvanceMs: minuteMs,
};
