/**
Gives permits for requests to targets with a limit, whether they state it or are cold: a token bucket for each target. It begins empty, so that an authority
that takes over from another one adds little to what that one has given.

Load this answers: a whole failure domain of cold targets, and more requests than they take at every entry. Entries that are refused are told to come back
in turn, at the rate of the limit, so that calls do not grow with the number of entries that wait.
*/

import type {TargetLimit} from './limit-table.js';

/** Permits that a bucket holds at most, and for a cold target the further part that grows with its limit, in seconds of the limit. */
const maxTokens = 2;
const coldBurstSeconds = 1 / 16;

/** A batch holds at most what the limit allows in this time. */
const maxBatchSeconds = 0.5;

/**
Share of a cold target's limit that a control process gives while it doesn't know that it is the first for the target. Entries may believe in two of them at a
time: with this share and one token, both together stay within half more than the limit and five.
*/
const notFirstShare = 0.25;

/** Longest time after which an entry that was refused is asked to come back. */
const maxTurnMs = 1000;

/** Targets without a request for a permit for this long are forgotten. */
const forgetAfterMs = 30_000;

/** Number of permits given, and the time after which to ask for more. */
export type PermitDecision = {readonly granted: number; readonly retryInMs: number};

/** What an entry asks for, and whether this process ranks first for the target. */
export type PermitOptions = {readonly count?: number; readonly isFirst?: boolean};

type Bucket = {tokens: number; atMs: number; nextTurnAtMs: number};

type Rate = {readonly perSecond: number; readonly maxTokens: number};

/** The buckets of the targets for which this process is the authority. */
export class PermitAuthority {
	readonly #buckets = new Map<string, Bucket>();

	/** Takes permits for requests to a target, as many as its limit allows now. */
	take(limit: TargetLimit, {count = 1, isFirst = true}: PermitOptions, nowMs: number): PermitDecision {
		const rate = rateOf(limit, isFirst);
		const bucket = this.#use(`${limit.targetId} ${limit.bornMs}`, rate, nowMs);
		const granted = Math.min(Math.floor(bucket.tokens), count, Math.max(1, Math.floor(rate.perSecond * maxBatchSeconds)));
		bucket.tokens -= granted;
		return granted > 0 ? {granted, retryInMs: 0} : {granted, retryInMs: turnOf(bucket, rate, nowMs)};
	}

	#use(key: string, {perSecond, maxTokens}: Rate, nowMs: number): Bucket {
		const bucket = this.#buckets.get(key) ?? {tokens: 0, atMs: nowMs, nextTurnAtMs: nowMs};
		this.#buckets.delete(key);
		this.#removeUnused(nowMs);
		this.#buckets.set(key, bucket);
		bucket.tokens = Math.min(maxTokens, bucket.tokens + (Math.max(0, nowMs - bucket.atMs) / 1000 * perSecond));
		bucket.atMs = nowMs;
		return bucket;
	}

	/** The buckets are in the order of their last use. */
	#removeUnused(nowMs: number): void {
		for (const [key, {atMs}] of this.#buckets) {
			if (nowMs - atMs < forgetAfterMs) {
				return;
			}

			this.#buckets.delete(key);
		}
	}
}

/** The lower one of the stated and the cold limit. Who ranks first matters for cold targets only: they fail above their limit, the others ask for less. */
function rateOf({perSecond = Number.POSITIVE_INFINITY, coldPerSecond = Number.POSITIVE_INFINITY}: TargetLimit, isFirst: boolean): Rate {
	const cold = isFirst ? coldPerSecond : coldPerSecond * notFirstShare;
	const lower = Math.min(perSecond, cold);
	return Number.isFinite(lower)
		? {perSecond: lower, maxTokens: perSecond <= cold ? maxTokens : (isFirst ? maxTokens + (coldPerSecond * coldBurstSeconds) : 1)}
		: {perSecond: 0, maxTokens: 0};
}

/** The time until the next permit that nobody was told to come for. */
function turnOf(bucket: Bucket, {perSecond}: Rate, nowMs: number): number {
	if (perSecond <= 0) {
		return forgetAfterMs;
	}

	const intervalMs = 1000 / perSecond;
	const turnAtMs = Math.max(bucket.nextTurnAtMs, nowMs + ((1 - bucket.tokens) * intervalMs));
	bucket.nextTurnAtMs = Math.min(turnAtMs + intervalMs, nowMs + Math.max(maxTurnMs, intervalMs));
	return Math.min(forgetAfterMs, turnAtMs - nowMs);
}
