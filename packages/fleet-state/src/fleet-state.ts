/**
The deterministic state machine over the replicated log: equal states and commands give equal answers on every replica.
*/

import {
	applyLedgerCommand, emptyLedger, type LedgerAnswer, type LedgerCommand, type LedgerState,
} from '@rattanspring/request-ledger';
import type {ChangeAnswer, ConfigurationChange, FleetConfiguration} from '@rattanspring/types';
import {applyChange, emptyConfiguration} from './apply-change.js';
import {
	appendAccepted, changeDigest, emptyChangeLog, storeAnswer, expandAnswer, type ChangeLog, type ChangeLogLimits, type StoredAnswer,
} from './change-log.js';
import {
	applyLeaseCommand, emptyLeases, type LeaderTime, type LeaseAnswer, type LeaseCommand, type LeaseState,
} from './leases.js';
import {
	applySuspectCommand, emptySuspects, type SuspectAnswer, type SuspectCommand, type SuspectState,
} from './suspects.js';

/** A change as stored in the log. The leader adds its wall-clock time, which is only shown to readers of the history. */
export type ChangeCommand = {readonly kind: 'change'; readonly change: ConfigurationChange; readonly acceptedAtMs?: number};

/** A log command. */
export type FleetCommand
	= | ChangeCommand
		| {readonly kind: 'ledger'; readonly command: LedgerCommand}
		/** The leader adds its monotonic clock reading, which drives lease expiry. */
		| {readonly kind: 'lease'; readonly command: LeaseCommand; readonly leaderTime?: LeaderTime}
		| {readonly kind: 'suspects'; readonly command: SuspectCommand};

/** The answer to a command. */
export type FleetAnswer
	= | {readonly kind: 'change'; readonly answer: ChangeAnswer}
		| {readonly kind: 'ledger'; readonly answer: LedgerAnswer}
		| {readonly kind: 'lease'; readonly answer: LeaseAnswer}
		| {readonly kind: 'suspects'; readonly answer: SuspectAnswer};

/** The complete replicated state; `applyFleetCommand` mutates it in place. */
export type FleetState = {
	configuration: FleetConfiguration;
	readonly changes: ChangeLog;
	readonly leases: LeaseState;
	readonly ledger: LedgerState;
	readonly suspects: SuspectState;
};

/** Creates the state of an empty log. All voters must use the same limits. */
export function emptyFleetState(limits: Partial<ChangeLogLimits> = {}): FleetState {
	return {
		configuration: emptyConfiguration, changes: emptyChangeLog(limits), leases: emptyLeases(), ledger: emptyLedger(), suspects: emptySuspects(),
	};
}

/** Applies one command and returns its answer. */
export function applyFleetCommand(state: FleetState, command: FleetCommand): FleetAnswer {
	switch (command.kind) {
		case 'change': {
			return {kind: 'change', answer: answerChange(state, command)};
		}

		case 'ledger': {
			return {kind: 'ledger', answer: applyLedgerCommand(state.ledger, command.command)};
		}

		case 'lease': {
			return {kind: 'lease', answer: applyLeaseCommand(state.leases, command.command, command.leaderTime)};
		}

		case 'suspects': {
			return {kind: 'suspects', answer: applySuspectCommand(state.suspects, command.command)};
		}
	}
}

function answerChange(state: FleetState, command: ChangeCommand): ChangeAnswer {
	const {change} = command;
	const previous = state.changes.answered.get(change.changeId);
	if (previous && previous.digest !== changeDigest(change)) {
		return {kind: 'rejected', type: 'changeIdReused', message: `Change id "${change.changeId}" was used for another change.`};
	}

	if (previous) {
		return expandAnswer(state.changes, previous.answer);
	}

	const answer = decideChange(state, command);
	storeAnswer(state.changes, change, answer);
	return expandAnswer(state.changes, answer);
}

function decideChange(state: FleetState, command: ChangeCommand): StoredAnswer {
	const {change, acceptedAtMs} = command;
	const {revision} = state.configuration;
	if (change.baseRevision > revision) {
		return {kind: 'rejected', type: 'unknownRevision', message: `The change names revision ${change.baseRevision}; the newest one is ${revision}.`};
	}

	if (change.baseRevision < revision) {
		return {kind: 'conflict', baseRevision: change.baseRevision, currentRevision: revision};
	}

	const applied = applyChange(state.configuration, change);
	if (!applied.ok) {
		return {kind: 'rejected', ...applied.failure};
	}

	state.configuration = applied.value;
	appendAccepted(state.changes, {revision: applied.value.revision, change, ...(acceptedAtMs !== undefined && {acceptedAtMs})});
	return {kind: 'accepted', revision: applied.value.revision};
}
