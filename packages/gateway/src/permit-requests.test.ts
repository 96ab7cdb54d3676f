import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {PermitHolder, type PermitRequest, type TargetLimit} from '@rattanspring/target-limits';
import {expect} from 'earl';
import {PermitRequests} from './permit-requests.js';

/** Plays requests of one entry, none of which gets a permit, and returns the number of calls. */
async function callsOf({targetCount, requestCount}: {readonly targetCount: number; readonly requestCount: number}): Promise<number> {
	const targets: TargetLimit[] = Array.from({length: targetCount}, (_, index) => ({targetId: `t${index}`, bornMs: 1, coldPerSecond: 15}));
	const calls: PermitRequest[] = [];
	let nowMs = 0;
	const requests = new PermitRequests({
		permits: new PermitHolder(), limitedTargets: () => targets, waitingCount: () => 1, async take(request) {
			calls.push(request);
			return {granted: 0, retryInMs: 50};
		},
		onGranted: () => undefined, nowMs: () => nowMs, random: () => 0.5,
	});
	for (let count = 0; count < requestCount; count++) {
		requests.ask('s');
		for (const endMs = nowMs + 100; nowMs < endMs; nowMs += 10) {
			requests.askForWaiting('s');
			await nextTurn();
		}
	}

	return calls.length;
}

describe('calls for permits', () => {
	it('grow with the requests, and not with the targets that could be asked', async () => {
		const few = await callsOf({targetCount: 8, requestCount: 20});
		const manyTargets = await callsOf({targetCount: 80, requestCount: 20});
		const manyRequests = await callsOf({targetCount: 80, requestCount: 40});
		expect(few > 0 && manyTargets <= 1.2 * few).toEqual(true);
		expect(manyRequests <= 2.2 * manyTargets).toEqual(true);
		expect(manyTargets).toBeLessThanOrEqual(20 * 5);
	});
});
