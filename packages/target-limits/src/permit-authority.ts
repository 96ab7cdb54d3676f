/**
Gives permits for requests to targets that name a limit: a token bucket for each target. It begins empty, so that an authority that takes over from another one
adds little to what that one has given.
*/

import type {TargetLimit} from './limit-table.js';

/** Permits that a target's bucket holds at most. */
const maxTokens = 2;

/** Targets without a request for a permit for this long are forgotten. */
const forgetAfterMs = 30_000;

/** A permit, or the time after which there will be one. */
export type PermitDecision = {readonly isGranted: boolean; readonly retryInMs: number};

type Bucket = {tokens: number; atMs: number};

/** The buckets of the targets for which this process is the authority. */
export class PermitAuthority {
	readonly #buckets = new Map<string, Bucket>();

	/** Takes a permit for one request to a target, if its limit allows it now. */
	take({targetId, bornMs, perSecond = 0}: TargetLimit, nowMs: number): PermitDecision {
		const key = `${targetId} ${bornMs}`;
		const bucket = this.#buckets.get(key) ?? {tokens: 0, atMs: nowMs};
		this.#buckets.delete(key);
		this.#removeUnused(nowMs);
		this.#buckets.set(key, bucket);
		bucket.tokens = Math.min(maxTokens, bucket.tokens + ((nowMs - bucket.atMs) / 1000 * perSecond));
		bucket.atMs = nowMs;
		if (bucket.tokens >= 1) {
			bucket.tokens--;
			return {isGranted: true, retryInMs: 0};
		}

		return {isGranted: false, retryInMs: Math.min(forgetAfterMs, (1 - bucket.tokens) / Math.max(perSecond, Number.EPSILON) * 1000)};
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
