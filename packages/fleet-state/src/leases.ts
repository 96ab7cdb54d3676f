/**
Leases with fencing numbers: who coordinates a group, who owns a target.

Expiry is decided in the log's own time, which the leading voter moves on by what its monotonic clock has
measured between two of its own commands. A new leader starts with no time passed. So log time never runs
ahead of real time, whatever the wall clocks say, and a lease ends in the log no sooner than its holder
expects, if the holder counts from before it asked. Fencing numbers come from one counter for all subjects,
so that the end of a lease needs no memory: the next grant has a greater number than every earlier one.
*/

import type {FencingNumber} from '@rattanspring/types';

/** What a lease is for. */
export type LeaseKind = 'groupCoordinator' | 'targetOwner';

/** The group or target that a lease is about. */
export type LeaseSubject = {readonly kind: LeaseKind; readonly name: string};

/** A command to the leases. `holder` names one run of a process; a restarted process asks under a new name. */
export type LeaseCommand
	= | {readonly kind: 'acquire'; readonly subject: LeaseSubject; readonly holder: string; readonly durationMs: number}
		| {readonly kind: 'renew'; readonly subject: LeaseSubject; readonly holder: string; readonly fencingNumber: FencingNumber; readonly durationMs: number}
		| {readonly kind: 'release'; readonly subject: LeaseSubject; readonly holder: string; readonly fencingNumber: FencingNumber};

/**
The answer to a lease command.
- `granted`: the holder has the lease for `durationMs` from when it asked.
- `heldByOther`: ask again once the other holder's time has passed.
- `lost`: the lease named has ended; stop, and acquire a new one.
*/
export type LeaseAnswer
	= | {readonly kind: 'granted'; readonly fencingNumber: FencingNumber; readonly durationMs: number}
		| {readonly kind: 'heldByOther'; readonly holder: string; readonly fencingNumber: FencingNumber; readonly remainingMs: number}
		| {readonly kind: 'released'}
		| {readonly kind: 'lost'}
		| {readonly kind: 'refused'; readonly type: 'durationOutOfRange' | 'tooManyLeases'; readonly message: string};

/** A lease in force. */
export type Lease = {
	readonly subject: LeaseSubject;
	readonly holder: string;
	readonly fencingNumber: FencingNumber;
	/** In log time. */
	readonly expiresAtMs: number;
};

/** The clock reading of the voter that proposed a command. `leaderId` names one run of one voter. */
export type LeaderTime = {readonly leaderId: string; readonly monotonicMs: number};

/** All leases. `applyLeaseCommand` changes it in place. */
export type LeaseState = {
	/** Log time; it only grows. */
	nowMs: number;
	lastLeaderTime?: LeaderTime;
	lastFencingNumber: FencingNumber;
	readonly leases: Map<string, Lease>;
};

/** The leases in a snapshot: plain data that JSON keeps as it is. */
export type SerializedLeases = Omit<LeaseState, 'leases'> & {readonly leases: readonly Lease[]};

/** Bounds of a lease's duration. */
export const leaseDurationRange = {minimumMs: 100, maximumMs: 600_000} as const;

/** Leases kept at once. */
export const maxLeases = 100_000;

/** The leases of an empty log. */
export function emptyLeases(): LeaseState {
	return {nowMs: 0, lastFencingNumber: 0, leases: new Map()};
}

/** Turns the leases into plain data. */
export function serializeLeases(state: LeaseState): SerializedLeases {
	return {...state, leases: [...state.leases.values()]};
}

/** Makes leases from what `serializeLeases` returned. */
export function deserializeLeases(serialized: SerializedLeases): LeaseState {
	return {...serialized, leases: new Map(serialized.leases.map(lease => [subjectText(lease.subject), lease]))};
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

/** The lease in force for a subject, or undefined. */
export function findActiveLease(state: LeaseState, subject: LeaseSubject): Lease | undefined {
	const lease = state.leases.get(subjectText(subject));
	return lease && lease.expiresAtMs > state.nowMs ? lease : undefined;
}

/**
The smallest fencing number that an order about a subject may carry. Without a lease in force that is one more
than every number granted so far. A process that has forgotten which numbers it has seen starts from here.
*/
export function smallestFencingNumber(state: LeaseState, subject: LeaseSubject): FencingNumber {
	return findActiveLease(state, subject)?.fencingNumber ?? state.lastFencingNumber + 1;
}

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

/** A holder that asks again, having lost the answer, gets the number it has. */
function acquire(state: LeaseState, command: AcquireCommand): LeaseAnswer {
	const current = findActiveLease(state, command.subject);
	if (current && current.holder !== command.holder) {
		const {holder, fencingNumber, expiresAtMs} = current;
		return {
			kind: 'heldByOther', holder, fencingNumber, remainingMs: expiresAtMs - state.nowMs,
		};
	}

	if (!current && !makeRoom(state)) {
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

	state.leases.delete(subjectText(command.subject));
	return {kind: 'released'};
}

function isHeldBy(state: LeaseState, command: RenewCommand | ReleaseCommand): boolean {
	const lease = findActiveLease(state, command.subject);
	return lease?.holder === command.holder && lease.fencingNumber === command.fencingNumber;
}

function grant(state: LeaseState, command: AcquireCommand | RenewCommand, fencingNumber: FencingNumber): LeaseAnswer {
	const {subject, holder, durationMs} = command;
	state.leases.set(subjectText(subject), {
		subject, holder, fencingNumber, expiresAtMs: state.nowMs + durationMs,
	});
	return {kind: 'granted', fencingNumber, durationMs};
}

/** Removes leases that have ended once the bound is reached; returns whether one more fits. */
function makeRoom(state: LeaseState): boolean {
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

function subjectText(subject: LeaseSubject): string {
	return JSON.stringify([subject.kind, subject.name]);
}
