/**
Serialization of the fleet state to JSON-compatible data, for snapshots of the log.
*/

import {deserializeLedger, serializeLedger, type SerializedLedger} from '@rattanspring/request-ledger';
import type {AcceptedChange, FleetConfiguration} from '@rattanspring/types';
import type {AnsweredChange, ChangeLogLimits} from './change-log.js';
import type {FleetState} from './fleet-state.js';
import {deserializeSuspects, serializeSuspects, type SerializedSuspects} from './suspects.js';
import {deserializeLeases, serializeLeases, type SerializedLeases} from './leases.js';

/** The fleet state as JSON-compatible data; the ledger, leases and suspects define their own serialized forms. */
export type SerializedFleetState = {
	readonly configuration: FleetConfiguration;
	readonly limits: ChangeLogLimits;
	readonly answered: ReadonlyArray<readonly [string, AnsweredChange]>;
	readonly history: readonly AcceptedChange[];
	readonly leases: SerializedLeases;
	readonly ledger: SerializedLedger;
	readonly suspects: SerializedSuspects;
};

/** Serializes the state; commands applied later do not affect the result. */
export function serializeFleetState(state: FleetState): SerializedFleetState {
	const {configuration, changes, leases, ledger, suspects} = state;
	return {
		configuration,
		limits: changes.limits,
		answered: [...changes.answered],
		history: [...changes.history],
		leases: serializeLeases(leases),
		ledger: serializeLedger(ledger),
		suspects: serializeSuspects(suspects),
	};
}

/** Restores a state from the result of `serializeFleetState`. */
export function deserializeFleetState(serialized: SerializedFleetState): FleetState {
	const {configuration, limits, answered, history, leases, ledger, suspects} = serialized;
	return {
		configuration,
		changes: {limits, answered: new Map(answered), history: [...history]},
		leases: deserializeLeases(leases),
		ledger: deserializeLedger(ledger),
		suspects: deserializeSuspects(suspects),
	};
}
