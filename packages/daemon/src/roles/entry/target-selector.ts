/**
Chooses targets for an entry: directory, own dispatches and prefix caches brought together.
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

/** Prompt tokens that a cached prefix saves at most. */
const prefixTokens = 64;

/** Failures after which a target is left out until it announces itself anew. */
const unreachableFailures: ReadonlySet<RequestFailureType> = new Set<RequestFailureType>(['noTarget', 'targetFailed', 'targetCrashed', 'draining']);

/** A request for which a target is chosen. */
export type RoutedRequest = {readonly clientAccount: string; readonly service: string; readonly body: Uint8Array};

/** What an attempt tells its agent on behalf of routing. */
export type RoutingFields = {readonly costTokens: number; readonly prefillTokens: number; readonly fairShare: number; readonly headers: Readonly<Record<string, string>>};

/** Chooses a target for a request; one policy of an entry. */
export abstract class TargetPolicy {
	/** Returns the target to try next; undefined where none is left. */
	abstract choose(request: RoutedRequest, candidates: readonly DirectoryEntry[], excluded: ReadonlySet<TargetId>): DirectoryEntry | undefined;
	/** Prompt tokens that a target has to process for a request. */
	abstract prefillTokens(request: RoutedRequest, targetId: TargetId): number;
	/** Counts a dispatch; end it with the returned function. */
	abstract recordDispatch(request: RoutedRequest, targetId: TargetId): () => void;
}

/** Options of the choice. */
export type TargetSelectorOptions = {
	readonly directory: DirectoryState;
	readonly inForce: InForceConfiguration;
	readonly clock: Clock;
	/** The lowest score of a sample by default. */
	readonly policy?: TargetPolicy;
};

/** Chooses targets and keeps what later choices depend on. */
export class TargetSelector {
	readonly #options: TargetSelectorOptions;
	readonly #policy: TargetPolicy;

	constructor(options: TargetSelectorOptions) {
		this.#options = options;
		this.#policy = options.policy ?? new ScoreBasedPolicy(options);
	}

	/** Returns the target to try next; undefined where none is left. */
	choose(request: RoutedRequest, excluded: ReadonlySet<TargetId>): DirectoryEntry | undefined {
		const {directory, clock} = this.#options;
		return this.#policy.choose(request, servingTargets(directory, request.service, clock.monotonicMs()), excluded);
	}

	/** Counts a dispatch; end it with the returned function. */
	recordDispatch(request: RoutedRequest, targetId: TargetId): () => void {
		return this.#policy.recordDispatch(request, targetId);
	}

	/** Learns from a failed attempt. */
	failed(targetId: TargetId, type: RequestFailureType): void {
		if (unreachableFailures.has(type)) {
			reportUnreachable(this.#options.directory, targetId);
		}
	}

	/** Fields of an attempt; the cache salt replaces any that a caller sent. */
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

/** The lowest score of a sample. */
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
