import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {linkService, type RankRequest} from './link-service.js';

const {requestSerialize, requestDeserialize, responseSerialize, responseDeserialize} = linkService.rank;

function tryParse(bytes: Buffer): unknown {
	try {
		return responseDeserialize(bytes);
	} catch {
		return undefined;
	}
}

describe('messages of the method rank', () => {
	it('are the same after decoding, with and without an attachment', () => {
		const request: RankRequest = {targetAddress: 'target', kind: 'order', order: {kind: 'go', step: 5}};
		expect(requestDeserialize(requestSerialize(request))).toEqual(request);
		const attachment = Buffer.from([0, 123, 255]);
		expect(requestDeserialize(requestSerialize({...request, attachment}))).toEqual({...request, attachment});
		expect(responseDeserialize(responseSerialize({answer: 'done', attachment}))).toEqual({answer: 'done', attachment});
		expect(responseDeserialize(responseSerialize({answer: 'done', attachment: Buffer.alloc(0)}))).toEqual({answer: 'done', attachment: Buffer.alloc(0)});
	});

	it('are JSON texts unless they have an attachment', () => {
		expect(responseSerialize({answer: 'done'}).toString()).toEqual('{"answer":"done"}');
		expect(requestDeserialize(Buffer.from('{"targetAddress":"target","kind":"state"}'))).toEqual({targetAddress: 'target', kind: 'state'});
	});

	it('fail the call if their bytes are damaged', () => {
		for (const bytes of [[], [1], [1, 0, 0, 0], [1, 0, 0, 0, 9, 123, 125], [1, 255, 255, 255, 255], [...Buffer.from('null')], [...Buffer.from('{"kind":"state"}')]]) {
			expect(() => requestDeserialize(Buffer.from(bytes))).toThrow();
		}
	});

	it('are either objects or refused, whatever the bytes are', () => {
		fc.assert(fc.property(fc.uint8Array(), fc.boolean(), (bytes, isMarked) => {
			const message = tryParse(Buffer.from(isMarked ? [1, 0, 0, 0, ...bytes] : bytes)) ?? {};
			expect(typeof message).toEqual('object');
		}));
	});
});
