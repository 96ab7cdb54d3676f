import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import type {agentProtocol} from '@rattanspring/protocol';
import {expect} from 'earl';
import {EventSkipper} from './event-skipper.js';
import {FrameCheck} from './frame-check.js';
import {parsePublicRequestId, formatPublicRequestId} from './public-request-id.js';

const name = {requestId: 'r1', attempt: 1};
const bytes = new Uint8Array([1, 2, 3]);

function frame(sequence: number, content: agentProtocol.Frame['content'], requestId = 'r1'): agentProtocol.Frame {
	return {
		requestId, attempt: 1, sequence, incarnation: 1, content,
	};
}

function end(digest = createHash('sha256').update(bytes).digest('hex'), lengthBytes = bytes.length): agentProtocol.Frame['content'] {
	return {$case: 'end', value: {lengthBytes, digest}};
}

const data: agentProtocol.Frame['content'] = {$case: 'data', value: bytes};

describe('frame check', () => {
	it('accepts a response as complete only with matching length and checksum', () => {
		for (const [ending, kind] of [[end(), 'whole'], [end('other'), 'failed'], [end(undefined, 4), 'failed']] as const) {
			const check = new FrameCheck(name);
			check.accept(frame(0, data));
			expect(check.accept(frame(1, ending)).kind).toEqual(kind);
		}
	});

	it('fails on a missing frame, a repeated frame or a frame of another request', () => {
		const check = new FrameCheck(name);
		expect(check.accept(frame(1, data)).kind).toEqual('failed');
		expect(check.accept(frame(0, data)).kind).toEqual('data');
		expect(check.accept(frame(0, data)).kind).toEqual('failed');
		expect(check.accept(frame(1, data, 'r2')).kind).toEqual('failed');
	});
});

describe('event skipper', () => {
	it('returns the bytes after the given event, however the stream is split', () => {
		const stream = 'id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n';
		for (let size = 1; size <= stream.length; size++) {
			const skipper = new EventSkipper('1');
			let rest = '';
			for (let start = 0; start < stream.length; start += size) {
				rest += Buffer.from(skipper.bytesAfterEvent(Buffer.from(stream.slice(start, start + size)))).toString('utf8');
			}

			expect([rest, skipper.isFound]).toEqual(['id: 2\ndata: c\n\n', true]);
		}
	});

	it('returns nothing if the event does not occur', () => {
		const skipper = new EventSkipper('7');
		expect([skipper.bytesAfterEvent(Buffer.from('id: 0\ndata: a\n\n')).length, skipper.isFound]).toEqual([0, false]);
	});
});

describe('public request id', () => {
	it('is parsed to the values it was formatted from, and a malformed id is rejected', () => {
		const publicRequestId = {
			requestId: 'r1', attempt: 2, incarnation: 9, targetId: 'engine-1',
		};
		expect(parsePublicRequestId(formatPublicRequestId(publicRequestId))).toEqual(publicRequestId);
		expect(['', 'r1', 'r1~x~9~t', 'r1~1~9~t~more'].map(text => parsePublicRequestId(text))).toEqual([undefined, undefined, undefined, undefined]);
	});
});
