/**
Routes a request over all its attempts: admission, the run permit, target selection and the decision whether a failed attempt is
retried.
*/

import type {ControlAccess} from '@rattanspring/control-client';
import type {DirectoryEntry} from '@rattanspring/directory';
import type {SuspectListCache} from '@rattanspring/routing';
import {
	err, ok, type RequestFailure, type RequestId, type Result, type TargetId,
} from '@rattanspring/types';
import {Admission} from './admission.js';
import {SuspectGuard, type RunPermit, type RequestContent} from './suspect-guard.js';
import {TargetSelector, type RoutingFields, type TargetSelectorOptions} from './target-selector.js';

/** Maximum number of attempts per request, each on a different target. */
const maxAttempts = 3;

/** A request to route. */
export type RoutableRequest = RequestContent & {readonly deadlineMs: number};

/** Options of `RequestRouter`. */
export type RequestRouterOptions = TargetSelectorOptions & {
	readonly control: ControlAccess;
	readonly suspects: SuspectListCache;
};

/** Routes the requests of one entry. */
export class RequestRouter {
	readonly #admission: Admission;
	readonly #guard: SuspectGuard;
	readonly #targetSelector: TargetSelector;

	constructor(options: RequestRouterOptions) {
		this.#admission = new Admission(options);
		this.#guard = new SuspectGuard({...options, suspectList: options.suspects});
		this.#targetSelector = new TargetSelector(options);
	}

	/** Admits a request. A request that is not admitted has not run. The caller must call `end` on an admitted run. */
	async begin(request: RoutableRequest, requestId: RequestId): Promise<Result<RoutedRun, RequestFailure>> {
		const admitted = this.#admission.admit(request);
		if (!admitted.ok) {
			return admitted;
		}

		const permit = await this.#guard.acquirePermit(request, requestId);
		if (!permit.ok) {
			admitted.value();
			return err(permit.failure);
		}

		return ok(new RoutedRun({
			request, permit: permit.value, admission: this.#admission, targetSelector: this.#targetSelector, release: admitted.value,
		}));
	}
}

type RoutedRunOptions = {
	readonly request: RoutableRequest;
	readonly permit: RunPermit;
	readonly admission: Admission;
	readonly targetSelector: TargetSelector;
	readonly release: () => void;
};

/** A failed attempt. `mayRunAgain`: the request certainly did not run, or is allowed to run twice. */
export type FailedAttempt = {readonly targetId: TargetId; readonly attempt: number; readonly failure: RequestFailure; readonly mayRunAgain: boolean};

/** An admitted request. */
export class RoutedRun {
	readonly #options: RoutedRunOptions;
	readonly #triedTargets = new Set<TargetId>();
	#isWhole = false;

	constructor(options: RoutedRunOptions) {
		this.#options = options;
	}

	/** Returns a target that has not been tried yet for the next attempt; undefined if there is none. */
	nextTarget(): DirectoryEntry | undefined {
		return this.#options.targetSelector.choose(this.#options.request, this.#triedTargets);
	}

	/** Returns the routing fields of the message for the next attempt. */
	attemptFields(targetId: TargetId): RoutingFields & {readonly alone: boolean} {
		return {...this.#options.targetSelector.fieldsFor(this.#options.request, targetId), alone: this.#options.permit.isAlone};
	}

	/** Records a dispatch. The caller must call the returned function when the dispatch has ended. */
	recordDispatch(targetId: TargetId): () => void {
		this.#triedTargets.add(targetId);
		return this.#options.targetSelector.recordDispatch(this.#options.request, targetId);
	}

	/** Handles a failed attempt. Returns the failure to send to the caller, or undefined if another attempt is to be made. */
	async failed({targetId, attempt, failure, mayRunAgain}: FailedAttempt): Promise<RequestFailure | undefined> {
		const {targetSelector, permit, admission, request} = this.#options;
		targetSelector.failed(targetId, failure.type);
		if (failure.type === 'targetCrashed') {
			// A rerun alone on a target is limited by the rules for suspects, not by the retry budget.
			return permit.crashed({targetId, attempt}, mayRunAgain && attempt < maxAttempts);
		}

		const mayRetry = mayRunAgain && attempt < maxAttempts && admission.tryConsumeRetry(request);
		return mayRetry ? undefined : failure;
	}

	/** Records that the response was complete. */
	recordSuccess(): void {
		this.#isWhole = true;
	}

	/** Ends the run. Must be called whatever the result. */
	async end(): Promise<void> {
		this.#options.release();
		await this.#options.permit.end(this.#isWhole);
	}
}
