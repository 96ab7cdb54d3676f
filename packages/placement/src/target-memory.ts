/**
Memory of targets for the prompts and answers of their requests, in tokens. A target that runs out of it interrupts its newest request in the middle of its
answer, or crashes, so a request is not sent where it would probably not fit.

What a target holds is its last reported share of its capacity, what this entry has sent since those figures were measured, and what others have probably sent
since: per entry, as much as this entry has sent to the average target of the service, since all entries see the same figures and spread their requests alike. What
is held may still grow by the tail of the answers' lengths; a reserve is left for it.

Load that this answers: long prompts that arrive together while figures are a few hundred milliseconds old, and estimates of lengths that are often far off.
*/

import type {EngineProfile} from '@rattanspring/desired-state';

/** Standard deviations of the sum of the answers' lengths that the reserve covers; the deviation of one answer is taken as the mean length. */
const reservedDeviations = 2;

/** Largest part of the capacity that is reserved. */
const maxReserveShare = 0.25;

/** The engine's figures on which memory depends. */
export type MemoryProfile = Pick<EngineProfile, 'contextTokens' | 'slots' | 'usualPromptTokens' | 'usualAnswerTokens'>;

/** What a request says of its length. */
export type RequestLength = {
	readonly promptTokens?: number;
	/** The caller's estimate. */
	readonly expectedAnswerTokens?: number;
	readonly maxAnswerTokens?: number;
};

/** A target's last figures, and what has been sent since they were measured. */
export type TargetHoldings = {
	readonly memoryShare: number;
	/** Tokens of the requests that this entry has sent there. */
	readonly sentTokens: number;
	/** Tokens that this entry has sent to all targets of the service, and their number. */
	readonly sentToAllTokens: number;
	readonly targetCount: number;
	readonly entryCount: number;
	/** Slots that its last figures show as free: others can't have sent more requests than these. */
	readonly freeSlots: number;
};

/** Tokens that a request will probably hold at its end: an estimate below the mean is not relied on, nor one above the maximum or the capacity. */
export function expectedTokens({promptTokens, expectedAnswerTokens = 0, maxAnswerTokens = Number.POSITIVE_INFINITY}: RequestLength, engine: MemoryProfile): number {
	const answerTokens = Math.min(maxAnswerTokens, Math.max(expectedAnswerTokens, engine.usualAnswerTokens));
	return Math.min(engine.contextTokens, Math.max(0, promptTokens ?? engine.usualPromptTokens) + answerTokens);
}

/** Whether no target can ever hold a request with an answer of the mean length. The caller's estimate is too often far off to refuse a request for it. */
export function isTooLarge({promptTokens = 0, maxAnswerTokens = Number.POSITIVE_INFINITY}: RequestLength, {contextTokens, usualAnswerTokens}: MemoryProfile): boolean {
	return promptTokens + Math.min(maxAnswerTokens, usualAnswerTokens) > contextTokens;
}

/** Tokens that a target probably holds. */
export function heldTokens(holdings: TargetHoldings, {contextTokens, usualPromptTokens, usualAnswerTokens}: MemoryProfile): number {
	const {memoryShare, sentTokens, sentToAllTokens, targetCount, entryCount, freeSlots} = holdings;
	const atMost = Math.max(0, freeSlots) * (usualPromptTokens + usualAnswerTokens);
	const byOthers = Math.min(atMost, (entryCount - 1) * sentToAllTokens / Math.max(1, targetCount));
	return (memoryShare * contextTokens) + sentTokens + byOthers;
}

/** Tokens up to which a target is filled. */
export function usableTokens({contextTokens, slots, usualAnswerTokens}: MemoryProfile): number {
	return contextTokens - Math.min(contextTokens * maxReserveShare, reservedDeviations * usualAnswerTokens * Math.sqrt(slots));
}

/** Whether a target has memory for a further request. An empty target takes any request that it can hold at all. */
export function hasMemoryFor(requestTokens: number, holdings: TargetHoldings, engine: MemoryProfile): boolean {
	const held = heldTokens(holdings, engine);
	return held === 0 ? requestTokens <= engine.contextTokens : held + requestTokens <= usableTokens(engine);
}
