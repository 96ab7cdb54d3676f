/** Waiting for a state that nobody announces. */

import {setTimeout as sleep} from 'node:timers/promises';

/** Time between looks. */
const pollMs = 5;

/** Whether a condition came to hold within a time. */
export async function waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!condition()) {
		if (performance.now() > deadlineMs) {
			return false;
		}

		await sleep(pollMs);
	}

	return true;
}
