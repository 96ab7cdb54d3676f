/** Decides how to continue after an exchange with a target that did not end with a successful answer. */

import type {CallKind} from '@rattanspring/desired-state';

/** How an exchange ended without a successful answer. */
export type AttemptOutcome
	/** No byte of the request was sent. */
	= | 'notSent'
	/** The request can't be sent to any target; no byte of it was. */
		| 'unsendable'
	/** The target states that it did not run the request and will not run it later. */
		| 'notRun'
	/** The target answered with an error. */
		| 'failed'
	/** It is not known whether the request ran, or how far. */
		| 'broken';

/** What to do next. `refuse` guarantees to the caller that the request did not run. */
export type NextStep = 'tryAnother' | 'refuse' | 'fail';

/** Attempts of a request so far. */
export type AttemptHistory = {
	readonly kind: CallKind;
	readonly isResumable: boolean;
	readonly outcome: AttemptOutcome;
	/** Number of targets that the request was sent to. */
	readonly sentCount: number;
	/** Number of targets that could not be reached. */
	readonly unreachedCount: number;
	readonly maxAttempts: number;
	/** Whether a target may have run the request, fully or in part. */
	readonly mayHaveRun: boolean;
};

/** Number of unreachable targets that are tolerated before a request is refused. */
const maxUnreachable = 3;

/** Returns the next step; a retry still needs to be granted by the retry budget. */
export function nextStep(history: AttemptHistory): NextStep {
	const giveUp = history.mayHaveRun ? 'fail' : 'refuse';
	if (history.outcome === 'notSent') {
		return history.unreachedCount > maxUnreachable ? giveUp : 'tryAnother';
	}

	if (history.outcome === 'unsendable') {
		return giveUp;
	}

	const mayRetry = history.outcome === 'notRun' || isRetryable(history);
	if (mayRetry && history.sentCount < history.maxAttempts) {
		return 'tryAnother';
	}

	return history.outcome === 'notRun' ? giveUp : 'fail';
}

/** Whether a request may run more than once. */
export function isRetryable({kind, isResumable}: Pick<AttemptHistory, 'kind' | 'isResumable'>): boolean {
	return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}
