import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	type CallerKind, capacityOf, simulateCallers, worthOf,
} from './test-callers.js';

describe('callers who come back at once and often', () => {
	it('gain nothing over those who come back when told', () => {
		const capacity = capacityOf(18);
		const told: CallerKind = {
			name: 'told', priority: 1, objectiveMs: 500, deadlineMs: 8000, perSecond: () => capacity * 0.8,
		};
		const early: CallerKind = {
			...told, name: 'early', perSecond: () => capacity * 0.5, returnAfterMs: 10, maxTries: 6,
		};
		const records = [1, 2, 3].flatMap(seed => simulateCallers({seed, kinds: [told, early], forMs: 12_000}));
		const mean = (kind: CallerKind) => {
			const own = records.filter(record => record.kind === kind);
			return worthOf(own) / own.length;
		};

		expect(mean(early)).toBeLessThan(mean(told) * 1.05);
	});
});
