import {describe, it} from 'node:test';
import {seededRandom} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {applyChanges, type Change, computeChanges} from './document-changes.js';

const routes = Array.from({length: 500}, (_, index) => ({name: `r-${index}`, split: [{service: 'a', weight: index}, {service: 'b', weight: 1}]}));

function documentOf(version: number, list: readonly unknown[]): string {
	return JSON.stringify({version, routes: list, limits: {maxBodyBytes: 9}});
}

describe('changes between two documents', () => {
	it('turn the earlier text into the later one', () => {
		const earlier = documentOf(1, routes);
		const random = seededRandom(7);
		for (let round = 0; round < 50; round++) {
			const later = documentOf(round, [...routes.filter(() => random() < 0.9), {name: `new-${round}`}, ...routes.filter(() => random() < 0.05)]);
			expect(applyChanges(earlier, computeChanges(earlier, later))).toEqual(later);
		}
	});

	it('are short if a few routes differ', () => {
		const changes = computeChanges(documentOf(1, routes), documentOf(2, routes.with(250, {name: 'other', split: []})));
		expect(JSON.stringify(changes).length).toBeLessThan(300);
	});

	it('work with empty texts and texts without braces', () => {
		for (const [earlier, later] of [['', 'abc'], ['abc', ''], ['abc', 'abd'], ['}}', '}}}']]) {
			expect(applyChanges(earlier, computeChanges(earlier, later))).toEqual(later);
		}
	});

	it('are refused if they do not fit the text', () => {
		for (const change of [[0, 9], [-1, 1], [0, 0], [0.5, 1], [3, 1]] as Change[]) {
			expect(applyChanges('a}b}c', [change])).toEqual(undefined);
		}
	});
});
