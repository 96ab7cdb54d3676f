/**
The score of a target for a request: the expected time until the first token, in milliseconds.
*/

import type {TargetAnnouncement} from '@rattanspring/types';
import type {DispatchSum} from './own-dispatches.js';

/** Token rate assumed for a target that reports none. */
const defaultTokensPerSecond = 1000;

/** Number of prompt tokens that are processed in the time of one generated token. */
const prefillSpeedup = 4;

/** Age at which a load report has a weight of 1/e; the rest of the weight is given to the mean of the candidates. */
const reportDecayMs = 5000;

/** Input of a score. */
export type ScoreInput = {
	readonly announcement: TargetAnnouncement;
	readonly reportAgeMs: number;
	/** Dispatches of this entry since the report. */
	readonly ownSinceReport: DispatchSum;
	/** Mean drain time of the candidates' queues, used for old reports. */
	readonly meanDrainMs: number;
	/** Prompt tokens of the request. */
	readonly promptTokens: number;
	/** Number of prompt tokens that the target's prefix cache saves. */
	readonly cachedTokens: number;
};

/** Time that the target needs to process all the work it reported. */
export function drainMs({load}: TargetAnnouncement): number {
	return load.queuedTokens * 1000 / speedOf(load);
}

/** Expected time until the first token; lower is better. */
export function scoreTarget(input: ScoreInput): number {
	const {load} = input.announcement;
	const msPerToken = 1000 / speedOf(load);
	const capacity = Math.max(1, load.capacityRequests);
	const requests = load.inProgressRequests + input.ownSinceReport.requests;
	const ownPrefillTokens = Math.max(0, input.promptTokens - input.cachedTokens);
	const prefillTokens = load.prefillTokens + input.ownSinceReport.prefillTokens + ownPrefillTokens;
	const prefillMs = prefillTokens * msPerToken / prefillSpeedup;
	const stepMs = capacity * msPerToken * (1 + (requests / capacity));
	return (waitMs(input, requests, capacity) + prefillMs + stepMs) * Math.max(1, load.stepTimeSkew);
}

/** Expected time until a slot is free: the time for the part of the work in progress that has to end first. */
function waitMs(input: ScoreInput, requests: number, capacity: number): number {
	if (requests < capacity) {
		return 0;
	}

	const reportWeight = Math.exp(-input.reportAgeMs / reportDecayMs);
	const reportedMs = (drainMs(input.announcement) * reportWeight) + (input.meanDrainMs * (1 - reportWeight));
	const ownMs = input.ownSinceReport.tokens * 1000 / speedOf(input.announcement.load);
	return (reportedMs + ownMs) * (requests - capacity + 1) / requests;
}

function speedOf(load: TargetAnnouncement['load']): number {
	return load.tokensPerSecond > 0 ? load.tokensPerSecond : defaultTokensPerSecond;
}
