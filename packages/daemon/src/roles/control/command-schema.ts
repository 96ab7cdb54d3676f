/**
Schemas of the commands and reads that arrive at the control port. Only the form is validated here; whether a key
exists and a value is valid is decided by the state machine, identically on every voter.
*/

import type {FleetCommand} from '@rattanspring/fleet-state';
import {err, ok, type Result} from '@rattanspring/types';
import * as z from 'zod';

const name = z.string().min(1).max(200);
const text = z.string().max(2000);
const timeMs = z.int().min(0);
const revision = z.int().min(0);
const digest = z.string().regex(/^[\da-f]{64}$/, 'a SHA-256 digest in hexadecimal');
const value = z.union([z.number(), z.string().max(2000), z.boolean(), z.array(z.string().max(2000)).max(1000)]);

/** Maximum number of edits in one change. */
const maxEdits = 500;

const exception = z.strictObject({
	exceptionId: name,
	scope: z.strictObject({kind: z.enum(['failureDomain', 'clientAccount', 'service', 'group', 'target']), name}),
	key: name,
	value,
	reason: text,
	operator: name,
	endsAtMs: timeMs.optional(),
});

const callerKey = z.strictObject({
	keyId: name, secretDigest: digest, clientAccount: name, endsAtMs: timeMs.optional(),
});

const operatorKey = z.strictObject({
	keyId: name, secretDigest: digest, operator: name, access: z.enum(['readOnly', 'readWrite']), endsAtMs: timeMs.optional(),
});

const edit = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('setDefault'), key: name, value}),
	z.strictObject({kind: z.literal('unsetDefault'), key: name}),
	z.strictObject({kind: z.literal('addException'), exception}),
	z.strictObject({kind: z.literal('removeException'), exceptionId: name}),
	z.strictObject({kind: z.literal('addCallerKey'), callerKey}),
	z.strictObject({kind: z.literal('removeCallerKey'), keyId: name}),
	z.strictObject({kind: z.literal('addOperatorKey'), operatorKey}),
	z.strictObject({kind: z.literal('removeOperatorKey'), keyId: name}),
]);

const change = z.strictObject({
	changeId: name, baseRevision: revision, operator: name, reason: text, edits: z.array(edit).max(maxEdits),
});

const subject = z.strictObject({kind: z.enum(['groupCoordinator', 'targetOwner']), name});

const lease = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('acquire'), subject, holder: name, durationMs: z.number(),
	}),
	z.strictObject({
		kind: z.literal('renew'), subject, holder: name, fencingNumber: z.int(), durationMs: z.number(),
	}),
	z.strictObject({
		kind: z.literal('release'), subject, holder: name, fencingNumber: z.int(),
	}),
]);

/** Ledger commands are sent by daemons of the fleet; the ledger itself refuses those that are invalid in its state. */
const ledger = z.looseObject({
	kind: z.string(), key: z.strictObject({clientAccount: name, service: name, idempotencyKey: name}), nowMs: z.number(),
});

const suspectKey = z.strictObject({clientAccount: name, bodyDigest: digest});

const suspects = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('reportCrash'), key: suspectKey, crashed: z.strictObject({requestId: name, attempt: z.int(), targetId: name}), nowMs: z.number(),
	}),
	z.strictObject({
		kind: z.literal('startRerun'), key: suspectKey, requestId: name, nowMs: z.number(),
	}),
	z.strictObject({
		kind: z.literal('endRerun'), key: suspectKey, requestId: name, isWhole: z.boolean(), nowMs: z.number(),
	}),
	z.strictObject({
		kind: z.literal('release'), key: suspectKey, operator: name, reason: text, nowMs: z.number(),
	}),
]);

const command = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('change'), change}),
	z.strictObject({kind: z.literal('lease'), command: lease}),
	z.strictObject({kind: z.literal('ledger'), command: ledger}),
	z.strictObject({kind: z.literal('suspects'), command: suspects}),
]);

/** Parameters of a read in addition to its subject. */
export const readParametersSchema = z.strictObject({
	/** History: only changes after this revision. */
	afterRevision: revision.optional(),
	/** History: maximum number of changes, newest kept. Requests: maximum number of keys. */
	limit: z.int().min(1).max(1000).default(100),
	/** Leases: subject of the lease to read. */
	leaseSubject: subject.optional(),
	/** Requests: only those of one client account. */
	clientAccount: name.optional(),
	/** Requests: only those in these states. */
	requestStates: z.array(z.enum(['claimed', 'released', 'recorded', 'unknown', 'settled', 'expired'])).optional(),
});

/** Parameters of a read. */
export type ReadParameters = z.infer<typeof readParametersSchema>;

/** Failure of a message that is not a valid command or read. */
export type MalformedCommand = {readonly type: 'malformedCommand'; readonly message: string};

/** Validates a command; the timestamps that the leader adds are not accepted from a client. */
export function parseCommand(data: unknown): Result<FleetCommand, MalformedCommand> {
	const parsed = command.safeParse(data);
	return parsed.success ? ok(parsed.data as FleetCommand) : err({type: 'malformedCommand', message: z.prettifyError(parsed.error)});
}

/** Validates the parameters of a read. */
export function parseReadParameters(data: unknown): Result<ReadParameters, MalformedCommand> {
	const parsed = readParametersSchema.safeParse(data);
	return parsed.success ? ok(parsed.data) : err({type: 'malformedCommand', message: z.prettifyError(parsed.error)});
}
