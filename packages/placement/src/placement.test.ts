import {describe, it} from 'node:test';
import type {TargetReport} from '@rattanspring/target-table';
import {expect} from 'earl';
import {
	type Admission, AdmissionQueue, type AdmissionRequest, type AttemptHistory, CrashGuard, nextStep, RetryBudget, TargetBoard,
} from './index.js';

function targets(count: number, slots = 2): TargetReport[] {
	return Array.from({length: count}, (_, index) => ({
		targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `10.0.0.${index}:80`, failureDomain: 'a', slots, state: 'ready', coldLeftMs: 0,
	}));
}

function boardOf(count: number, slots = 2): TargetBoard {
	const board = new TargetBoard({failureDomain: 'a'});
	board.setTargets(targets(count, slots));
	return board;
}

function queueOf(board: TargetBoard): AdmissionQueue {
	return new AdmissionQueue({
		board, random: () => 0.5, inProgressOf: name => name === 'busy' ? 5 : 0, onWaiting: () => undefined,
	});
}

const request: AdmissionRequest = {
	service: 's', priority: 1, accountName: 'a', arrivedAtMs: 0, objectiveMs: 400, deadlineAtMs: 8000,
};

/** Fills all places that a board allows. */
function fill(board: TargetBoard): void {
	for (;;) {
		const choice = board.choose({service: 's', nowMs: 0, random: () => 0});
		if (choice.kind !== 'target') {
			return;
		}

		board.sent(choice.view.report.targetId, 0);
	}
}

