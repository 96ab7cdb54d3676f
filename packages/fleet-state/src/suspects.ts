/**
Suspects: requests that were in progress when their target crashed. A suspect is rerun only in isolation, alone on a
target and one run at a time, and is refused throughout the fleet once it has crashed a target in an isolated run.
*/

import type {ClientAccountId, RequestId, TargetId} from '@rattanspring/types';

/** Retention of a suspect since its last update. */
export const suspectRetentionMs = 3_600_000;

/** How long a request stays refused unless an operator releases it. */
export const refusedRetentionMs = 7 * 86_400_000;

/** Time after which an unfinished rerun no longer blocks others, in case the entry that started it was lost. */
export const rerunTimeoutMs = 600_000;

/** Maximum number of suspects; beyond it the oldest ones that are not refused are evicted. */
const maxSuspects = 10_000;

/** Identifies a request by its content instead of its id, so that a resend is recognised. */
export type SuspectKey = {readonly clientAccount: ClientAccountId; readonly bodyDigest: string};

/** One attempt of a suspect. */
export type SuspectAttempt = {readonly requestId: RequestId; readonly attempt: number; readonly targetId: TargetId};

/** A stored suspect. */
export type SuspectRecord = SuspectKey & {
	readonly state: 'suspect' | 'refused';
	/** Attempts that were in progress when their target crashed. */
	readonly crashes: readonly SuspectAttempt[];
	/** The isolated run in progress. */
	readonly rerun?: {readonly requestId: RequestId; readonly grantedAtMs: number};
	readonly updatedAtMs: number;
};

/** A suspect command. Times are on the proposer's wall clock. */
export type SuspectCommand
	= | {readonly kind: 'reportCrash'; readonly key: SuspectKey; readonly crashed: SuspectAttempt; readonly nowMs: number}
		| {readonly kind: 'startRerun'; readonly key: SuspectKey; readonly requestId: RequestId; readonly nowMs: number}
		| {readonly kind: 'endRerun'; readonly key: SuspectKey; readonly requestId: RequestId; readonly isWhole: boolean; readonly nowMs: number}
		| {readonly kind: 'release'; readonly key: SuspectKey; readonly operator: string; readonly reason: string; readonly nowMs: number};

/**
The answer to a suspect command.
- `free`: the request is not a suspect and may share a target.
- `alone`: the request may run now, in isolation on a target.
- `busy`: another run of it is in progress, or it has just become a suspect.
- `refused`: the request must not run.
- `reasonMissing`: the command was rejected because it gives no reason.
*/
export type SuspectAnswer = {readonly kind: 'free' | 'alone' | 'busy' | 'refused' | 'reasonMissing'; readonly version: number};

/** All suspects; `applySuspectCommand` mutates it in place. */
export type SuspectState = {
	readonly records: Map<string, SuspectRecord>;
	/** Incremented with every change that entries must be told of. */
	version: number;
};

/** Creates a state without suspects. */
export function emptySuspects(): SuspectState {
	return {records: new Map(), version: 0};
}

/** Applies one command. Equal states and commands give equal answers on every replica. */
export function applySuspectCommand(state: SuspectState, command: SuspectCommand): SuspectAnswer {
	evictRecords(state, command.nowMs);
	const kind = applyToRecords(state, command);
	return {kind, version: state.version};
}

function applyToRecords(state: SuspectState, command: SuspectCommand): SuspectAnswer['kind'] {
	const id = recordId(command.key);
	const record = state.records.get(id);
	switch (command.kind) {
		case 'reportCrash': {
			const next = addCrash(record, command);
			putRecord(state, id, next);
			return next.state === 'refused' ? 'refused' : 'busy';
		}

		case 'startRerun': {
			return record ? startRerun(state, id, record, command) : 'free';
		}

		case 'endRerun': {
			if (record?.rerun?.requestId === command.requestId) {
				endRerun(state, id, record, command);
			}

			return state.records.get(id)?.state === 'refused' ? 'refused' : 'free';
		}

		case 'release': {
			return release(state, id, command);
		}
	}
}

type Command<Kind extends SuspectCommand['kind']> = Extract<SuspectCommand, {kind: Kind}>;

function addCrash(record: SuspectRecord | undefined, command: Command<'reportCrash'>): SuspectRecord {
	const {key, crashed, nowMs} = command;
	if (!record) {
		return {
			...key, state: 'suspect', crashes: [crashed], updatedAtMs: nowMs,
		};
	}

	if (record.crashes.some(known => isSameAttempt(known, crashed))) {
		return record;
	}

	const crashes = [...record.crashes, crashed];
	const wasAlone = record.rerun?.requestId === crashed.requestId;
	return {
		...record, crashes, updatedAtMs: nowMs, ...(wasAlone && {state: 'refused', rerun: undefined}),
	};
}

function startRerun(state: SuspectState, id: string, record: SuspectRecord, {requestId, nowMs}: Command<'startRerun'>): SuspectAnswer['kind'] {
	if (record.state === 'refused') {
		return 'refused';
	}

	if (record.rerun && record.rerun.requestId !== requestId && nowMs - record.rerun.grantedAtMs < rerunTimeoutMs) {
		return 'busy';
	}

	state.records.set(id, {...record, rerun: {requestId, grantedAtMs: nowMs}, updatedAtMs: nowMs});
	return 'alone';
}

function endRerun(state: SuspectState, id: string, record: SuspectRecord, {isWhole, nowMs}: Command<'endRerun'>): void {
	if (isWhole) {
		state.records.delete(id);
		state.version++;
	} else {
		state.records.set(id, {...record, rerun: undefined, updatedAtMs: nowMs});
	}
}

function release(state: SuspectState, id: string, {reason}: Command<'release'>): SuspectAnswer['kind'] {
	if (reason.trim() === '') {
		return 'reasonMissing';
	}

	if (state.records.delete(id)) {
		state.version++;
	}

	return 'free';
}

function putRecord(state: SuspectState, id: string, record: SuspectRecord): void {
	const known = state.records.get(id);
	state.records.set(id, record);
	if (known?.state !== record.state) {
		state.version++;
	}
}

function evictRecords(state: SuspectState, nowMs: number): void {
	for (const [id, record] of state.records) {
		const retentionMs = record.state === 'refused' ? refusedRetentionMs : suspectRetentionMs;
		const exceedsLimit = state.records.size > maxSuspects && record.state !== 'refused';
		if (exceedsLimit || nowMs - record.updatedAtMs > retentionMs) {
			state.records.delete(id);
			state.version++;
		}
	}
}

function recordId({clientAccount, bodyDigest}: SuspectKey): string {
	return JSON.stringify([clientAccount, bodyDigest]);
}

function isSameAttempt(left: SuspectAttempt, right: SuspectAttempt): boolean {
	return left.requestId === right.requestId && left.attempt === right.attempt;
}

/** The suspects as JSON-compatible data, for snapshots. */
export type SerializedSuspects = {readonly version: number; readonly records: readonly SuspectRecord[]};

/** Converts the state to JSON-compatible data. */
export function serializeSuspects(state: SuspectState): SerializedSuspects {
	return {version: state.version, records: [...state.records.values()]};
}

/** Restores the state from the result of `serializeSuspects`. */
export function deserializeSuspects(serialized: SerializedSuspects): SuspectState {
	return {version: serialized.version, records: new Map(serialized.records.map(record => [recordId(record), record]))};
}
