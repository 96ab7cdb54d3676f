/**
Checks reports and places of ranks that come from outside this process, at the bounds within which everything that uses them works. A report that is out of
bounds names no target to use; others beside it hold.
*/

import {isSendableName} from '@rattanspring/types';
import type {RankPlace, TargetHeartbeat, TargetReport} from './target-report.js';

/** Longest name of a target, service, failure domain or group. */
const maxNameLength = 256;

/** Last millisecond of the year 9999. */
export const maxBornMs = 253_402_300_799_999;

/** Most requests that a target may take at once, and most ranks of a group. */
const maxSlots = 65_536;
const maxGroupSize = 65_536;

/** Longest cold time: a day. */
const maxColdMs = 86_400_000;

const maxPort = 65_535;
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const maxAddressByte = 255;

const states: ReadonlySet<unknown> = new Set<TargetReport['state']>(['ready', 'draining', 'gone']);

type Unchecked<Value> = {readonly [Key in keyof Value]?: unknown};

/** Whether a report is within bounds. */
export function isReadableReport(report: unknown): report is TargetReport {
	const {service, address, failureDomain, slots, state, coldLeftMs, rankPlace} = asFields<TargetReport>(report);
	return isReadableHeartbeat(report) && isName(service) && isTargetAddress(address) && isName(failureDomain) && isCount(slots, maxSlots) && states.has(state)
		&& (coldLeftMs === undefined || isWithin(coldLeftMs, maxColdMs)) && (rankPlace === undefined || isReadablePlace(rankPlace));
}

/** Whether a heartbeat is within bounds. */
export function isReadableHeartbeat(heartbeat: unknown): heartbeat is TargetHeartbeat {
	const {targetId, bornMs, sequence} = asFields<TargetHeartbeat>(heartbeat);
	return isName(targetId) && isSendableName(targetId) && isCount(bornMs, maxBornMs) && isCount(sequence);
}

/** Whether a rank's place in its group is within bounds. */
export function isReadablePlace(place: unknown): place is RankPlace {
	const {group, epoch, rank, size, isOpen} = asFields<RankPlace>(place);
	return isName(group) && isCount(epoch) && isCount(size, maxGroupSize) && isCount(rank, size - 1) && typeof isOpen === 'boolean';
}

/** Whether a text is an IPv4 address and a port that one can connect to. */
export function isTargetAddress(address: unknown): address is string {
	const parts = typeof address === 'string' ? addressPattern.exec(address) : undefined;
	if (!parts) {
		return false;
	}

	const [, ...numbers] = parts.map(Number);
	const port = numbers.pop()!;
	return numbers.every(byte => byte <= maxAddressByte) && port > 0 && port <= maxPort;
}

function asFields<Value>(value: unknown): Unchecked<Value> {
	return typeof value === 'object' && value !== null ? value : {};
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value !== '' && value.length <= maxNameLength;
}

function isWithin(value: unknown, max: number): value is number {
	return typeof value === 'number' && value >= 0 && value <= max;
}

function isCount(value: unknown, max = Number.MAX_SAFE_INTEGER): value is number {
	return Number.isSafeInteger(value) && isWithin(value, max);
}