describe('TargetBoard', () => {
	describe('with ranks in lock-step', () => {
		const place = (group: string, rank: number) => ({
			group, epoch: 1, rank, size: 2, isOpen: true,
		});
		const loadOf = (index: number, group: string, pace: number) => ({
			address: `10.0.0.${index}:80`, bornMs: 1, active: 0, queued: 0, memoryShare: 0, pace, rankPlace: place(group, index % 2),
		});

		it('sends less to a whole group whose slowest rank is slow, and what the other has no room for', () => {
			const board = boardOf(4, 5);
			board.setLoads([loadOf(0, 'g', 1), loadOf(1, 'g', 4), loadOf(2, 'h', 1), loadOf(3, 'h', 1)], 0);
			const chosen = [];
			for (let index = 0; index < 10; index++) {
				const choice = board.choose({service: 's', nowMs: 0, random: () => 0.5});
				if (choice.kind === 'target') {
					chosen.push(choice.view.report.targetId);
					board.sent(choice.view.report.targetId, 0);
				}
			}

			expect(chosen.filter(targetId => targetId === 't2' || targetId === 't3').length).toEqual(10);
			const overflow = board.choose({service: 's', nowMs: 0, random: () => 0.5});
			expect(overflow.kind).toEqual('target');
		});

		it('within a slow group, sends to the slow rank last', () => {
			const board = boardOf(2, 4);
			board.setLoads([loadOf(0, 'g', 3), loadOf(1, 'g', 1)], 0);
			for (let index = 0; index < 4; index++) {
				const choice = board.choose({service: 's', nowMs: 0, random: () => 0.5});
				expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
				board.sent('t1', 0);
			}
		});

		it('uses no rank of a group that broke, by the newest word of it', () => {
			const board = boardOf(2);
			board.setLoads([{...loadOf(0, 'g', 1), rankPlace: {...place('g', 0), isOpen: false}}], 0);
			const choice = board.choose({service: 's', nowMs: 0, random: () => 0});
			expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
		});
	});

	describe('choosing', () => {
		it('spreads requests over targets before any figures come', () => {
			const board = boardOf(4);
			const chosen = new Set<string>();
			for (let index = 0; index < 4; index++) {
				const choice = board.choose({service: 's', nowMs: 0, random: () => 0});
				if (choice.kind === 'target') {
					chosen.add(choice.view.report.targetId);
					board.sent(choice.view.report.targetId, 0);
				}
			}

			expect(chosen.size).toEqual(4);
		});

		it('counts the load that other entries put on a target, and its own sends since', () => {
			const board = boardOf(2, 4);
			board.setLoads([{
				address: '10.0.0.0:80', bornMs: 1, active: 4, queued: 0, memoryShare: 0, pace: 1,
			}], 0);
			const choice = board.choose({service: 's', nowMs: 10, random: () => 0});
			expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
		});

		it('goes by the prompts that a target still reads, not by the streams that it writes', () => {
			const board = boardOf(2, 8);
			board.sent('t0', 0, 2800);
			for (let index = 0; index < 3; index++) {
				board.sent('t1', 0, 300);
				board.begun('t1', 300);
			}

			const choice = board.choose({service: 's', nowMs: 10, random: () => 0});
			expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
			board.begun('t0', 2800);
			const later = board.choose({service: 's', nowMs: 10, random: () => 0});
			expect(later.kind === 'target' && later.view.report.targetId).toEqual('t0');
		});

		it('does not herd: entries with the same view choose different targets', () => {
			const chosen = new Set<string>();
			let draw = 0;
			const random = () => {
				draw = (draw + 0.37) % 1;
				return draw;
			};

			for (let entry = 0; entry < 20; entry++) {
				const choice = boardOf(8, 8).choose({service: 's', nowMs: 0, random});
				if (choice.kind === 'target') {
					chosen.add(choice.view.report.targetId);
				}
			}

			expect(chosen.size > 3).toEqual(true);
		});

		it('never chooses a target that leaves, is of another service or stands in a broken group', () => {
			const board = new TargetBoard({failureDomain: 'a'});
			const [first, second] = targets(2);
			board.setTargets([{
				...first, rankPlace: {
					group: 'g', epoch: 1, rank: 0, size: 8, isOpen: false,
				},
			}, {...second, service: 'other'}]);
			expect(board.choose({service: 's', nowMs: 0, random: () => 0}).kind).toEqual('none');
		});

		it('leaves an unreachable target alone for a while, and turns away from one that fails', () => {
			const board = boardOf(2);
			board.sent('t0', 0);
			board.ended('t0', 'unreachable', 0);
			for (let index = 0; index < 3; index++) {
				const choice = board.choose({service: 's', nowMs: 100, random: () => 0});
				expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
			}

			const back = board.choose({
				service: 's', nowMs: 5000, excluded: new Set(['t1']), random: () => 0,
			});
			expect(back.kind).toEqual('target');
		});
	});
});

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
			queue.pump(49);
			expect(ended.length).toEqual(0);
			queue.pump(51);
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
				board.sent('t0', 0);
			};

			queue.admit({...request, sinceFirstTryMs: 900, mayBeBack: true}, 0, note('late'));
			queue.admit({...request, sinceFirstTryMs: 130, mayBeBack: true}, 0, note('back in time'));
			board.ended('t0', 'answered', 10);
			queue.pump(10);
			expect(order).toEqual(['back in time admitted']);
			queue.admit({...request, sinceFirstTryMs: 130, mayBeBack: true}, 20, note('second'));
			queue.pump(80);
			expect(order).toEqual(['back in time admitted']);
			for (let index = 0; index < 3; index++) {
				board.ended('t0', 'answered', 500);
			}

			queue.pump(500);
			expect(order).toEqual(['back in time admitted', 'late admitted', 'second admitted']);
		});

		it('gives all places to a request of which it is not sure that it came back, and does not refuse it at once', () => {
			const board = boardOf(1, 4);
			for (let index = 0; index < 3; index++) {
				board.sent('t0', 0);
			}

			const queue = queueOf(board);
			const ended: string[] = [];
			const note = ({kind}: Admission) => {
				ended.push(kind);
				board.sent('t0', 0);
			};

			queue.admit({...request, mayBeBack: true}, 0, note);
			expect(ended).toEqual(['admitted']);
			queue.admit({...request, mayBeBack: true}, 0, note);
			queue.pump(60);
			queue.pump(400);
			expect(ended).toEqual(['admitted']);
			for (let index = 0; index < 3; index++) {
				board.ended('t0', 'answered', 450);
			}

			queue.pump(450);
			expect(ended).toEqual(['admitted', 'admitted']);
		});

		it('lets a request that came back wait longer, behind those that can be on time', () => {
			const board = boardOf(1, 4);
			fill(board);
			const queue = queueOf(board);
			const order: string[] = [];
			const note = (name: string) => (admission: Admission) => {
				order.push(`${name} ${admission.kind}`);
				board.sent('t0', 0);
			};

			queue.admit({...request, sinceFirstTryMs: 900, mayBeBack: true}, 0, note('returned'));
			queue.admit(request, 0, note('fresh'));
			board.ended('t0', 'answered', 10);
			queue.pump(10);
			expect(order).toEqual(['fresh admitted']);
			queue.pump(300);
			expect(order).toEqual(['fresh admitted']);
			for (let index = 0; index < 3; index++) {
				board.ended('t0', 'answered', 400);
			}

			queue.pump(400);
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
				board.ended('t0', 'answered', 10);
				queue.pump(10);
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
			queue.pump(1000);
			expect(queue.waiting).toEqual(0);
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
						board.sent(admission.view.report.targetId, 0);
					}
				});
			};

			for (let index = 0; index < 40; index++) {
				admit('late', {sinceFirstTryMs: 900, mayBeBack: true});
			}

			admit('repeat', {sinceFirstTryMs: 900, isRepeat: true});
			for (let index = 0; index < 8; index++) {
				admit('onTime', {});
			}

			expect(admitted).toEqual({late: 12, onTime: 3, repeat: 1});
		});
	});

	describe('with free places', () => {
		it('never refuses', () => {
			const queue = queueOf(boardOf(3));
			let kind = '';
			queue.admit(request, 0, admission => {
				kind = admission.kind;
			});
			expect(kind).toEqual('admitted');
		});
	});

	describe('without any target', () => {
		it('refuses at once', () => {
			const queue = queueOf(boardOf(0));
			let kind = '';
			queue.admit(request, 0, admission => {
				kind = admission.kind;
			});
			expect(kind).toEqual('refused');
		});
	});
});

