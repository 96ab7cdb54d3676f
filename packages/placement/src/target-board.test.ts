import {describe, it} from 'node:test';
import {expect} from 'earl';
import {boardOf, targets} from './sample-boards.js';
import {TargetSelector} from './index.js';

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
					board.recordSent(choice.view.report.targetId, 0);
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
				board.recordSent('t1', 0);
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
					board.recordSent(choice.view.report.targetId, 0);
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
			board.recordSent('t0', 0, 2800);
			for (let index = 0; index < 3; index++) {
				board.recordSent('t1', 0, 300);
				board.recordPrefillEnd('t1', 300);
			}

			const choice = board.choose({service: 's', nowMs: 10, random: () => 0});
			expect(choice.kind === 'target' && choice.view.report.targetId).toEqual('t1');
			board.recordPrefillEnd('t0', 2800);
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
			const board = new TargetSelector({failureDomain: 'a'});
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
			board.recordSent('t0', 0);
			board.recordEnd('t0', 'unreachable', 0);
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
