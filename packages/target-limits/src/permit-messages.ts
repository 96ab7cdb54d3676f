/** Checks of calls for permits and of words on cold times that other daemons have sent. */

import type {TargetLifetime} from '@rattanspring/target-table';
import {isRate, readLifetime, type TargetLimit} from './limit-table.js';
import type {PermitDecision} from './permit-authority.js';

/** Most permits that one call may ask for. */
const maxCount = 10_000;

/** Longest cold time that is believed. */
const maxColdMs = 3_600_000;

/** Asks the authority of a target for permits, at the limit that the entry knows. */
export type PermitRequest = TargetLimit & {readonly count?: number};

/** How much longer a target is cold, as told on from one daemon to another. */
export type ColdWord = TargetLifetime & {readonly coldLeftMs: number};

/** Throws if the value is not a call for permits. */
export function readPermitRequest(value: unknown): PermitRequest {
	const {perSecond, coldPerSecond, count = 1} = (value ?? {}) as Partial<PermitRequest>;
	const lifetime = readLifetime(value);
	if (!lifetime || !isRate(perSecond) || !isRate(coldPerSecond) || !Number.isInteger(count) || count < 1 || count > maxCount) {
		throw new TypeError('The call for permits names no target, or no limit or count.');
	}

	return {
		...lifetime, count, ...(perSecond !== undefined && {perSecond}), ...(coldPerSecond !== undefined && {coldPerSecond}),
	};
}

/** Throws if the value is not a decision. */
export function readPermitDecision(value: unknown): PermitDecision {
	const {granted, retryInMs} = (value ?? {}) as Partial<PermitDecision>;
	if (!Number.isInteger(granted) || granted! < 0 || granted! > maxCount || !isRate(retryInMs) || retryInMs === undefined) {
		throw new TypeError('The answer is no decision on permits.');
	}

	return {granted: granted!, retryInMs};
}

/** Throws if the value is not a word on a cold time. A time that is absurdly long is shortened. */
export function readColdWord(value: unknown): ColdWord {
	const {coldLeftMs} = (value ?? {}) as Partial<ColdWord>;
	const lifetime = readLifetime(value);
	if (!lifetime || !isRate(coldLeftMs) || coldLeftMs === undefined) {
		throw new TypeError('The message has no cold time of a target.');
	}

	return {...lifetime, coldLeftMs: boundedColdMs(coldLeftMs)};
}

/** A cold time that a target states, bounded; 0 if it is no time. */
export function boundedColdMs(coldLeftMs: number): number {
	return Number.isNaN(coldLeftMs) ? 0 : Math.min(maxColdMs, Math.max(0, coldLeftMs));
}
