/**
Leases with fencing numbers, for the coordinator of a group and the owner of a target. Expiry is evaluated in log time, which the
leader advances.
*/

import type {FencingNumber} from '@rattanspring/types';

/** The role that a lease grants. */
export type LeaseKind = 'groupCoordinator' | 'targetOwner';

/** The role and the group or target that a lease applies to. */
export type LeaseSubject = {readonly kind: LeaseKind; readonly name: string};

/** A lease command. `holder` identifies one run of a process; a restarted process uses a new name. */
export type LeaseCommand
	= | {readonly kind: 'acquire'; readonly subject: LeaseSubject; readonly holder: string; readonly durationMs: number}
		| {readonly kind: 'renew'; readonly subject: LeaseSubject; readonly holder: string; readonly fencingNumber: FencingNumber; readonly durationMs: number}
		| {readonly kind: 'release'; readonly subject: LeaseSubject; readonly holder: string; readonly fencingNumber: FencingNumber};

/**
The answer to a lease command.
- `granted`: the holder has the lease for `durationMs`, measured from when it sent the request.
- `heldByOther`: retry after `remainingMs`.
- `lost`: the lease has expired or was released; the holder must stop acting on it and acquire a new one.
*/
export type LeaseAnswer
	= | {readonly kind: 'granted'; readonly fencingNumber: FencingNumber; readonly durationMs: number}
		| {readonly kind: 'heldByOther'; readonly holder: string; readonly fencingNumber: FencingNumber; readonly remainingMs: number}
		| {readonly kind: 'released'}
		| {readonly kind: 'lost'}
		| {readonly kind: 'refused'; readonly type: 'durationOutOfRange' | 'tooManyLeases'; readonly message: string};

/** A granted lease. */
export type Lease = {
	readonly subject: LeaseSubject;
	readonly holder: string;
	readonly fencingNumber: FencingNumber;
	/** Expiry in log time, no sooner than its holder expects, provided the holder measures from before it sent the request. */
	readonly expiresAtMs: number;
};

/** The clock reading of the voter that proposed a command. `leaderId` identifies one run of one voter. */
export type LeaderTime = {readonly leaderId: string; readonly monotonicMs: number};

/** All leases; `applyLeaseCommand` mutates it in place. */
export type LeaseState = {
	/** Log time; never decreases. */
	nowMs: number;
	lastLeaderTime?: LeaderTime;
	/** Counter shared by all subjects: each new grant gets a greater number than every earlier one, so expired leases need not be retained. */
	lastFencingNumber: FencingNumber;
	readonly leases: Map<string, Lease>;
};

/** The leases as JSON-compatible data, for snapshots. */
export type SerializedLeases = Omit<LeaseState, 'leases'> & {readonly leases: readonly Lease[]};

/** Permitted range of a lease's duration. */
export const leaseDurationRange = {minimumMs: 100, maximumMs: 600_000} as const;

/** Maximum number of stored leases. */
export const maxLeases = 100_000;

/** Creates a state without leases. */
export function emptyLeases(): LeaseState {
	return {nowMs: 0, lastFencingNumber: 0, leases: new Map()};
}

/** Converts the leases to JSON-compatible data. */
export function serializeLeases(state: LeaseState): SerializedLeases {
	return {...state, leases: [...state.leases.values()]};
}

/** Restores the leases from the result of `serializeLeases`. */
export function deserializeLeases(serialized: SerializedLeases): LeaseState {
	return {...serialized, leases: new Map(serialized.leases.map(lease => [subjectKey(lease.subject), lease]))};
}

/** Applies one command and returns its answer. */
export function applyLeaseCommand(state: LeaseState, command: LeaseCommand, leaderTime?: LeaderTime): LeaseAnswer {
	advanceTime(state, leaderTime);
	if (command.kind === 'release') {
		return release(state, command);
	}

	const {minimumMs, maximumMs} = leaseDurationRange;
	if (!(command.durationMs >= minimumMs && command.durationMs <= maximumMs)) {
		return {kind: 'refused', type: 'durationOutOfRange', message: `A lease lasts from ${minimumMs} to ${maximumMs} ms.`};
	}

	return command.kind === 'acquire' ? acquire(state, command) : renew(state, command);
}

