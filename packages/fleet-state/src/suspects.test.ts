import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	applySuspectCommand, deserializeSuspects, emptySuspects, serializeSuspects, refusedRetentionMs, rerunTimeoutMs, suspectRetentionMs, type SuspectAttempt, type SuspectCommand, type SuspectState,
} from './suspects.js';

const key = {clientAccount: 'account', bodyDigest: 'digest'};

function attempt(requestId: string, number = 1): SuspectAttempt {
	return {requestId, attempt: number, targetId: `target-${requestId}`};
}

function crash(state: SuspectState, crashed: SuspectAttempt, nowMs = 0): string {
	return applySuspectCommand(state, {
		kind: 'reportCrash', key, crashed, nowMs,
	}).kind;
}

function start(state: SuspectState, requestId: string, nowMs = 0): string {
	return applySuspectCommand(state, {
		kind: 'startRerun', key, requestId, nowMs,
	}).kind;
}

function end(state: SuspectState, requestId: string, isWhole: boolean): string {
	return applySuspectCommand(state, {
		kind: 'endRerun', key, requestId, isWhole, nowMs: 0,
	}).kind;
}

describe('suspects', () => {
	it('are refused after they crash a target in an isolated run', () => {
		const state = emptySuspects();
		expect(start(state, 'a')).toEqual('free');
		expect(crash(state, attempt('a'))).toEqual('busy');
		expect(start(state, 'b')).toEqual('alone');
		expect(start(state, 'c')).toEqual('busy');
		expect(crash(state, attempt('b'))).toEqual('refused');
		expect(start(state, 'd')).toEqual('refused');
	});

	it('are free after a completed run', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		start(state, 'b');
		expect(end(state, 'b', true)).toEqual('free');
		expect(start(state, 'c')).toEqual('free');
	});

	it('are not refused for crashes of targets that ran other requests as well', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		crash(state, attempt('b'));
		expect(crash(state, attempt('b'))).toEqual('busy');
		expect(start(state, 'c')).toEqual('alone');
	});

	it('may be rerun after a run was lost without a crash', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		start(state, 'b');
		end(state, 'b', false);
		expect(start(state, 'c')).toEqual('alone');
		expect(start(state, 'd', rerunTimeoutMs)).toEqual('alone');
	});

	it('are released by an operator, with a reason', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		start(state, 'b');
		crash(state, attempt('b'));
		const release = (reason: string): string => applySuspectCommand(state, {
			kind: 'release', key, operator: 'ops', reason, nowMs: 0,
		}).kind;
		expect(release(' ')).toEqual('reasonMissing');
		expect(release('the engine is fixed')).toEqual('free');
		expect(start(state, 'c')).toEqual('free');
	});

	it('are evicted after their retention', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		expect(start(state, 'b', suspectRetentionMs + 1)).toEqual('free');
		crash(state, attempt('a'));
		start(state, 'b');
		crash(state, attempt('b'));
		expect(start(state, 'c', refusedRetentionMs)).toEqual('refused');
		expect(start(state, 'c', refusedRetentionMs + 1)).toEqual('free');
	});

	it('survive a snapshot', () => {
		const state = emptySuspects();
		crash(state, attempt('a'));
		start(state, 'b');
		crash(state, attempt('b'));
		const text = JSON.stringify(serializeSuspects(state));
		const copy = deserializeSuspects(JSON.parse(text) as ReturnType<typeof serializeSuspects>);
		expect(start(copy, 'c')).toEqual('refused');
		expect(copy.version).toEqual(state.version);
	});

	it('have at most one run in progress and none after a refusal, for any sequence of commands', () => {
		const names = fc.constantFrom('a', 'b', 'c', 'd');
		const command = fc.oneof(
			names.map((requestId): SuspectCommand => ({
				kind: 'reportCrash', key, crashed: attempt(requestId), nowMs: 0,
			})),
			names.map((requestId): SuspectCommand => ({
				kind: 'startRerun', key, requestId, nowMs: 0,
			})),
			fc.tuple(names, fc.boolean()).map(([requestId, isWhole]): SuspectCommand => ({
				kind: 'endRerun', key, requestId, isWhole, nowMs: 0,
			})),
		);
		fc.assert(fc.property(fc.array(command, {maxLength: 60}), commands => {
			const state = emptySuspects();
			let alone: string | undefined;
			let isRefused = false;
			for (const next of commands) {
				const {kind} = applySuspectCommand(state, next);
				if (next.kind === 'startRerun' && kind === 'alone') {
					expect(alone === undefined || alone === next.requestId).toEqual(true);
					expect(isRefused).toEqual(false);
					alone = next.requestId;
				}

				if (next.kind === 'endRerun' && next.requestId === alone) {
					alone = undefined;
				}

				if (next.kind === 'reportCrash' && kind === 'refused') {
					isRefused = true;
					alone = undefined;
				}
			}
		}), {seed: 51, numRuns: 300});
	});
});
