import {describe, it} from 'node:test';
import type {Crash} from '@rattanspring/placement';
import {expect} from 'earl';
import {CrashWatch} from './crash-watch.js';

const crash: Crash = {fingerprint: 'f', targetId: 't', bornMs: 1};

async function crashesAt(reached: boolean): Promise<{readonly crashes: Crash[]; readonly looks: number}> {
	const crashes: Crash[] = [];
	let looks = 0;
	const watch = new CrashWatch({
		lookAfterMs: 5,
		async isReachable() {
			looks++;
			return reached;
		},
		onCrash(found) {
			crashes.push(found);
		},
	});
	watch.suspect(crash, '10.0.0.1:80');
	watch.suspect({...crash, fingerprint: 'g'}, '10.0.0.1:80');
	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	return {crashes, looks};
}

describe('CrashWatch', () => {
	it('reports no crash if the target still listens, as the connection broke for another reason', async () => {
		expect(await crashesAt(true)).toEqual({crashes: [], looks: 1});
	});

	it('reports a crash for every request that was running on an unreachable target', async () => {
		const {crashes} = await crashesAt(false);
		expect(crashes.map(({fingerprint}) => fingerprint)).toEqual(['f', 'g']);
	});
});
