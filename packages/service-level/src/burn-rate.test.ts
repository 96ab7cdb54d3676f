import {describe, it} from 'node:test';
import {expect} from 'earl';
import {burnRate} from './burn-rate.js';

describe('burnRate', () => {
	it('is 1 when the failure rate equals the allowed rate', () => {
		expect(burnRate({total: 1000, bad: 50}, 0.95)).toEqual(expect.closeTo(1, 1e-9));
	});

	it('is 0 without requests', () => {
		expect(burnRate({total: 0, bad: 0}, 0.95)).toEqual(0);
	});
});
