/** The final response to a request for which there is no response of a target: problem+json, with the `error` object that client libraries of model services read. */

import type {RequestFailure, RequestFailureType} from '@rattanspring/types';

const statusByType: Readonly<Record<RequestFailureType, number>> = {
	unauthenticated: 401,
	forbidden: 403,
	malformedRequest: 400,
	bodyTooLarge: 413,
	unknownService: 404,
	noTarget: 503,
	overloaded: 503,
	accountLimitReached: 429,
	deadlineExceeded: 504,
	deadlineUnreachable: 503,
	idempotencyKeyMissing: 400,
	idempotencyKeyReused: 422,
	outcomeUnknown: 409,
	inProgress: 409,
	ledgerUnavailable: 503,
	configurationNotInForce: 503,
	draining: 503,
	suspectRefused: 422,
	targetFailed: 502,
	targetCrashed: 502,
	answerTruncated: 502,
	notOwner: 404,
	unknownRequest: 404,
	cancelled: 499,
	internal: 500,
};

/** A failure as an HTTP response. */
export type Problem = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string};

/** Converts a failure to an HTTP response. */
export function toProblem(failure: RequestFailure): Problem {
	const status = statusByType[failure.type];
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (failure.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000)));
	}

	const body = JSON.stringify({
		type: failure.type, title: failure.message, status, execution: failure.execution, retryAfterMs: failure.retryAfterMs, error: {message: failure.message, type: failure.type, code: failure.type},
	});
	return {status, headers, body};
}

/** Creates the failure of a request that did not run on any target. */
export function notRun(type: RequestFailureType, message: string, retryAfterMs?: number): RequestFailure {
	return {
		type, message, execution: 'didNotRun', retryAfterMs,
	};
}
