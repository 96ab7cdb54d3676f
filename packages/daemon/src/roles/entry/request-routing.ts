/**
Routing of one request over all its attempts: admission, the right to run, the choice of targets and the decision
whether a failed attempt is followed by another.
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

/** Attempts at different targets for one request. */
const maxAttempts = 3;

/** A request to route. */
export type RoutableRequest = RequestContent & {readonly deadlineMs: number};

/** Options of routing. */
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

	/** Admits a request to its run, or says why not; nothing has run then. End an admitted run with `end`. */
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

/** A failed attempt. `mayRunAgain`: it surely did not run, or may run twice. */
export type FailedAttempt = {readonly targetId: TargetId; readonly attempt: number; readonly failure: RequestFailure; readonly mayRunAgain: boolean};

/** One admitted request. */
export class RoutedRun {
	readonly #options: RoutedRunOptions;
	readonly #triedTargets = new Set<TargetId>();
	#isWhole = false;

	constructor(options: RoutedRunOptions) {
		this.#options = options;
	}

	/** The target for the next attempt, none that was tried before; undefined where none is left. */
	nextTarget(): DirectoryEntry | undefined {
		return this.#options.targetSelector.choose(this.#options.request, this.#triedTargets);
	}

	/** Fields of the next attempt's message. */
	attemptFields(targetId: TargetId): RoutingFields & {readonly alone: boolean} {
		return {...this.#options.targetSelector.fieldsFor(this.#options.request, targetId), alone: this.#options.permit.isAlone};
	}

	/** Counts a dispatch; end it with the returned function. */
	recordDispatch(targetId: TargetId): () => void {
		this.#triedTargets.add(targetId);
		return this.#options.targetSelector.recordDispatch(this.#options.request, targetId);
	}

	/** Returns the failure to give to the caller, or undefined where another attempt follows. */
	async failed({targetId, attempt, failure, mayRunAgain}: FailedAttempt): Promise<RequestFailure | undefined> {
		const {targetSelector, permit, admission, request} = this.#options;
		targetSelector.failed(targetId, failure.type);
		if (failure.type === 'targetCrashed') {
			// The run alone on a target is bounded by the suspects' rules, not by the retry budget.
			return permit.crashed({targetId, attempt}, mayRunAgain && attempt < maxAttempts);
		}

		const mayRetry = mayRunAgain && attempt < maxAttempts && admission.tryConsumeRetry(request);
		return mayRetry ? undefined : failure;
	}

	/** Notes that the answer was whole. */
	recordSuccess(): void {
		this.#isWhole = true;
	}

	/** Ends the run; call it in every case. */
	async end(): Promise<void> {
		this.#options.release();
		await this.#options.permit.end(this.#isWhole);
	}
}
