import {describe, it} from 'node:test';
import {fuzz} from './request-path.fuzz.js';

describe('request path', () => {
	it('runs every order at most once and answers it completely or with a correct failure, under seeded faults', async () => {
		await fuzz({seed: 5, runs: 300});
	});
});
