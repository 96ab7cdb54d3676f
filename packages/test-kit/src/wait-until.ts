/** Polls for a condition in tests. */

import {setTimeout as sleep} from 'node:timers/promises';
import {FailureError} from '@rattanspring/types';

export type WaitUntilOptions = {readonly timeoutMs?: number; readonly pollMs?: number};

/** Polls a condition until it holds; throws a conditionNotMet failure after the timeout. */
export async function waitUntil(condition: () => boolean | Promise<boolean>, {timeoutMs = 60_000, pollMs = 10}: WaitUntilOptions = {}): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > deadlineMs) {
			throw new FailureError({type: 'conditionNotMet', message: `The condition was not met within ${timeoutMs} ms.`});
		}

		await sleep(pollMs);
	}
}
