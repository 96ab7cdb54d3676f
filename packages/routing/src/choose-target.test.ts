import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import type {DirectoryEntry} from '@rattanspring/directory';
import type {TargetAnnouncement} from '@rattanspring/types';
import {expect} from 'earl';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	cacheSaltOf, chooseTarget, OwnDispatches, prefixDigestOf, PrefixIndex, type ChoiceInput,
} from './index.js';

type Load = TargetAnnouncement['load'];

function candidate(targetId: string, load: Partial<Load> = {}, receivedAtMs = 0): DirectoryEntry {
	const announcement: TargetAnnouncement = {
		targetId, incarnation: 1, sequence: 1, vm: targetId, failureDomain: 'a', agentAddress: `${targetId}:1`, kind: 'model', services: ['m'], state: 'serving', leaseMs: 3000,
		load: {
			queuedTokens: 0, prefillTokens: 0, inProgressRequests: 0, capacityRequests: 16, tokensPerSecond: 800, stepTimeSkew: 1, ...load,
		},
	};
	return {announcement, receivedAtMs};
}

function input(candidates: readonly DirectoryEntry[], change: Partial<ChoiceInput> = {}): ChoiceInput {
	const generator = xoroshiro128plus(41);
	return {
		candidates,
		excluded: new Set(),
		ownDispatches: new OwnDispatches(),
		prefixes: new PrefixIndex(),
		prefixDigest: '',
		promptTokens: 100,
		prefixTokens: 64,
		sampleSize: candidates.length,
		random: () => uniformFloat64(generator),
		nowMs: 100,
		...change,
	};
}

function chosen(candidates: readonly DirectoryEntry[], change: Partial<ChoiceInput> = {}): string | undefined {
	return chooseTarget(input(candidates, change))?.announcement.targetId;
}

describe('chooseTarget', () => {
	it('avoids queues, slow targets and groups with a skewed step time', () => {
		expect(chosen([candidate('busy', {queuedTokens: 8000, inProgressRequests: 16}), candidate('idle')])).toEqual('idle');
		expect(chosen([candidate('slow', {tokensPerSecond: 200, queuedTokens: 400, inProgressRequests: 4}), candidate('fast', {queuedTokens: 400, inProgressRequests: 4})])).toEqual('fast');
		expect(chosen([candidate('skewed', {stepTimeSkew: 3}), candidate('even')])).toEqual('even');
	});

	it('counts own dispatches that the report cannot include yet, and no older ones', () => {
		const ownDispatches = new OwnDispatches();
		const targets = [candidate('a', {}, 50), candidate('b', {queuedTokens: 10, prefillTokens: 10, inProgressRequests: 1}, 50)];
		ownDispatches.add({
			targetId: 'a', tokens: 100, prefillTokens: 100, atMs: 40,
		});
		expect(chosen(targets, {ownDispatches})).toEqual('a');
		const end = ownDispatches.add({
			targetId: 'a', tokens: 500, prefillTokens: 500, atMs: 60,
		});
		expect(chosen(targets, {ownDispatches})).toEqual('b');
		end();
		expect(chosen(targets, {ownDispatches})).toEqual('a');
	});

	it('gives an old report less weight than a new one', () => {
		const idleInOldReport = candidate('old', {queuedTokens: 0, inProgressRequests: 16}, -60_000);
		const lightlyLoaded = candidate('new', {queuedTokens: 1000, inProgressRequests: 16}, 99);
		const heavilyLoaded = candidate('other', {queuedTokens: 20_000, inProgressRequests: 16}, 99);
		expect(chosen([idleInOldReport, lightlyLoaded, heavilyLoaded])).toEqual('new');
	});

	it('prefers a target that has the prefix cached, even outside the random sample, until its queue outweighs that', () => {
		const prefixes = new PrefixIndex();
		const targets = Array.from({length: 20}, (_, index) => candidate(`t${index}`));
		prefixes.recordDispatch('t7', 'digest');
		expect(chosen(targets, {prefixes, prefixDigest: 'digest', sampleSize: 1})).toEqual('t7');
		targets[7] = candidate('t7', {queuedTokens: 8000, inProgressRequests: 16});
		expect(chosen(targets, {prefixes, prefixDigest: 'digest', sampleSize: 2}) === 't7').toEqual(false);
	});

	it('skips excluded targets', () => {
		expect(chosen([candidate('a')], {excluded: new Set(['a'])})).toEqual(undefined);
	});
});

describe('prefix index', () => {
	const prompt = Buffer.from('the same prompt');

	it('salts prefixes by client account', () => {
		expect(prefixDigestOf('account-1', prompt) === prefixDigestOf('account-2', prompt)).toEqual(false);
		expect(cacheSaltOf('account-1') === cacheSaltOf('account-2')).toEqual(false);
	});

	it('ignores late events and tolerates missing ones', () => {
		const prefixes = new PrefixIndex();
		prefixes.applyEvent({
			targetId: 't', sequence: 5, kind: 'stored', digest: 'd',
		});
		prefixes.applyEvent({
			targetId: 't', sequence: 4, kind: 'evicted', digest: 'd',
		});
		expect(prefixes.has('t', 'd')).toEqual(true);
		prefixes.applyEvent({
			targetId: 't', sequence: 9, kind: 'evicted', digest: 'd',
		});
		expect(prefixes.has('t', 'd')).toEqual(false);
	});

	it('is bounded and keeps the most recently used digests', () => {
		const prefixes = new PrefixIndex({maxDigests: 2});
		for (const digest of ['a', 'b', 'a', 'c']) {
			prefixes.recordDispatch('t', digest);
		}

		expect(['a', 'b', 'c'].map(digest => prefixes.has('t', digest))).toEqual([true, false, true]);
	});
});
