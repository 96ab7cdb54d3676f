/** Repeats calls to the leader that come to no result, for as long as a handover of the leadership takes. */

import {setTimeout as sleep} from 'node:timers/promises';

/** A handover takes a few round trips and two writes; the leader gives one up that takes longer than its election timeout, which is shorter than this. */
const handoverTimeoutMs = 700;
const retryPauseMs = 10;

/** Repeats an attempt, which must be safe to repeat, until it has a result or the time of a handover has passed since the first one began. */
export async function whileLeaderChanges<Value>(attempt: () => Promise<Value | undefined>): Promise<Value | undefined> {
	const startedAtMs = performance.now();
	for (;;) {
		const value = await attempt();
		if (value !== undefined || performance.now() - startedAtMs > handoverTimeoutMs) {
			return value;
		}

		await sleep(retryPauseMs);
	}
}