/** Finds the unexpired lease of a subject. */
export function findActiveLease(state: LeaseState, subject: LeaseSubject): Lease | undefined {
	const lease = state.leases.get(subjectKey(subject));
	return lease && lease.expiresAtMs > state.nowMs ? lease : undefined;
}

/**
Returns the smallest valid fencing number of an order about a subject. Without an active lease it is one more than the
greatest number granted so far. A process that restarts without knowing which numbers it has seen initialises from it.
*/
export function smallestFencingNumber(state: LeaseState, subject: LeaseSubject): FencingNumber {
	return findActiveLease(state, subject)?.fencingNumber ?? state.lastFencingNumber + 1;
}

/**
Advances log time by the time that the leader's monotonic clock measured between two of its own commands. The first command of a new
leader advances it by zero. Log time therefore never runs ahead of real time, whatever the wall clocks say.
*/
function advanceTime(state: LeaseState, leaderTime: LeaderTime | undefined): void {
	if (!leaderTime) {
		return;
	}

	const {lastLeaderTime} = state;
	if (lastLeaderTime?.leaderId === leaderTime.leaderId) {
		state.nowMs += Math.max(0, leaderTime.monotonicMs - lastLeaderTime.monotonicMs);
	}

	state.lastLeaderTime = leaderTime;
}

type AcquireCommand = Extract<LeaseCommand, {kind: 'acquire'}>;
type RenewCommand = Extract<LeaseCommand, {kind: 'renew'}>;
type ReleaseCommand = Extract<LeaseCommand, {kind: 'release'}>;

/** Idempotent for the current holder: a retry after a lost answer gets the same fencing number. */
function acquire(state: LeaseState, command: AcquireCommand): LeaseAnswer {
	const current = findActiveLease(state, command.subject);
	if (current && current.holder !== command.holder) {
		const {holder, fencingNumber, expiresAtMs} = current;
		return {
			kind: 'heldByOther', holder, fencingNumber, remainingMs: expiresAtMs - state.nowMs,
		};
	}

	if (!current && !ensureCapacity(state)) {
		return {kind: 'refused', type: 'tooManyLeases', message: `There are ${maxLeases} leases in force.`};
	}

	const fencingNumber = current?.fencingNumber ?? state.lastFencingNumber + 1;
	state.lastFencingNumber = Math.max(state.lastFencingNumber, fencingNumber);
	return grant(state, command, fencingNumber);
}

function renew(state: LeaseState, command: RenewCommand): LeaseAnswer {
	return isHeldBy(state, command) ? grant(state, command, command.fencingNumber) : {kind: 'lost'};
}

function release(state: LeaseState, command: ReleaseCommand): LeaseAnswer {
	if (!isHeldBy(state, command)) {
		return {kind: 'lost'};
	}

	state.leases.delete(subjectKey(command.subject));
	return {kind: 'released'};
}

function isHeldBy(state: LeaseState, command: RenewCommand | ReleaseCommand): boolean {
	const lease = findActiveLease(state, command.subject);
	return lease?.holder === command.holder && lease.fencingNumber === command.fencingNumber;
}

function grant(state: LeaseState, command: AcquireCommand | RenewCommand, fencingNumber: FencingNumber): LeaseAnswer {
	const {subject, holder, durationMs} = command;
	state.leases.set(subjectKey(subject), {
		subject, holder, fencingNumber, expiresAtMs: state.nowMs + durationMs,
	});
	return {kind: 'granted', fencingNumber, durationMs};
}

/** Removes expired leases once the limit is reached; returns whether there is room for another lease. */
function ensureCapacity(state: LeaseState): boolean {
	if (state.leases.size < maxLeases) {
		return true;
	}

	for (const [subject, lease] of state.leases) {
		if (lease.expiresAtMs <= state.nowMs) {
			state.leases.delete(subject);
		}
	}

	return state.leases.size < maxLeases;
}

function subjectKey(subject: LeaseSubject): string {
	return JSON.stringify([subject.kind, subject.name]);
}
