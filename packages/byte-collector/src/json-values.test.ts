import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {hasMoreValues} from './json-values.js';

/** The greatest number of values that the text has more of. */
function valuesIn(text: string): number {
	let count = 0;
	while (hasMoreValues(Buffer.from(text), count)) {
		count++;
	}

	return count;
}

describe('hasMoreValues', () => {
	it('counts objects, lists, names and other values', () => {
		expect(valuesIn('1')).toEqual(1);
		expect(valuesIn('[{},{},{}]')).toEqual(7);
		expect(valuesIn('{"a":1,"b":[2]}')).toEqual(6);
	});

	it('does not look into strings, whatever is escaped in them', () => {
		expect(valuesIn(String.raw`["a,[{:","\",\",", "\\\\",2]`)).toEqual(5);
		expect(valuesIn('["a string without an end,,,,')).toEqual(2);
	});
});
