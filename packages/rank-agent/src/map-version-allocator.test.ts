import {describe, it} from 'node:test';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {MapVersionAllocator} from './map-version-allocator.js';

const nowMs = 1_796_000_000_000;
const pairCount = 1000;

describe('MapVersionAllocator', () => {
	const random = seededRandom(1);
	const allocator = (wallMs: () => number): MapVersionAllocator => new MapVersionAllocator(wallMs, limit => Math.floor(random() * limit));

	/** How many of many pairs of allocators allocate the same version next. */
	const sameOf = (pair: () => readonly [MapVersionAllocator, MapVersionAllocator]): number => Array.from({length: pairCount}, pair).filter(([one, other]) => one.next() === other.next()).length;

	it('does not give two agents the same version at the same time, also if both have observed the same one', () => {
		const observing = (version: number): MapVersionAllocator => {
			const created = allocator(() => nowMs);
			created.observe(version);
			return created;
		};

		const sameAtOnce = sameOf(() => [allocator(() => nowMs), allocator(() => nowMs)]);
		const sameAfter = sameOf(() => [observing(1e15), observing(1e15)]);
		expect(Math.max(sameAtOnce, sameAfter)).toBeLessThan(pairCount / 100);
	});

	it('does not give a restarted agent whose clock went back a version that it gave before', () => {
		let repeatedCount = 0;
		for (let trial = 0; trial < pairCount; trial++) {
			const before = allocator(() => nowMs);
			const given = Array.from({length: 20}, () => before.next());
			const restarted = allocator(() => nowMs - 2000);
			restarted.observe(given[0]);
			repeatedCount += given.includes(restarted.next()) ? 1 : 0;
		}

		expect(repeatedCount).toBeLessThan(pairCount / 100);
	});

	it('increases, also while the clock stands still, and goes beyond what it observes of other builds', () => {
		const versions = allocator(() => nowMs);
		const first = versions.next();
		expect(versions.next()).toBeGreaterThan(first);
		versions.observe(first + 1e9);
		expect(versions.next()).toBeGreaterThan(first + 1e9);
		expect(Number.isSafeInteger(first)).toEqual(true);
	});
});
