import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FirstAttemptEstimator} from './first-attempt-estimator.js';

const route = {name: 'draft', timeoutMs: 8000};

describe('FirstAttemptEstimator', () => {
	it('reports a lower bound above 0 only beyond the spread of callers\' timeouts', () => {
		const estimator = new FirstAttemptEstimator();
		expect(estimator.estimate(route, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(estimator.estimate(route, 7000)).toEqual({atLeastMs: 0, atMostMs: 1000});
		expect(estimator.estimate(route, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
		expect(estimator.estimate(route, undefined)).toEqual({atLeastMs: 0, atMostMs: 0});
	});

	it('does not report a retry after operators raised the timeout', () => {
		const estimator = new FirstAttemptEstimator();
		expect(estimator.estimate({...route, timeoutMs: 12_000}, 8000)).toEqual({atLeastMs: 0, atMostMs: 0});
		expect(estimator.estimate({...route, timeoutMs: 12_000}, 6000)).toEqual({atLeastMs: 800, atMostMs: 2000});
	});

	it('uses the timeout of the route after operators lowered it', () => {
		const estimator = new FirstAttemptEstimator();
		estimator.estimate(route, 8022);
		expect(estimator.estimate({...route, timeoutMs: 3000}, 8022)).toEqual({atLeastMs: 0, atMostMs: 0});
	});
});
