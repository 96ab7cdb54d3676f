/**
Chooses the target for a request: the one with the lowest score in a random sample of the candidates. Every sample includes the
targets that have the prompt's prefix cached, and the prefix's home target: the candidate that all entries select by rendezvous
hashing, so that the same prefix does not fill several caches.
*/

import {rankByRendezvous, type DirectoryEntry} from '@rattanspring/directory';
import type {TargetId} from '@rattanspring/types';
import type {OwnDispatches} from './own-dispatches.js';
import type {PrefixIndex} from './prefix-index.js';
import {drainMs, scoreTarget} from './score.js';

/** Transit time of a report: a dispatch sent up to this long before the report was received may not be included in it. */
const reportTransitMs = 10;

/** Share of the prefix that its home target is assumed to have cached while it is not known to have it. */
const homeCachedShare = 0.5;

/** Input of a choice. */
export type ChoiceInput = {
	readonly candidates: readonly DirectoryEntry[];
	/** Targets that were already tried for this request. */
	readonly excluded: ReadonlySet<TargetId>;
	readonly ownDispatches: OwnDispatches;
	readonly prefixes: PrefixIndex;
	/** Digest of the prompt's prefix; empty if there is no prompt. */
	readonly prefixDigest: string;
	readonly promptTokens: number;
	/** Maximum number of prompt tokens that a cached prefix saves. */
	readonly prefixTokens: number;
	readonly sampleSize: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly nowMs: number;
};

type Context = ChoiceInput & {readonly meanDrainMs: number; readonly homeTarget: TargetId | undefined};

/** Returns the best candidate of a sample; undefined if no candidate is left. */
export function chooseTarget(input: ChoiceInput): DirectoryEntry | undefined {
	const remaining = input.candidates.filter(({announcement}) => !input.excluded.has(announcement.targetId));
	const context = contextOf(remaining, input);
	let best: DirectoryEntry | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const candidate of sampleOf(remaining, context)) {
		const score = scoreOf(candidate, context);
		if (score < bestScore) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
}

function contextOf(remaining: readonly DirectoryEntry[], input: ChoiceInput): Context {
	const meanDrainMs = remaining.reduce((sum, {announcement}) => sum + drainMs(announcement), 0) / Math.max(1, remaining.length);
	const targetIds = remaining.map(({announcement}) => announcement.targetId);
	const homeTarget = input.prefixDigest === '' ? undefined : rankByRendezvous(input.prefixDigest, targetIds).at(0);
	return {...input, meanDrainMs, homeTarget};
}

function scoreOf({announcement, receivedAtMs}: DirectoryEntry, context: Context): number {
	const {targetId} = announcement;
	const sinceMs = receivedAtMs - reportTransitMs;
	return scoreTarget({
		announcement,
		reportAgeMs: context.nowMs - receivedAtMs,
		ownSinceReport: context.ownDispatches.since(targetId, sinceMs),
		meanDrainMs: context.meanDrainMs,
		promptTokens: context.promptTokens,
		cachedTokens: cachedTokens(targetId, context),
	});
}

function cachedTokens(targetId: TargetId, context: Context): number {
	if (context.prefixes.has(targetId, context.prefixDigest)) {
		return context.prefixTokens;
	}

	return targetId === context.homeTarget ? context.prefixTokens * homeCachedShare : 0;
}

/** Returns a random sample together with the candidates that have the prefix cached and its home target. */
function sampleOf(candidates: readonly DirectoryEntry[], context: Context): Set<DirectoryEntry> {
	const sample = new Set<DirectoryEntry>();
	for (const candidate of candidates) {
		const {targetId} = candidate.announcement;
		if (targetId === context.homeTarget || context.prefixes.has(targetId, context.prefixDigest)) {
			sample.add(candidate);
		}
	}

	const rest = [...candidates];
	for (let taken = 0; taken < context.sampleSize && rest.length > 0; taken++) {
		const [candidate] = rest.splice(Math.floor(context.random() * rest.length), 1);
		sample.add(candidate);
	}

	return sample;
}
