/**
Selects targets for the requests of an entry, from the directory, the entry's own dispatches and the prefix caches.
*/

import {randomInt} from 'node:crypto';
import {
	reportUnreachable, servingTargets, type DirectoryEntry, type DirectoryState,
} from '@rattanspring/directory';
import {effectiveNumber} from '@rattanspring/fleet-state';
import {
	cacheSaltOf, chooseTarget, OwnDispatches, prefixDigestOf, PrefixIndex,
} from '@rattanspring/routing';
import type {Clock, RequestFailureType, TargetId} from '@rattanspring/types';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {requestProfile, type RequestProfile} from './request-profile.js';

/** Maximum number of prompt tokens that a cached prefix saves. */
const prefixTokens = 64;

/** Failures after which a target is not selected until its next announcement. */
const unreachableFailures: ReadonlySet<RequestFailureType> = new Set<RequestFailureType>(['noTarget', 'targetFailed', 'targetCrashed', 'draining']);

/** A request for which a target is selected. */
export type RoutedRequest = {readonly clientAccount: string; readonly service: string; readonly body: Uint8Array};

/** Fields that routing adds to the message for an attempt. */
export type RoutingFields = {readonly costTokens: number; readonly prefillTokens: number; readonly fairShare: number; readonly headers: Readonly<Record<string, string>>};

/** Policy by which an entry selects targets. */
export abstract class TargetPolicy {
	/** Returns the target for the next attempt; undefined if there is none. */
	abstract choose(request: RoutedRequest, candidates: readonly DirectoryEntry[], excluded: ReadonlySet<TargetId>): DirectoryEntry | undefined;
	/** Returns the number of prompt tokens that a target has to process for a request. */
	abstract prefillTokens(request: RoutedRequest, targetId: TargetId): number;
	/** Records a dispatch. The caller must call the returned function when the dispatch has ended. */
	abstract recordDispatch(request: RoutedRequest, targetId: TargetId): () => void;
}

/** Options of `TargetSelector`. */
export type TargetSelectorOptions = {
	readonly directory: DirectoryState;
	readonly inForce: InForceConfiguration;
	readonly clock: Clock;
	/** By default the target with the lowest score in a random sample. */
	readonly policy?: TargetPolicy;
};

/** Selects targets and records failures for later selections. */
export class TargetSelector {
	readonly #options: TargetSelectorOptions;
	readonly #policy: TargetPolicy;

	constructor(options: TargetSelectorOptions) {
		this.#options = options;
		this.#policy = options.policy ?? new ScoreBasedPolicy(options);
	}

	/** Returns the target for the next attempt; undefined if there is none. */
	choose(request: RoutedRequest, excluded: ReadonlySet<TargetId>): DirectoryEntry | undefined {
		const {directory, clock} = this.#options;
		return this.#policy.choose(request, servingTargets(directory, request.service, clock.monotonicMs()), excluded);
	}

	/** Records a dispatch. The caller must call the returned function when the dispatch has ended. */
	recordDispatch(request: RoutedRequest, targetId: TargetId): () => void {
		return this.#policy.recordDispatch(request, targetId);
	}

	/** Records a failed attempt; marks the target as unreachable if the failure says so. */
	failed(targetId: TargetId, type: RequestFailureType): void {
		if (unreachableFailures.has(type)) {
			reportUnreachable(this.#options.directory, targetId);
		}
	}

	/** Returns the routing fields of an attempt. The cache salt replaces one that the caller sent. */
	fieldsFor(request: RoutedRequest, targetId: TargetId): RoutingFields {
		const {inForce, clock} = this.#options;
		const {clientAccount, service} = request;
		return {
			costTokens: requestProfile(request.body).costTokens,
			prefillTokens: this.#policy.prefillTokens(request, targetId),
			fairShare: effectiveNumber(inForce.configuration, 'account.fairShare', {clientAccount, service}, clock.wallMs()),
			headers: {'x-cache-salt': cacheSaltOf(clientAccount)},
		};
	}
}

/** Selects the target with the lowest score in a random sample. */
class ScoreBasedPolicy extends TargetPolicy {
	readonly #options: Pick<TargetSelectorOptions, 'inForce' | 'clock'>;
	readonly #ownDispatches = new OwnDispatches();
	readonly #prefixes = new PrefixIndex();
	readonly #generator = xoroshiro128plus(randomInt(0x7F_FF_FF_FF));

	constructor(options: Pick<TargetSelectorOptions, 'inForce' | 'clock'>) {
		super();
		this.#options = options;
	}

	choose(request: RoutedRequest, candidates: readonly DirectoryEntry[], excluded: ReadonlySet<TargetId>): DirectoryEntry | undefined {
		const {inForce, clock} = this.#options;
		const {clientAccount, service} = request;
		const profile = requestProfile(request.body);
		return chooseTarget({
			candidates,
			excluded,
			ownDispatches: this.#ownDispatches,
			prefixes: this.#prefixes,
			prefixDigest: profile.promptTokens > 0 ? prefixDigestOf(clientAccount, profile.prompt) : '',
			promptTokens: profile.promptTokens,
			prefixTokens: Math.min(prefixTokens, profile.promptTokens),
			sampleSize: effectiveNumber(inForce.configuration, 'routing.sampleSize', {clientAccount, service}, clock.wallMs()),
			random: () => uniformFloat64(this.#generator),
			nowMs: clock.monotonicMs(),
		});
	}

	prefillTokens(request: RoutedRequest, targetId: TargetId): number {
		const {promptTokens, prompt} = requestProfile(request.body);
		const isCached = promptTokens > 0 && this.#prefixes.has(targetId, prefixDigestOf(request.clientAccount, prompt));
		return isCached ? Math.max(0, promptTokens - prefixTokens) : promptTokens;
	}

	recordDispatch(request: RoutedRequest, targetId: TargetId): () => void {
		const profile: RequestProfile = requestProfile(request.body);
		const prefillTokens = this.prefillTokens(request, targetId);
		if (profile.promptTokens > 0) {
			this.#prefixes.recordDispatch(targetId, prefixDigestOf(request.clientAccount, profile.prompt));
		}

		return this.#ownDispatches.add({
			targetId, tokens: profile.costTokens, prefillTokens, atMs: this.#options.clock.monotonicMs(),
		});
	}
}
