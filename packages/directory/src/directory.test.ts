import {describe, it} from 'node:test';
import type {TargetAnnouncement} from '@rattanspring/types';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	applyAnnouncement, emptyDirectory, expire, expiredFallbackMs, reportUnreachable, selectSubset, serviceDigests, servingTargets, tombstoneMs,
} from './index.js';

const leaseMs = 1000;

function buildAnnouncement(change: Partial<TargetAnnouncement> = {}): TargetAnnouncement {
	return {
		targetId: 'target-1', incarnation: 1, sequence: 1, vm: 'vm-1', failureDomain: 'domain-a', agentAddress: '10.0.0.1:7101', kind: 'model', services: ['draft-model'], state: 'serving', leaseMs,
		load: {
			queuedTokens: 10, prefillTokens: 0, inProgressRequests: 1, capacityRequests: 16, tokensPerSecond: 800, stepTimeSkew: 1,
		},
		...change,
	};
}

type Version = {readonly incarnation: number; readonly sequence: number};

function compareVersions(left: Version, right: Version): number {
	return left.incarnation - right.incarnation || left.sequence - right.sequence;
}

describe('directory', () => {
	describe('announcements', () => {
		it('that are reordered, duplicated or lost leave the newest one received', () => {
			const versions = fc.record({incarnation: fc.nat(3), sequence: fc.nat(8)});
			fc.assert(fc.property(fc.array(versions, {minLength: 1}), arrived => {
				const state = emptyDirectory();
				for (const version of arrived) {
					applyAnnouncement(state, buildAnnouncement(version), 0);
				}

				const newest = arrived.toSorted(compareVersions).at(-1)!;
				const known = state.targets.get('target-1')!.announcement;
				expect([known.incarnation, known.sequence]).toEqual([newest.incarnation, newest.sequence]);
			}), {seed: 11});
		});

		it('that are stale do not restore an expired target', () => {
			const state = emptyDirectory();
			applyAnnouncement(state, buildAnnouncement({sequence: 7}), 0);
			expect(expire(state, leaseMs + 1)).toEqual(['target-1']);
			expect(applyAnnouncement(state, buildAnnouncement({sequence: 6}), leaseMs + 2)).toEqual(false);
			expect(applyAnnouncement(state, buildAnnouncement({sequence: 7}), leaseMs + 2)).toEqual(false);
			expect(state.targets.size).toEqual(0);
		});

		it('whose lease expired in transit are ignored', () => {
			const state = emptyDirectory();
			expect(applyAnnouncement(state, buildAnnouncement(), 5000, leaseMs + 1)).toEqual(false);
			applyAnnouncement(state, buildAnnouncement(), 5000, 600);
			expect(expire(state, 5401)).toEqual(['target-1']);
		});

		it('of an older incarnation are applied only after the tombstone is dropped', () => {
			const state = emptyDirectory();
			applyAnnouncement(state, buildAnnouncement({incarnation: 2}), 0);
			expire(state, leaseMs + 1);
			expire(state, leaseMs + 1 + tombstoneMs);
			expect(applyAnnouncement(state, buildAnnouncement({incarnation: 1}), 0)).toEqual(false);
			expire(state, leaseMs + 2 + tombstoneMs);
			expect(applyAnnouncement(state, buildAnnouncement({incarnation: 1}), 0)).toEqual(true);
		});
	});

	describe('a leaving target', () => {
		it('never serves again in its incarnation, for any sequence of announcements and expiries', () => {
			const event = fc.oneof(
				fc.record({kind: fc.constant('arrive' as const), sequence: fc.nat(10), state: fc.constantFrom('serving' as const, 'leaving' as const)}),
				fc.record({kind: fc.constant('wait' as const), waitMs: fc.nat(3000)}),
			);
			fc.assert(fc.property(fc.array(event), events => {
				const state = emptyDirectory();
				let nowMs = 0;
				applyAnnouncement(state, buildAnnouncement({sequence: 5, state: 'leaving'}), nowMs);
				for (const next of events) {
					if (next.kind === 'wait') {
						nowMs += next.waitMs;
						expire(state, nowMs);
					} else {
						applyAnnouncement(state, buildAnnouncement({sequence: next.sequence, state: next.state}), nowMs);
					}

					expect(servingTargets(state, 'draft-model', nowMs)).toEqual([]);
				}
			}), {seed: 12});
		});

		it('serves again as a new incarnation', () => {
			const state = emptyDirectory();
			applyAnnouncement(state, buildAnnouncement({state: 'leaving'}), 0);
			applyAnnouncement(state, buildAnnouncement({incarnation: 2, sequence: 0}), 0);
			expect(servingTargets(state, 'draft-model', 0).length).toEqual(1);
		});
	});

	describe('a target restarted at the same address with another model', () => {
		it('replaces the previous one, under the same id or another', () => {
			const state = emptyDirectory();
			applyAnnouncement(state, buildAnnouncement(), 0);
			applyAnnouncement(state, buildAnnouncement({incarnation: 2, services: ['menu-model']}), 10);
			expect(servingTargets(state, 'draft-model', 10)).toEqual([]);
			applyAnnouncement(state, buildAnnouncement({targetId: 'target-2', incarnation: 3, services: ['caption-model']}), 20);
			expect(servingTargets(state, 'menu-model', 20)).toEqual([]);
			expect([...state.targets.keys()]).toEqual(['target-2']);
		});
	});

	describe('the loss of half the targets of a failure domain', () => {
		it('leaves the others, and falls back to all of them once none is left', () => {
			const state = emptyDirectory();
			for (let index = 0; index < 8; index++) {
				applyAnnouncement(state, buildAnnouncement({targetId: `target-${index}`, agentAddress: `10.0.0.${index}:1`, leaseMs: index < 4 ? 1000 : 2000}), 0);
			}

			expect(expire(state, 1001).length).toEqual(4);
			expect(servingTargets(state, 'draft-model', 1001).length).toEqual(4);
			expire(state, 2001);
			expect(servingTargets(state, 'draft-model', 2001).length).toEqual(8);
			expect(servingTargets(state, 'draft-model', 2002 + expiredFallbackMs)).toEqual([]);
		});
	});

	describe('an unreachable target', () => {
		it('is not a candidate until its next announcement', () => {
			const state = emptyDirectory();
			applyAnnouncement(state, buildAnnouncement(), 0);
			applyAnnouncement(state, buildAnnouncement({targetId: 'target-2', agentAddress: '10.0.0.2:1'}), 0);
			reportUnreachable(state, 'target-1');
			expect(servingTargets(state, 'draft-model', 0).map(entry => entry.announcement.targetId)).toEqual(['target-2']);
			applyAnnouncement(state, buildAnnouncement({sequence: 2}), 0);
			expect(servingTargets(state, 'draft-model', 0).length).toEqual(2);
		});
	});

	describe('subsets', () => {
		const state = emptyDirectory();
		for (let index = 0; index < 100; index++) {
			applyAnnouncement(state, buildAnnouncement({targetId: `target-${index}`, agentAddress: `10.0.0.${index}:1`}), 0);
		}

		it('have the requested size, cover all targets over many watchers, and change only by the targets removed', () => {
			const covered = new Set<string>();
			for (let watcher = 0; watcher < 60; watcher++) {
				const subset = selectSubset(state, `entry-${watcher}`, 'draft-model', 10);
				expect(subset.size).toEqual(10);
				for (const targetId of subset) {
					covered.add(targetId);
				}
			}

			expect(covered.size).toEqual(100);
			const before = selectSubset(state, 'entry-1', 'draft-model', 10);
			const [gone] = before;
			const smaller = emptyDirectory();
			for (const entry of state.targets.values()) {
				if (entry.announcement.targetId !== gone) {
					applyAnnouncement(smaller, entry.announcement, 0);
				}
			}

			const after = selectSubset(smaller, 'entry-1', 'draft-model', 10);
			expect([...before].filter(targetId => after.has(targetId)).length).toEqual(9);
		});

		it('are complemented by digests over all targets', () => {
			expect(serviceDigests(state)).toEqual([{
				service: 'draft-model', failureDomain: 'domain-a', servingTargets: 100, capacityRequests: 1600, inProgressRequests: 100, queuedTokens: 1000,
			}]);
		});
	});
});
