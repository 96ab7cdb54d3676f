/**
The request ledger records which attempt has claimed each non-idempotent request, and the request's outcome, so that the request runs at
most once. It is a deterministic state machine over the replicated log.
*/

import {advanceTime, hasCapacity} from './retention.js';
import {
	storageKey, putEntry, type LedgerState,
} from './ledger-state.js';
import type {
	ClaimedAttempt, LedgerAnswer, LedgerCommand, LedgerEntry, LedgerEntryState,
} from './ledger-types.js';

type ClaimCommand = Extract<LedgerCommand, {kind: 'claim'}>;
type SettleCommand = Extract<LedgerCommand, {kind: 'settle'}>;
type ClaimEndCommand = Extract<LedgerCommand, {kind: 'release'} | {kind: 'record'} | {kind: 'markUnknown'}>;

/** Applies one command and returns its answer. Equal states and commands give equal answers on every replica. */
export function applyLedgerCommand(state: LedgerState, command: LedgerCommand): LedgerAnswer {
	advanceTime(state, command.nowMs);
	const entry = state.entries.get(storageKey(command.key));
	switch (command.kind) {
		case 'claim': {
			return applyClaim(state, entry, command);
		}

		case 'look': {
			return (entry && answerExistingKey(entry, command)) ?? {kind: 'free'};
		}

		case 'settle': {
			return applySettle(state, entry, command);
		}

		case 'release':
		case 'record':
		case 'markUnknown': {
			return applyClaimEnd(state, entry, command);
		}
	}
}

/** Whether two claims identify the same attempt at the same target incarnation. */
export function isSameAttempt(left: ClaimedAttempt, right: ClaimedAttempt): boolean {
	return left.requestId === right.requestId
		&& left.attempt === right.attempt
		&& left.targetId === right.targetId
		&& left.incarnation === right.incarnation;
}

/** A claim is committed before the request is dispatched, so that no other attempt is dispatched meanwhile. */
function applyClaim(state: LedgerState, entry: LedgerEntry | undefined, command: ClaimCommand): LedgerAnswer {
	if (entry) {
		const answer = answerExistingKey(entry, command);
		if (answer) {
			return answer;
		}
	}

	if (!entry && !hasCapacity(state, command.key.clientAccount)) {
		return {kind: 'full'};
	}

	const {key, bodyDigest, claim} = command;
	putEntry(state, {
		key, bodyDigest, state: 'claimed', claim, updatedAtMs: state.nowMs,
	});
	return {kind: 'granted'};
}

/** Returns the answer to a claim or look-up of an existing key, with the recorded outcome for a resend; undefined if the key can be claimed. */
function answerExistingKey(entry: LedgerEntry, command: {readonly bodyDigest: string; readonly claim?: ClaimedAttempt}): LedgerAnswer | undefined {
	if (entry.bodyDigest !== command.bodyDigest) {
		return {kind: 'bodyMismatch'};
	}

	const isSame = command.claim !== undefined && isSameAttempt(entry.claim, command.claim);
	switch (entry.state) {
		case 'claimed': {
			return isSame ? {kind: 'granted'} : {kind: 'claimedElsewhere', claim: entry.claim};
		}

		case 'released': {
			// A delayed duplicate of the sealed claim must not claim the key again.
			return isSame ? {kind: 'stale'} : undefined;
		}

		case 'recorded': {
			return entry.outcome ? {kind: 'alreadyRecorded', outcome: entry.outcome} : {kind: 'expired'};
		}

		case 'unknown': {
			return {kind: 'unknown', claim: entry.claim};
		}

		case 'settled': {
			return {kind: 'settledAsRan', reason: entry.settlement?.reason ?? ''};
		}

		case 'expired': {
			return {kind: 'expired'};
		}
	}
}

/** Ends a claim. A claim is released only by a seal from the agent incarnation that it names. */
function applyClaimEnd(state: LedgerState, entry: LedgerEntry | undefined, command: ClaimEndCommand): LedgerAnswer {
	if (!entry || !isSameAttempt(entry.claim, command.claim)) {
		return {kind: 'stale'};
	}

	const ended = stateAfterEnd(command);
	if (entry.state === ended) {
		return {kind: 'done'};
	}

	// An outcome that arrives after it was marked unknown is still valid: the request ran at most once.
	const isOpen = entry.state === 'claimed' || (entry.state === 'unknown' && command.kind === 'record');
	if (!isOpen) {
		return {kind: 'stale'};
	}

	const outcome = command.kind === 'record' ? command.outcome : undefined;
	putEntry(state, {
		...entry, state: ended, outcome, updatedAtMs: state.nowMs,
	});
	return {kind: 'done'};
}

function stateAfterEnd(command: ClaimEndCommand): LedgerEntryState {
	switch (command.kind) {
		case 'release': {
			return 'released';
		}

		case 'record': {
			return command.outcome ? 'recorded' : 'expired';
		}

		case 'markUnknown': {
			return 'unknown';
		}
	}
}

/** Settles the outcome of a request for an operator, with a reason. An unknown outcome that does not arrive later stays unknown until then. */
function applySettle(state: LedgerState, entry: LedgerEntry | undefined, command: SettleCommand): LedgerAnswer {
	const {settlement} = command;
	if (settlement.reason.trim() === '') {
		return {kind: 'reasonMissing'};
	}

	if (!entry) {
		return {kind: 'notSettleable', state: 'absent'};
	}

	if (isSameSettlement(entry, command)) {
		return {kind: 'done'};
	}

	// A claimed attempt may still be dispatched, so it cannot be settled as not run.
	const isAllowed = entry.state === 'unknown' || (entry.state === 'claimed' && settlement.execution === 'ran');
	if (!isAllowed) {
		return {kind: 'notSettleable', state: entry.state};
	}

	const settled = settlement.execution === 'ran' ? 'settled' : 'released';
	putEntry(state, {
		...entry, state: settled, settlement, updatedAtMs: state.nowMs,
	});
	return {kind: 'done'};
}

function isSameSettlement(entry: LedgerEntry, command: SettleCommand): boolean {
	const {execution, operator, reason} = command.settlement;
	const previous = entry.settlement;
	return previous?.execution === execution && previous.operator === operator && previous.reason === reason;
}
