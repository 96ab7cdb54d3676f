/**
Runs a request until its final response has been sent. This is the only layer that retries: an idempotent request is retried on
another target as long as no byte of a response has been sent. `ClaimedRunner` handles non-idempotent requests.
*/

import {randomUUID} from 'node:crypto';
import type {ControlAccess} from '@rattanspring/control-client';
import type {DirectoryState} from '@rattanspring/directory';
import type {Logger} from '@rattanspring/logger';
import type {SuspectListCache} from '@rattanspring/routing';
import type {Clock, RequestFailure} from '@rattanspring/types';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import type {AgentConnections} from '../../ports/agent-connection.js';
import type {CallerResponse} from './caller-response.js';
import type {CallerRequest} from './caller-request.js';
import {ClaimedRunner} from './claimed-runner.js';
import {Dispatcher, type Dispatch} from './dispatcher.js';
import {EventSkipper} from './event-skipper.js';
import type {AttemptEvent} from './frame-check.js';
import {notRun} from './problem.js';
import {RequestRouter, type RoutedRun} from './request-routing.js';
import {parsePublicRequestId, formatPublicRequestId, type PublicRequestId} from './public-request-id.js';

/** Maximum length of a key in the ledger. */
const maxIdempotencyKeyLength = 200;

/** Retry-After value where no target is known. */
const noTargetRetryAfterMs = 1000;

/** Options of `RequestRunner`. */
export type RequestRunnerOptions = {
	readonly directory: DirectoryState;
	readonly suspects: SuspectListCache;
	readonly inForce: InForceConfiguration;
	readonly agents: AgentConnections;
	readonly control: ControlAccess;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Request of a caller to resume a response. */
export type ResumeRequest = {
	readonly requestId: string;
	readonly clientAccount: string;
	/** Id of the last event that the caller received; empty if it received none. */
	readonly lastEventId: string;
};

/** Runs requests and resumes responses. */
export class RequestRunner {
	readonly #dispatcher: Dispatcher;
	readonly #router: RequestRouter;
	readonly #claimedRunner: ClaimedRunner;

	constructor(options: RequestRunnerOptions) {
		this.#dispatcher = new Dispatcher(options);
		this.#router = new RequestRouter(options);
		this.#claimedRunner = new ClaimedRunner({...options, dispatcher: this.#dispatcher});
	}

	/** Runs a request until its final response has been sent. */
	async run(request: CallerRequest, answer: CallerResponse): Promise<void> {
		const requestId = randomUUID();
		const {idempotencyKey} = request;
		if (request.idempotencyClass === 'nonIdempotent' && !idempotencyKey) {
			answer.fail(notRun('idempotencyKeyMissing', 'This route runs at most once; send an Idempotency-Key header.'));
			return;
		}

		if (idempotencyKey && idempotencyKey.length > maxIdempotencyKeyLength) {
			answer.fail(notRun('malformedRequest', `An Idempotency-Key has at most ${maxIdempotencyKeyLength} characters.`));
			return;
		}

		const begun = await this.#router.begin(request, requestId);
		if (!begun.ok) {
			answer.fail(withUnknownExecutionIfClaimed(request, begun.failure));
			return;
		}

		const run = begun.value;
		try {
			await (request.idempotencyClass === 'nonIdempotent' && idempotencyKey
				? this.#claimedRunner.run({
					requestId, request, idempotencyKey, run,
				}, answer)
				: this.#runIdempotent(requestId, request, run, answer));
		} finally {
			await run.end();
		}
	}

	/** Sends the part of a response that follows the last event that the caller received. */
	async resume(request: ResumeRequest, answer: CallerResponse): Promise<void> {
		const name = parsePublicRequestId(request.requestId);
		if (!name) {
			answer.fail({type: 'unknownRequest', message: 'There is no such request.', execution: 'unknown'});
			return;
		}

		const skipper = new EventSkipper(request.lastEventId);
		const failure = await this.#copyResponse(this.#dispatcher.follow(name, request.clientAccount), name, answer, skipper);
		if (failure) {
			answer.fail(failure);
		}
	}

	async #runIdempotent(requestId: string, request: CallerRequest, run: RoutedRun, answer: CallerResponse): Promise<void> {
		let failure = notRun('noTarget', `No target serves "${request.service}" now.`, noTargetRetryAfterMs);
		for (let attempt = 1; ; attempt++) {
			const target = run.nextTarget();
			if (!target) {
				break;
			}

			const ended = await this.#attempt({
				request, target, name: {requestId, attempt}, run,
			}, answer);
			if (!ended) {
				run.recordSuccess();
				return;
			}

			const mayRunAgain = !answer.isStarted && !answer.isClosed && this.#dispatcher.remainingMs(request) > 0;
			const callerFailure = await run.failed({
				targetId: target.announcement.targetId, attempt, failure: ended, mayRunAgain,
			});

			// If an earlier attempt may have run, the request may have run, even if a later attempt did not.
			const last = callerFailure ?? ended;
			failure = failure.execution === 'unknown' ? {...last, execution: 'unknown'} : last;
			if (callerFailure) {
				break;
			}
		}

		answer.fail(failure);
	}

	async #attempt(dispatch: Dispatch, answer: CallerResponse): Promise<RequestFailure | undefined> {
		const {targetId, incarnation} = dispatch.target.announcement;
		const publicRequestId: PublicRequestId = {...dispatch.name, targetId, incarnation};
		const failure = await this.#copyResponse(this.#dispatcher.dispatch(dispatch), publicRequestId, answer);
		if (failure?.type === 'cancelled' && !answer.isResumable) {
			this.#dispatcher.cancel(publicRequestId, dispatch.request.clientAccount);
		}

		return failure;
	}

	/** Copies a response to the caller; returns the failure, or undefined if the response was complete. */
	async #copyResponse(events: AsyncIterable<AttemptEvent>, name: PublicRequestId, answer: CallerResponse, skipper?: EventSkipper): Promise<RequestFailure | undefined> {
		for await (const event of events) {
			if (answer.isClosed) {
				return {type: 'cancelled', message: 'The caller has left.', execution: 'unknown'};
			}

			switch (event.kind) {
				case 'head': {
					answer.head(event.status, {...event.headers, 'x-request-id': formatPublicRequestId(name)});
					break;
				}

				case 'data': {
					const bytes = skipper ? skipper.bytesAfterEvent(event.bytes) : event.bytes;
					await answer.data(bytes);
					break;
				}

				case 'failed': {
					return event.failure;
				}

				case 'whole': {
					break;
				}
			}
		}

		if (skipper && !skipper.isFound) {
			return {type: 'unknownRequest', message: 'The answer has no event with this id.', execution: 'ran'};
		}

		answer.end();
		return undefined;
	}
}

/** Marks a failure that precedes the ledger lookup of a non-idempotent request as `unknown`, as an earlier request with the same key may have run. */
function withUnknownExecutionIfClaimed(request: CallerRequest, failure: RequestFailure): RequestFailure {
	return request.idempotencyClass === 'nonIdempotent' ? {...failure, execution: 'unknown'} : failure;
}
