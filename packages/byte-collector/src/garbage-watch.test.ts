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
		watch.setMaxima({maxBytes: 1_000_000});
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

	it('has all garbage collected once the heap is too large, and again only after it has grown from what is alive', () => {
		let heapBytes = 0;
		let aliveBytes = 20_000_000;
		let collections = 0;
		const watch = new GarbageWatch({
			collect() {
				collections++;
				heapBytes = aliveBytes;
			},
			heapBytes: () => heapBytes,
		});
		watch.setMaxima({maxBytes: 1_000_000, maxHeapBytes: 48_000_000});
		const handle = (requests: number) => {
			for (let count = 0; count < requests; count++) {
				heapBytes += 10_000;
				watch.addRequest();
			}
		};

		handle(28_000);
		expect(collections).toEqual(9);
		aliveBytes = 60_000_000;
		handle(9000);
		expect(collections).toEqual(12);
	});

	it('does nothing where garbage can\'t be collected on demand', () => {
		const watch = new GarbageWatch();
		watch.setMaxima({maxBytes: 1, maxHeapBytes: 1});
		expect(() => {
			watch.addBuffer(1_000_000);
			for (let count = 0; count < 1000; count++) {
				watch.addRequest();
			}
		}).not.toThrow();
	});
});
