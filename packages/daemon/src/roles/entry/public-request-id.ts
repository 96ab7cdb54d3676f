/**
The request id that callers receive. It contains the attempt and the target whose agent holds the response, so that any entry can
find the response. It grants no access: the agent returns a response only to the client account that owns it.
*/

import type {ClaimedAttempt} from '@rattanspring/request-ledger';

/** The contents of a request id. */
export type PublicRequestId = ClaimedAttempt;

const separator = '~';

/** Formats a request id. Target ids do not contain the separator. */
export function formatPublicRequestId(name: PublicRequestId): string {
	return [name.requestId, name.attempt, name.incarnation, name.targetId].join(separator);
}

/** Parses a request id; returns undefined if it is malformed. */
export function parsePublicRequestId(text: string): PublicRequestId | undefined {
	const [requestId, attemptText, incarnationText, targetId, ...rest] = text.split(separator);
	const attempt = Number(attemptText);
	const incarnation = Number(incarnationText);
	const isValid = requestId && targetId && rest.length === 0 && Number.isSafeInteger(attempt) && Number.isSafeInteger(incarnation);
	return isValid
		? {
			requestId, attempt, incarnation, targetId,
		}
		: undefined;
}
