/**
The request id that callers see. It names the attempt and the target whose agent holds the answer, so that any entry can
find it. It gives no access: the agent hands an answer only to the client account that owns it.
*/

import type {ClaimedAttempt} from '@rattanspring/request-ledger';

/** What a request id names. */
export type PublicRequestId = ClaimedAttempt;

const separator = '~';

/** Makes the request id. Names of targets hold no separator. */
export function formatPublicRequestId(name: PublicRequestId): string {
	return [name.requestId, name.attempt, name.incarnation, name.targetId].join(separator);
}

/** Reads a request id; undefined if it is not one. */
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
