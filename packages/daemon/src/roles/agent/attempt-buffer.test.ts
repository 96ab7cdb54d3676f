import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createRefusal} from './attempt-table.js';
import {StreamMemory} from './stream-memory.js';

const name = {requestId: 'r1', attempt: 1, incarnation: 7};

describe('attempt buffer', () => {
	it('numbers its frames and ends with length and checksum', () => {
		const buffer = new StreamMemory(1000).allocate(name);
		buffer.head({status: 200, headers: {}});
		buffer.data(new Uint8Array([1, 2]));
		buffer.end();
		const last = buffer.frameAt(2);
		expect(last).toEqual({
			kind: 'frame',
			frame: {
				...name, sequence: 2, content: {$case: 'end', value: {lengthBytes: 2, digest: createHash('sha256').update(new Uint8Array([1, 2])).digest('hex')}},
			},
		});
		expect(buffer.frameAt(3)).toEqual({kind: 'notYet'});
	});

	it('ignores frames after its end', () => {
		const buffer = new StreamMemory(1000).allocate(name);
		buffer.refuse(createRefusal('draining', 'leaving'));
		buffer.data(new Uint8Array(3));
		buffer.end();
		expect([buffer.frameAt(1), buffer.isEnded]).toEqual([{kind: 'notYet'}, true]);
	});

	it('reports dropped frames to a reader as dropped', () => {
		const buffer = new StreamMemory(1000).allocate(name);
		buffer.data(new Uint8Array(10));
		buffer.data(new Uint8Array(10));
		buffer.markDelivered(0);
		buffer.dropDelivered();
		expect([buffer.frameAt(0).kind, buffer.frameAt(1).kind, buffer.frameAt(2).kind]).toEqual(['dropped', 'frame', 'notYet']);
	});
});

describe('stream memory', () => {
	it('frees memory by dropping delivered frames only', () => {
		const memory = new StreamMemory(500);
		const buffer = memory.allocate(name);
		buffer.data(new Uint8Array(450));
		expect(memory.hasCapacity()).toEqual(false);
		expect(buffer.frameAt(0).kind).toEqual('frame');
		buffer.markDelivered(0);
		expect([memory.hasCapacity(), memory.usedBytes, buffer.frameAt(0).kind]).toEqual([true, 0, 'dropped']);
	});

	it('does not count released buffers against the limit', () => {
		const memory = new StreamMemory(500);
		const buffer = memory.allocate(name);
		buffer.data(new Uint8Array(450));
		memory.release(buffer);
		expect([memory.usedBytes, memory.hasCapacity()]).toEqual([0, true]);
	});
});
