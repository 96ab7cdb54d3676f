/** Waiting for a condition in tests. */

import {setTimeout as sleep} from 'node:timers/promises';
import {FailureError} from '@rattanspring/types';

/** Options of a wait. */
export type WaitUntilOptions = {readonly timeoutMs?: number; readonly pollMs?: number};

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>, {timeoutMs = 60_000, pollMs = 10}: WaitUntilOptions = {}): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > deadlineMs) {
			throw new FailureError({type: 'conditionNotMet', message: `The condition did not hold within ${timeoutMs} ms.`});
		}

		await sleep(pollMs);
	}
}
