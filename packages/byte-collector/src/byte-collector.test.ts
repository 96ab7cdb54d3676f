import {Buffer} from 'node:buffer';
import {PassThrough, Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'earl';
import {
	BudgetShare, ByteBudget, ByteCollector, readBounded,
} from './index.js';

describe('ByteCollector', () => {
	it('holds at most twice its bytes, however small the pieces are', () => {
		const collector = new ByteCollector();
		const piece = Buffer.from('x');
		for (let index = 0; index < 1_000_000; index++) {
			collector.append(piece);
		}

		expect(collector.length).toEqual(1_000_000);
		expect(collector.heldBytes).toBeLessThanOrEqual(2_000_000);
		expect(collector.bytes.every(byte => byte === piece[0])).toEqual(true);
	});

	it('holds no more than what is expected, and nothing before it comes', () => {
		const collector = new ByteCollector({expectedBytes: 5000});
		expect(collector.heldBytes).toEqual(0);
		for (let index = 0; index < 5; index++) {
			collector.append(Buffer.alloc(1000));
		}

		expect(collector.heldBytes).toEqual(5000);
		collector.append(Buffer.alloc(10));
		expect(collector.length).toEqual(5010);
	});

	it('says beforehand what it will hold', () => {
		const collector = new ByteCollector();
		for (const size of [3, 1, 1020, 5, 9000, 1]) {
			const expected = collector.heldAfter(size);
			collector.append(Buffer.alloc(size));
			expect(collector.heldBytes).toEqual(expected);
		}
	});

	it('keeps what is not taken, and holds no more than that', () => {
		const collector = new ByteCollector();
		collector.append(Buffer.from('one,two,'));
		collector.append(Buffer.from('three'));
		expect(collector.take(8).toString()).toEqual('one,two,');
		expect([collector.bytes.toString(), collector.heldBytes]).toEqual(['three', 5]);
		expect(collector.take().toString()).toEqual('three');
		expect(collector.heldBytes).toEqual(0);
	});
});

describe('BudgetShare', () => {
	it('takes from the budget what it holds more than before, and gives back what it holds less', () => {
		const budget = new ByteBudget(10);
		const [one, other] = [new BudgetShare(budget), new BudgetShare(budget)];
		expect([one.hold(6), other.hold(5), one.hold(4), other.hold(6)]).toEqual([true, false, true, true]);
		one.release();
		expect(budget.usedBytes).toEqual(6);
	});
});

describe('readBounded', () => {
	const read = async (pieces: readonly string[], options: Parameters<typeof readBounded>[1]) => readBounded(Readable.from(pieces.map(piece => Buffer.from(piece))), options);

	it('returns the whole stream', async () => {
		const result = await read(['a', 'bc'], {maxBytes: 3});
		expect(result.kind === 'whole' && result.bytes.toString()).toEqual('abc');
	});

	it('ends if so many pieces come that they take more time than their bytes', async () => {
		expect(await read(Array.from({length: 20_000}, () => 'x'), {maxBytes: 1_000_000})).toEqual({kind: 'tooManyPieces'});
		const large = await read(Array.from({length: 20_000}, () => 'x'.repeat(64)), {maxBytes: 2_000_000});
		expect(large.kind).toEqual('whole');
	});

	it('goes on reading what is refused, so that its sender gets an answer, and ends the stream once far too much has come', async () => {
		const stream = new PassThrough();
		let exceededCount = 0;
		const read = readBounded(stream, {
			maxBytes: 3, onDropExceeded() {
				exceededCount++;
			},
		});
		stream.write('abcd');
		expect(await read).toEqual({kind: 'tooLarge'});
		await nextTurn();
		const megabyte = Buffer.alloc(1_048_576);
		for (let count = 0; count < 16; count++) {
			stream.write(megabyte);
			await nextTurn();
		}

		expect([stream.destroyed, stream.readableLength]).toEqual([false, 0]);
		stream.write(megabyte);
		await nextTurn();
		expect([stream.destroyed, exceededCount]).toEqual([true, 1]);
	});

	it('ends as soon as the stream is too large, or may hold no more memory', async () => {
		expect(await read(['a', 'bcd'], {maxBytes: 3})).toEqual({kind: 'tooLarge'});
		expect(await read(['a', 'bc'], {maxBytes: 3, mayHold: bytes => bytes < 2})).toEqual({kind: 'noMemory'});
	});
});
