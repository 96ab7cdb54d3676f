/**
The execution state of a request, and the failures with which a request can end.
*/

/**
- `didNotRun`: the agent sealed the attempt before passing it to the target.
- `unknown`: the target may have run it.
- `ran`: the target ran it.
*/
export type Execution = 'didNotRun' | 'unknown' | 'ran';

/** Whether a request may be executed more than once. Unclassified routes are treated as non-idempotent. */
export type IdempotencyClass = 'idempotent' | 'nonIdempotent';

/** Why a request ended without an answer from a target. */
export type RequestFailureType
	= | 'unauthenticated'
		| 'forbidden'
		| 'malformedRequest'
		| 'bodyTooLarge'
		| 'unknownService'
		| 'noTarget'
		| 'overloaded'
		| 'accountLimitReached'
		| 'deadlineExceeded'
		| 'deadlineUnreachable'
		| 'idempotencyKeyMissing'
		| 'idempotencyKeyReused'
		| 'outcomeUnknown'
		| 'inProgress'
		| 'ledgerUnavailable'
		| 'configurationNotInForce'
		| 'draining'
		| 'suspectRefused'
		| 'targetFailed'
		| 'targetCrashed'
		| 'answerTruncated'
		| 'notOwner'
		| 'unknownRequest'
		| 'cancelled'
		| 'internal';

/** The final answer to a request that failed. */
export type RequestFailure = {
	readonly type: RequestFailureType;
	readonly message: string;
	readonly execution: Execution;
	/** Delay after which the caller may retry; absent if a retry cannot help. */
	readonly retryAfterMs?: number;
};
