/** Answers reads from the confirmed state. */

import {
	findActiveLease, serializeSuspects, smallestFencingNumber, type FleetState, type Lease,
} from '@rattanspring/fleet-state';
import {
	err, ok, type AcceptedChange, type Result,
} from '@rattanspring/types';
import type {MalformedCommand, ReadParameters} from './command-schema.js';
import type {InForceTable} from './in-force-table.js';
import {readRequests} from './request-reads.js';

/** Result of a read of `leases`. */
export type LeaseReadResult = {readonly lease?: Lease; readonly smallestFencingNumber: number};

/** The state from which a read is answered. */
export type ReadContext = {readonly state: FleetState; readonly inForce: InForceTable; readonly nowMs: number};

/** Reads a subject; a subject that voters do not hold is refused with an error that names it. */
export function readSubject(context: ReadContext, subject: string, parameters: ReadParameters): Result<unknown, MalformedCommand> {
	const {state, inForce, nowMs} = context;
	switch (subject) {
		case 'configuration': {
			return ok(state.configuration);
		}

		case 'history': {
			return ok(readHistory(state, parameters));
		}

		case 'inForce': {
			return ok(inForce.answer(state.configuration.revision, nowMs));
		}

		case 'leases': {
			return readLease(state, parameters);
		}

		case 'requests': {
			return ok(readRequests(state.ledger, parameters));
		}

		case 'suspects': {
			return ok(serializeSuspects(state.suspects));
		}

		default: {
			return err({type: 'malformedCommand', message: `Unknown read subject "${subject}": voters do not hold it.`});
		}
	}
}

function readHistory(state: FleetState, parameters: ReadParameters): readonly AcceptedChange[] {
	const {afterRevision = 0, limit} = parameters;
	return state.changes.history.filter(accepted => accepted.revision > afterRevision).slice(-limit);
}

function readLease(state: FleetState, parameters: ReadParameters): Result<LeaseReadResult, MalformedCommand> {
	const {leaseSubject} = parameters;
	if (!leaseSubject) {
		return err({type: 'malformedCommand', message: 'A read of "leases" requires the parameter leaseSubject.'});
	}

	const lease = findActiveLease(state.leases, leaseSubject);
	return ok({...(lease && {lease}), smallestFencingNumber: smallestFencingNumber(state.leases, leaseSubject)});
}
