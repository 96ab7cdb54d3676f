import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CandidateTable} from './candidate-table.js';

describe('CandidateTable', () => {
	it('does not grow with the number of those who ask, nor with their names, and keeps those it has', () => {
		const table = new CandidateTable();
		table.add({voterId: 'first', address: '10.0.0.1:1'}, 0);
		table.add({voterId: 'x'.repeat(10_000), address: '10.0.0.2:1'}, 0);
		for (let index = 0; index < 1000; index++) {
			table.add({voterId: `n${index}`, address: `10.0.1.${index % 250}:1`}, 0);
		}

		table.add({voterId: 'first', address: '10.0.0.1:1'}, 2000);
		expect(table.current(2000).length).toEqual(256);
		expect(table.has('first', 4000)).toEqual(true);
		table.add({voterId: 'last', address: '10.0.0.3:1'}, 4000);
		expect(table.current(4000).map(({voterId}) => voterId)).toEqual(['first', 'last']);
	});
});
