/** What follows when an exchange with a target did not bring a good answer. */

import type {CallKind} from '@rattanspring/desired-state';

/** How an exchange ended without a good answer. */
export type AttemptOutcome
	/** Not one byte went out. */
	= | 'notSent'
	/** The target says that it did not run the request, and never will. */
		| 'notRun'
	/** The target answered with a failure of its own. */
		| 'failed'
	/** It is not known whether the request ran, or how far. */
		| 'broken';

/** What to do next. `refuse` promises the caller that the request did not run. */
export type NextStep = 'tryAnother' | 'refuse' | 'fail';

/** The request so far. */
export type AttemptHistory = {
	readonly kind: CallKind;
	readonly isResumable: boolean;
	readonly outcome: AttemptOutcome;
	/** Targets it was sent to. */
	readonly sentCount: number;
	/** Targets that could not be reached. */
	readonly unreachedCount: number;
	readonly maxAttempts: number;
	/** Whether some target may have run it, or a part of it. */
	readonly mayHaveRun: boolean;
};

/** Targets that may turn out to be out of reach before a request is refused. */
const maxUnreached = 3;

/** Decides; a repeat still needs a place in the retry budget. */
export function nextStep(history: AttemptHistory): NextStep {
	const giveUp = history.mayHaveRun ? 'fail' : 'refuse';
	if (history.outcome === 'notSent') {
		return history.unreachedCount > maxUnreached ? giveUp : 'tryAnother';
	}

	const mayRepeat = history.outcome === 'notRun' || isRetryable(history);
	if (mayRepeat && history.sentCount < history.maxAttempts) {
		return 'tryAnother';
	}

	return history.outcome === 'notRun' ? giveUp : 'fail';
}

/** Whether a request may run more than once. */
export function isRetryable({kind, isResumable}: Pick<AttemptHistory, 'kind' | 'isResumable'>): boolean {
	return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}
