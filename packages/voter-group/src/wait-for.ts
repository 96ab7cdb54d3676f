/** Polls for a condition that has no change event. */

import {setTimeout as sleep} from 'node:timers/promises';

const pollIntervalMs = 5;

/** Polls a condition until it holds; returns false on timeout. */
export async function waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!condition()) {
		if (performance.now() > deadlineMs) {
			return false;
		}

		await sleep(pollIntervalMs);
	}

	return true;
}
