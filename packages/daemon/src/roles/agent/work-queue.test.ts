import {describe, it} from 'node:test';
import {Clock, type RequestFailure} from '@rattanspring/types';
import {expect} from 'earl';
import {WorkQueue, type QueuedAttempt} from './work-queue.js';

class ManualClock extends Clock {
	nowMs = 0;

	monotonicMs(): number {
		return this.nowMs;
	}

	wallMs(): number {
		return this.nowMs;
	}
}

/** Target whose attempts are ended by the test. */
class Target {
	readonly started: string[] = [];
	readonly refused = new Map<string, RequestFailure>();
	readonly #ends = new Map<string, (isWhole: boolean) => void>();

	work(name: string, change: Partial<QueuedAttempt> = {}): QueuedAttempt {
		return {
			clientAccount: 'account',
			costTokens: 10,
			prefillTokens: 5,
			deadlineMs: 10_000,
			alone: false,
			fairShare: 1,
			start: async () => {
				this.started.push(name);
				return new Promise(resolve => {
					this.#ends.set(name, resolve);
				});
			},
			refuse: failure => {
				this.refused.set(name, failure);
			},
			...change,
		};
	}

	async end(name: string, isWhole = true): Promise<void> {
		this.#ends.get(name)?.(isWhole);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

describe('work queue of an agent', () => {
	it('starts attempts up to the concurrency limit and the rest as slots become free', async () => {
		const target = new Target();
		const queue = new WorkQueue({capacityRequests: 2, clock: new ManualClock()});
		for (const name of ['a', 'b', 'c']) {
			queue.offer(target.work(name));
		}

		expect(target.started).toEqual(['a', 'b']);
		expect(queue.load.requests).toEqual(3);
		expect(queue.load.prefillTokens).toEqual(15);
		await target.end('a');
		expect(target.started).toEqual(['a', 'b', 'c']);
		expect(queue.load.prefillTokens).toEqual(10);
	});

	describe('refuses with didNotRun and a retry delay', () => {
		it('attempts displaced by another account when the queue is full', () => {
			const target = new Target();
			const queue = new WorkQueue({capacityRequests: 1, clock: new ManualClock()});
			for (let index = 0; index <= 257; index++) {
				queue.offer(target.work(`flood-${index}`));
			}

			queue.offer(target.work('quiet', {clientAccount: 'other'}));
			expect(target.refused.size).toEqual(2);
			expect(target.refused.has('quiet')).toEqual(false);
			for (const failure of target.refused.values()) {
				expect([failure.type, failure.execution, (failure.retryAfterMs ?? 0) > 0]).toEqual(['overloaded', 'didNotRun', true]);
			}
		});

		it('an attempt with too little time left when a slot becomes free, without starting it', async () => {
			const clock = new ManualClock();
			const target = new Target();
			const queue = new WorkQueue({capacityRequests: 1, clock});
			queue.offer(target.work('a'));
			queue.offer(target.work('b', {deadlineMs: 1500}));
			clock.nowMs = 1000;
			// The first attempt took 100 ms per token, so the second would take 1 s but has only 0.5 s left.
			await target.end('a');
			expect(target.started).toEqual(['a']);
			expect(target.refused.get('b')?.type).toEqual('deadlineUnreachable');
		});

		it('an attempt that cannot meet its deadline on arrival', async () => {
			const clock = new ManualClock();
			const target = new Target();
			const queue = new WorkQueue({capacityRequests: 1, clock});
			queue.offer(target.work('a'));
			clock.nowMs = 1000;
			await target.end('a');
			queue.offer(target.work('late', {deadlineMs: 1900}));
			expect(target.refused.get('late')?.type).toEqual('deadlineUnreachable');
			expect(target.started).toEqual(['a']);
		});
	});

	describe('an attempt that must run alone', () => {
		it('waits until the target is idle, and nothing is started concurrently', async () => {
			const target = new Target();
			const queue = new WorkQueue({capacityRequests: 4, clock: new ManualClock()});
			queue.offer(target.work('a'));
			queue.offer(target.work('suspect', {alone: true}));
			queue.offer(target.work('b'));
			expect(target.started).toEqual(['a']);
			await target.end('a');
			expect(target.started).toEqual(['a', 'suspect']);
			queue.offer(target.work('c'));
			expect(target.started).toEqual(['a', 'suspect']);
			await target.end('suspect', false);
			expect(target.started).toEqual(['a', 'suspect', 'b', 'c']);
			await target.end('b');
			await target.end('c');
		});

		it('alternates with shared attempts', async () => {
			const target = new Target();
			const queue = new WorkQueue({capacityRequests: 1, clock: new ManualClock()});
			queue.offer(target.work('first', {alone: true}));
			queue.offer(target.work('second', {alone: true}));
			queue.offer(target.work('b'));
			await target.end('first');
			expect(target.started).toEqual(['first', 'b']);
			await target.end('b');
			expect(target.started).toEqual(['first', 'b', 'second']);
			await target.end('second');
		});
	});
});
