import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {decodeMap, encodeMap} from './map-encoding.js';

const mapArbitrary = fc.tuple(fc.integer({min: 1, max: 4}), fc.integer({min: 1, max: 5})).chain(([sets, ranks]) => {
	const list = fc.array(fc.nat({max: 400}), {maxLength: 6});
	return fc.array(fc.array(list, {minLength: ranks, maxLength: ranks}), {minLength: sets, maxLength: sets});
});

describe('an encoded map', () => {
	it('is the same after decoding', () => {
		fc.assert(fc.property(mapArbitrary, map => {
			expect(decodeMap(encodeMap(map)!)).toEqual(map);
		}));
	});

	it('takes one byte for each expert, one for the length of each list, and two more', () => {
		expect(encodeMap([[[1, 2, 3], [4, 5, 127]]])?.length).toEqual(10);
	});

	it('is refused if bytes are missing or left over', () => {
		const bytes = encodeMap([[[1, 2], [3]], [[4], [5, 6]]])!;
		for (let length = 0; length < bytes.length; length++) {
			expect(decodeMap(bytes.subarray(0, length))).toEqual(undefined);
		}

		expect(decodeMap(Uint8Array.from([...bytes, 1, 7]))).toEqual(undefined);
	});

	it('is decoded from any bytes without an exception', () => {
		fc.assert(fc.property(fc.uint8Array(), bytes => {
			const map = decodeMap(bytes);
			expect(map === undefined || map.every(ranks => ranks.length === map[0].length)).toEqual(true);
		}));
		expect(decodeMap(Uint8Array.from([255, 255, 255, 127, 0]))).toEqual(undefined);
	});
});
