import {describe, it} from 'node:test';
import {expect} from 'earl';
import {type BrokenRequest, CrashDetector} from './crash-detector.js';

const crash: BrokenRequest = {
	requestId: 'f', targetId: 't', bornMs: 1, components: [],
};

async function crashesAt(reached: boolean): Promise<{readonly crashes: BrokenRequest[]; readonly probeCount: number}> {
	const crashes: BrokenRequest[] = [];
	let probeCount = 0;
	const watch = new CrashDetector({
		probeDelayMs: 5,
		async isReachable() {
			probeCount++;
			return reached;
		},
		onCrash(_target, found) {
			crashes.push(...found);
		},
	});
	const checks = [watch.check(crash, '10.0.0.1:80'), watch.check({...crash, requestId: 'g'}, '10.0.0.1:80')];
	expect(await Promise.all(checks)).toEqual([!reached, !reached]);
	return {crashes, probeCount};
}

describe('CrashDetector', () => {
	it('reports no crash if the target still listens, as the connection broke for another reason', async () => {
		expect(await crashesAt(true)).toEqual({crashes: [], probeCount: 1});
	});

	it('reports a crash for every request that was running on an unreachable target', async () => {
		const {crashes} = await crashesAt(false);
		expect(crashes.map(({requestId}) => requestId)).toEqual(['f', 'g']);
	});
});
