import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {FairQueue, type EnqueueConditions, type QueuedWork} from './index.js';

const farDeadlineMs = 1_000_000;
const conditions: EnqueueConditions = {
	weight: 1, tokensPerSecond: 1000, serviceMs: 0, nowMs: 0,
};

function work(clientAccount: string, costTokens = 10, deadlineMs = farDeadlineMs): QueuedWork {
	return {clientAccount, costTokens, deadlineMs};
}

/** Dequeues work the given number of times; returns the dequeued tokens by account. */
function dequeueTokens(queue: FairQueue<QueuedWork>, count: number): Map<string, number> {
	const tokens = new Map<string, number>();
	for (let dequeued = 0; dequeued < count; dequeued++) {
		const next = queue.dequeue();
		if (next) {
			tokens.set(next.clientAccount, (tokens.get(next.clientAccount) ?? 0) + next.costTokens);
		}
	}

	return tokens;
}

describe('fair queue', () => {
	describe('between accounts', () => {
		it('shares tokens by weight while both have work queued, for any sizes', () => {
			const costs = fc.array(fc.integer({min: 1, max: 100}), {minLength: 200, maxLength: 200});
			fc.assert(fc.property(costs, fc.integer({min: 1, max: 4}), (sizes, weight) => {
				const queue = new FairQueue<QueuedWork>({quantumTokens: 100, maxQueuedRequests: 1000});
				for (const size of sizes) {
					queue.enqueue(work('light', size), conditions);
					queue.enqueue(work('heavy', size), {...conditions, weight});
				}

				const tokens = dequeueTokens(queue, 100);
				const light = tokens.get('light') ?? 0;
				const heavy = tokens.get('heavy') ?? 0;
				// Deficit round robin is fair to within one quantum and the largest work of each account.
				expect(Math.abs((light * weight) - heavy)).toBeLessThanOrEqual(weight * 2 * (100 + 100));
			}), {seed: 21, numRuns: 50});
		});

		it('serves a new account within one round of an account that floods the queue', () => {
			const queue = new FairQueue<QueuedWork>({quantumTokens: 10});
			for (let index = 0; index < 100; index++) {
				queue.enqueue(work('flood'), conditions);
			}

			queue.enqueue(work('quiet'), conditions);
			const first = [queue.dequeue(), queue.dequeue(), queue.dequeue()].map(dequeued => dequeued?.clientAccount);
			expect(first.includes('quiet')).toEqual(true);
		});
	});

	describe('with accounts that may not start work', () => {
		it('dequeues work of another account, and nothing if no account may start work', () => {
			const queue = new FairQueue<QueuedWork>();
			queue.enqueue(work('a'), conditions);
			queue.enqueue(work('b'), conditions);
			expect(queue.dequeue(name => name === 'b')?.clientAccount).toEqual('b');
			expect(queue.dequeue(name => name === 'b')).toEqual(undefined);
			expect(queue.dequeue()?.clientAccount).toEqual('a');
		});
	});

	describe('within an account', () => {
		it('dequeues the earliest deadline first', () => {
			const queue = new FairQueue<QueuedWork>();
			for (const deadlineMs of [30_000, 10_000, 20_000]) {
				queue.enqueue(work('a', 10, deadlineMs), conditions);
			}

			expect([queue.dequeue(), queue.dequeue(), queue.dequeue()].map(dequeued => dequeued?.deadlineMs)).toEqual([10_000, 20_000, 30_000]);
		});
	});

	describe('when full', () => {
		it('evicts work of the account with the most queued work, not of a smaller one', () => {
			const queue = new FairQueue<QueuedWork>({maxQueuedRequests: 10});
			for (let index = 0; index < 10; index++) {
				queue.enqueue(work('flood'), conditions);
			}

			const refused = queue.enqueue(work('flood'), conditions);
			expect(refused.ok).toEqual(false);
			const admitted = queue.enqueue(work('quiet'), conditions);
			expect(admitted.ok && admitted.value.map(evicted => evicted.clientAccount)).toEqual(['flood']);
			expect(queue.queuedRequests).toEqual(10);
		});
	});

	describe('early refusal', () => {
		it('refuses work that cannot meet its deadline because of the work ahead of it', () => {
			const queue = new FairQueue<QueuedWork>();
			for (let index = 0; index < 10; index++) {
				queue.enqueue(work('a', 100), conditions);
			}

			expect(queue.enqueue(work('a', 100, 2_000_000), conditions).ok).toEqual(true);
			const late = queue.enqueue(work('b', 100, 50), conditions);
			expect(!late.ok && late.failure.type).toEqual('deadlineUnreachable');
			// Account b waits only for a's fair share: 100 tokens of a's queue are served before its own.
			expect(queue.enqueue(work('b', 100, 101), conditions).ok).toEqual(true);
		});

		it('removes queued work whose deadline has passed', () => {
			const queue = new FairQueue<QueuedWork>();
			queue.enqueue(work('a', 10, 500), conditions);
			queue.enqueue(work('a', 10, 900), conditions);
			expect(queue.removeExpired(500).length).toEqual(1);
			expect(queue.queuedTokens).toEqual(10);
		});
	});

	it('neither loses nor duplicates work and stays within its bounds under any sequence of operations', () => {
		const operation = fc.oneof(
			fc.record({
				kind: fc.constant('enqueue' as const), account: fc.constantFrom('a', 'b', 'c'), cost: fc.integer({min: 1, max: 500}), deadlineMs: fc.integer({min: 0, max: 5000}),
			}),
			fc.constant({kind: 'dequeue' as const}),
			fc.record({kind: fc.constant('removeExpired' as const), nowMs: fc.integer({min: 0, max: 5000})}),
		);
		fc.assert(fc.property(fc.array(operation, {maxLength: 200}), operations => {
			const queue = new FairQueue<QueuedWork>({maxQueuedRequests: 8, maxQueuedTokens: 1500, quantumTokens: 64});
			const held = new Set<QueuedWork>();
			const expectRemoved = (gone: QueuedWork): void => {
				expect(held.delete(gone)).toEqual(true);
			};

			for (const next of operations) {
				if (next.kind === 'enqueue') {
					const offered = work(next.account, next.cost, next.deadlineMs);
					const result = queue.enqueue(offered, conditions);
					if (result.ok) {
						held.add(offered);
						for (const evicted of result.value) {
							expectRemoved(evicted);
						}
					}
				} else if (next.kind === 'dequeue') {
					const dequeued = queue.dequeue();
					expect(dequeued === undefined).toEqual(held.size === 0);
					if (dequeued) {
						expectRemoved(dequeued);
					}
				} else {
					for (const expired of queue.removeExpired(next.nowMs)) {
						expectRemoved(expired);
					}
				}

				expect(queue.queuedRequests).toEqual(held.size);
				expect(queue.queuedTokens).toEqual([...held].reduce((sum, item) => sum + item.costTokens, 0));
				expect(queue.queuedRequests <= 8 && queue.queuedTokens <= 1500).toEqual(true);
			}
		}), {seed: 22, numRuns: 200});
	});
});
