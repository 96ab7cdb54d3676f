import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	boardOf, fill, queueOf, request,
} from './sample-boards.js';
import {type Admission, type AdmissionQueue, type AdmissionRequest} from './index.js';

/** What a request is told at once; empty if it waits. */
function outcomeAt(queue: AdmissionQueue): string {
	let kind = '';
	queue.admit(request, 0, admission => {
		kind = admission.kind;
	});
	return kind;
}

describe('AdmissionQueue', () => {
	describe('with all places taken', () => {
		it('refuses what could be on time within an eighth of its objective, with a pause to come back after', () => {
			const board = boardOf(1);
			fill(board);
			const queue = queueOf(board);
			const ended: Admission[] = [];
			queue.admit(request, 0, admission => {
				ended.push(admission);
			});
			queue.processQueue(49);
			expect(ended.length).toEqual(0);
			queue.processQueue(51);
			expect(ended.length).toEqual(1);
			const [refusal] = ended;
			expect(refusal.kind === 'refused' && refusal.retryAfterMs > 0 && refusal.retryAfterMs < 400).toEqual(true);
		});

		it('serves a request that came back in time among those on time, and lets it wait on as a late one', () => {
			const board = boardOf(1, 4);
			fill(board);
			const queue = queueOf(board);
			const order: string[] = [];
			const note = (name: string) => (admission: Admission) => {
				order.push(`${name} ${admission.kind}`);
				board.recordSent('t0', 0);
			};

			queue.admit({...request, sinceFirstTryMs: 900, mayBeRetry: true}, 0, note('late'));
			queue.admit({...request, sinceFirstTryMs: 130, mayBeRetry: true}, 0, note('back in time'));
			board.recordEnd('t0', 'answered', 10);
			queue.processQueue(10);
			expect(order).toEqual(['back in time admitted']);
			queue.admit({...request, sinceFirstTryMs: 130, mayBeRetry: true}, 20, note('second'));
			queue.processQueue(80);
			expect(order).toEqual(['back in time admitted']);
			for (let index = 0; index < 3; index++) {
				board.recordEnd('t0', 'answered', 500);
			}

			queue.processQueue(500);
			expect(order).toEqual(['back in time admitted', 'late admitted', 'second admitted']);
		});

		it('gives all places to a request of which it is not sure that it came back, and does not refuse it at once', () => {
			const board = boardOf(1, 4);
			for (let index = 0; index < 3; index++) {
				board.recordSent('t0', 0);
			}

			const queue = queueOf(board);
			const ended: string[] = [];
			const note = ({kind}: Admission) => {
				ended.push(kind);
				board.recordSent('t0', 0);
			};

			queue.admit({...request, mayBeRetry: true}, 0, note);
			expect(ended).toEqual(['admitted']);
			queue.admit({...request, mayBeRetry: true}, 0, note);
			queue.processQueue(60);
			queue.processQueue(400);
			expect(ended).toEqual(['admitted']);
			for (let index = 0; index < 3; index++) {
				board.recordEnd('t0', 'answered', 450);
			}

			queue.processQueue(450);
			expect(ended).toEqual(['admitted', 'admitted']);
		});

		it('lets a request that came back wait longer, behind those that can be on time', () => {
			const board = boardOf(1, 4);
			fill(board);
			const queue = queueOf(board);
			const order: string[] = [];
			const note = (name: string) => (admission: Admission) => {
				order.push(`${name} ${admission.kind}`);
				board.recordSent('t0', 0);
			};

			queue.admit({...request, sinceFirstTryMs: 900, mayBeRetry: true}, 0, note('returned'));
			queue.admit(request, 0, note('fresh'));
			board.recordEnd('t0', 'answered', 10);
			queue.processQueue(10);
			expect(order).toEqual(['fresh admitted']);
			queue.processQueue(300);
			expect(order).toEqual(['fresh admitted']);
			for (let index = 0; index < 3; index++) {
				board.recordEnd('t0', 'answered', 400);
			}

			queue.processQueue(400);
			expect(order).toEqual(['fresh admitted', 'returned admitted']);
		});

		it('admits the more urgent first, then the account with fewer requests in progress', () => {
			const board = boardOf(1);
			fill(board);
			const queue = queueOf(board);
			const order: string[] = [];
			queue.admit({...request, accountName: 'busy'}, 0, () => {
				order.push('busy');
			});
			queue.admit(request, 0, () => {
				order.push('idle');
			});
			queue.admit({...request, priority: 0, accountName: 'busy'}, 0, () => {
				order.push('urgent');
			});
			for (let index = 0; index < 3; index++) {
				board.recordEnd('t0', 'answered', 10);
				queue.processQueue(10);
			}

			expect(order).toEqual(['urgent', 'idle', 'busy']);
		});

		it('forgets a request whose caller left', () => {
			const board = boardOf(1);
			fill(board);
			const queue = queueOf(board);
			const waiting = queue.admit(request, 0, () => {
				throw new Error('it left');
			});
			waiting.cancel();
			queue.processQueue(1000);
			expect(queue.waitingCount).toEqual(0);
		});
	});

	describe('with callers who come back after an outage', () => {
		it('leaves places to those who can still be on time, and to what goes on at another target', () => {
			const board = boardOf(2, 8);
			const queue = queueOf(board);
			const admitted = {late: 0, onTime: 0, repeat: 0};
			const admit = (kind: keyof typeof admitted, change: Partial<AdmissionRequest>) => {
				queue.admit({...request, ...change}, 0, admission => {
					if (admission.kind === 'admitted') {
						admitted[kind]++;
						board.recordSent(admission.view.report.targetId, 0);
					}
				});
			};

			for (let index = 0; index < 40; index++) {
				admit('late', {sinceFirstTryMs: 900, mayBeRetry: true});
			}

			admit('repeat', {sinceFirstTryMs: 900, isFailover: true});
			for (let index = 0; index < 8; index++) {
				admit('onTime', {});
			}

			expect(admitted).toEqual({late: 12, onTime: 3, repeat: 1});
		});
	});

	describe('with free places', () => {
		it('never refuses', () => {
			expect(outcomeAt(queueOf(boardOf(3)))).toEqual('admitted');
		});
	});

	describe('without any target', () => {
		it('refuses at once', () => {
			expect(outcomeAt(queueOf(boardOf(0)))).toEqual('refused');
		});
	});
});
