import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {decodeNumbers, encodeNumbers} from './compact-numbers.js';
import {noBase, ReceivedSamples, SentSamples} from './count-samples.js';

const target = 'target';

function countsOf(counts: readonly number[]): {readonly step: number; readonly epoch: number; readonly counts: readonly number[]; readonly pace: number} {
	return {
		step: 7, epoch: 2, counts, pace: 1.5,
	};
}

describe('compact numbers', () => {
	it('are the same after decoding', () => {
		fc.assert(fc.property(fc.array(fc.maxSafeNat()), values => {
			expect(decodeNumbers(encodeNumbers(values))).toEqual(values);
		}));
	});

	it('take one byte if they are small', () => {
		expect(encodeNumbers([0, 1, 127]).length).toEqual(3);
		expect(encodeNumbers([128]).length).toEqual(2);
	});

	it('are decoded from any bytes without an exception, and are safe integers', () => {
		fc.assert(fc.property(fc.uint8Array(), bytes => {
			expect((decodeNumbers(bytes) ?? []).every(value => Number.isSafeInteger(value) && value >= 0)).toEqual(true);
		}));
		expect(decodeNumbers(Uint8Array.from([1, 200]))).toEqual(undefined);
		expect(decodeNumbers(Uint8Array.from({length: 12}, (_, index) => index < 11 ? 255 : 1))).toEqual(undefined);
	});
});

describe('counts between agents', () => {
	it('arrive unchanged, whichever answers are lost and wherever counts decrease or an agent restarts', () => {
		const step = fc.record({
			added: fc.array(fc.integer({min: -3, max: 400}), {minLength: 4, maxLength: 4}), isLost: fc.boolean(), isRestarted: fc.nat({max: 9}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
			const received = new ReceivedSamples();
			let sent = new SentSamples();
			let counts = [5000, 5000, 5000, 5000];
			for (const {added, isLost, isRestarted} of steps) {
				counts = counts.map((count, index) => count + added[index]);
				sent = isRestarted === 0 ? new SentSamples() : sent;
				const reply = sent.reply(countsOf(counts), received.last(target).base);
				if (!isLost) {
					expect(received.receive(target, reply)).toEqual(countsOf(counts));
				}
			}
		}));
	});

	it('are sent as differences once a sample has arrived, also after one answer was lost', () => {
		const received = new ReceivedSamples();
		const sent = new SentSamples();
		const sample = (counts: readonly number[]) => sent.reply(countsOf(counts), received.last(target).base);
		received.receive(target, sample([70_000, 80_000]));
		sample([70_005, 80_005]);
		const reply = sample([70_010, 80_020]);
		expect([...reply.attachment ?? []]).toEqual([10, 20]);
		expect(received.receive(target, reply)).toEqual(countsOf([70_010, 80_020]));
	});

	it('are asked for in full after a damaged answer', () => {
		const received = new ReceivedSamples();
		const sent = new SentSamples();
		received.receive(target, sent.reply(countsOf([10, 20]), noBase));
		expect(received.last(target).base === noBase).toEqual(false);
		const {answer} = sent.reply(countsOf([11, 21]), received.last(target).base);
		expect(received.receive(target, {answer, attachment: Uint8Array.from([1])})).toEqual(undefined);
		expect(received.last(target).base).toEqual(noBase);
	});

	it('are refused without an exception if the answer is of another form', () => {
		fc.assert(fc.property(fc.anything(), fc.option(fc.uint8Array(), {nil: undefined}), (answer, attachment) => {
			new ReceivedSamples().receive(target, {answer, attachment});
		}));
	});

	it('of an agent that sends lists are taken as they are', () => {
		const received = new ReceivedSamples();
		expect(received.receive(target, {answer: countsOf([1, 2])})).toEqual(countsOf([1, 2]));
		expect(received.last(target).base).toEqual(noBase);
	});

	it('are sent as a list if they cannot be encoded', () => {
		expect(new SentSamples().reply(countsOf([0.5, 2]), noBase)).toEqual({answer: countsOf([0.5, 2])});
	});
});
