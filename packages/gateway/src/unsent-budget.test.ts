import {describe, it} from 'node:test';
import {expect} from 'earl';
import {UnsentBudget} from './unsent-budget.js';

class Stream {
	unsentBytes = 0;
	deliveredBytes = 0;
	isEnded = false;

	endUnread = () => {
		this.isEnded = true;
	};
}

describe('the bytes that callers have not read', () => {
	it('stay below the maximum over all streams, of which the slowest are ended first', () => {
		const budget = new UnsentBudget({maxBytes: 1000, nowMs: () => 0});
		const streams = Array.from({length: 20}, () => new Stream());
		for (let round = 0; round < 10; round++) {
			for (const [index, stream] of streams.entries()) {
				stream.unsentBytes += stream.isEnded ? 0 : index;
				budget.recordWrite(stream);
				if (stream.isEnded) {
					budget.remove(stream);
				}

				expect(budget.totalBytes).toBeLessThanOrEqual(1000);
			}
		}

		const endedFrom = streams.findIndex(({isEnded}) => isEnded);
		expect(endedFrom).toBeGreaterThan(5);
		expect(streams.slice(endedFrom).every(({isEnded}) => isEnded)).toEqual(true);
	});

	it('no longer count once they are read, or their stream has ended', () => {
		const budget = new UnsentBudget({maxBytes: 1000, nowMs: () => 0});
		const [read, ended, writing] = [new Stream(), new Stream(), new Stream()];
		for (const stream of [read, ended, writing]) {
			stream.unsentBytes = 330;
			budget.recordWrite(stream);
		}

		read.unsentBytes = 0;
		budget.remove(ended);
		writing.unsentBytes = 990;
		budget.recordWrite(writing);
		expect([read, ended, writing].some(({isEnded}) => isEnded)).toEqual(false);
		expect(budget.totalBytes).toEqual(990);
	});

	it('are ended where nobody has read for some time, before larger answers that are read', () => {
		let nowMs = 0;
		const budget = new UnsentBudget({maxBytes: 1000, nowMs: () => nowMs});
		const [unread, read, last] = [new Stream(), new Stream(), new Stream()];
		unread.unsentBytes = 300;
		budget.recordWrite(unread);
		nowMs = 900;
		read.unsentBytes = 600;
		budget.recordWrite(read);
		nowMs = 1900;
		read.deliveredBytes = 100;
		last.unsentBytes = 350;
		budget.recordWrite(last);
		expect([unread, read, last].map(({isEnded}) => isEnded)).toEqual([true, false, false]);
	});
});
