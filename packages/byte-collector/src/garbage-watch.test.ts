import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GarbageWatch} from './garbage-watch.js';

describe('GarbageWatch', () => {
	it('has garbage collected once for so many bytes, however large the buffers are', () => {
		const collections: string[] = [];
		const watch = new GarbageWatch({
			collect(garbage) {
				collections.push(garbage);
			},
		});
		watch.setMaximum(1_000_000);
		for (let count = 0; count < 250; count++) {
			watch.addPiece(10_000);
		}

		expect(collections).toEqual(['young', 'young']);
		for (let count = 0; count < 5; count++) {
			watch.addBuffer(500_000);
			watch.addBuffer(1000);
		}

		expect(collections).toEqual(['young', 'young', 'all', 'all']);
	});

	it('does nothing where garbage can\'t be collected on demand', () => {
		const watch = new GarbageWatch();
		watch.setMaximum(1);
		expect(() => {
			watch.addBuffer(1_000_000);
		}).not.toThrow();
	});
});