describe('RetryBudget', () => {
	const allowance = {ratio: 0.2, slack: 98, windowMs: 10_000};

	it('keeps the sum over all entries within the allowance, in any span of the window', () => {
		const entries = Array.from({length: 11}, () => new RetryBudget(allowance));
		const retriesAt: number[] = [];
		let requests = 0;
		for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
			const entry = entries[(nowMs / 10) % entries.length];
			entry.request('s', nowMs);
			requests++;
			for (let tries = 0; tries < 3; tries++) {
				if (entry.take('s', nowMs, entries.length)) {
					retriesAt.push(nowMs);
				}
			}
		}

		const requestsPerWindow = requests / 3;
		for (let startMs = 0; startMs <= 20_000; startMs += 500) {
			const inWindow = retriesAt.filter(atMs => atMs >= startMs && atMs < startMs + allowance.windowMs).length;
			expect(inWindow <= (allowance.ratio * requestsPerWindow) + allowance.slack).toEqual(true);
		}
	});
});

describe('RetryBudget with entries that go', () => {
	it('keeps the sum within the allowance when most entries are gone within a window', () => {
		const allowance = {ratio: 0.2, slack: 98, windowMs: 10_000};
		const entries = Array.from({length: 11}, () => new RetryBudget(allowance));
		let taken = 0;
		for (const [index, entry] of entries.entries()) {
			for (let tries = 0; tries < 200; tries++) {
				taken += entry.take('s', index, entries.length) ? 1 : 0;
			}
		}

		for (const entry of entries.slice(0, 4)) {
			for (let tries = 0; tries < 200; tries++) {
				taken += entry.take('s', 2000, 4) ? 1 : 0;
			}
		}

		expect(taken > 50 && taken <= allowance.slack).toEqual(true);
	});
});

describe('CrashGuard', () => {
	it('refuses a request after three targets died under it, and counts each death once', () => {
		const guard = new CrashGuard();
		const crash = {fingerprint: 'f', targetId: 't1', bornMs: 1};
		guard.note(crash);
		guard.note(crash);
		guard.note({...crash, bornMs: 2});
		expect(guard.isRefused('f')).toEqual(false);
		guard.note({...crash, targetId: 't2'});
		expect(guard.isRefused('f')).toEqual(true);
		expect(guard.isRefused('innocent')).toEqual(false);
	});
});

describe('nextStep', () => {
	const history: AttemptHistory = {
		kind: 'nonIdempotent', isResumable: false, outcome: 'broken', sentCount: 1, unreachedCount: 0, maxAttempts: 2, mayHaveRun: true,
	};

	it('never sends a request again that may not be repeated and may have run', () => {
		expect(nextStep(history)).toEqual('fail');
		expect(nextStep({...history, kind: 'streaming'})).toEqual('fail');
		expect(nextStep({...history, outcome: 'failed'})).toEqual('fail');
	});

	it('sends again what a target did not run, within the attempts', () => {
		expect(nextStep({...history, outcome: 'notRun', mayHaveRun: false})).toEqual('tryAnother');
		expect(nextStep({
			...history, outcome: 'notRun', mayHaveRun: false, sentCount: 2,
		})).toEqual('refuse');
	});

	it('never says that a request did not run after one target may have run it', () => {
		expect(nextStep({...history, outcome: 'notRun', sentCount: 2})).toEqual('fail');
		expect(nextStep({...history, outcome: 'notSent', unreachedCount: 9})).toEqual('fail');
	});

	it('repeats what may be repeated, within the attempts', () => {
		expect(nextStep({...history, kind: 'idempotent'})).toEqual('tryAnother');
		expect(nextStep({...history, kind: 'streaming', isResumable: true})).toEqual('tryAnother');
		expect(nextStep({...history, kind: 'idempotent', sentCount: 2})).toEqual('fail');
	});
});
