import {describe, it} from 'node:test';
import type {ChangeAnswer, ConfigurationChange, ConfigurationEdit} from '@rattanspring/types';
import {expect} from 'earl';
import {applyFleetCommand, emptyFleetState, type FleetState} from './fleet-state.js';
import {deserializeFleetState, serializeFleetState, type SerializedFleetState} from './serialize-fleet-state.js';
import {buildChange, buildException} from './test-fixtures.js';

function submit(state: FleetState, change: ConfigurationChange): ChangeAnswer {
	const answer = applyFleetCommand(state, {kind: 'change', change});
	return answer.kind === 'change' ? answer.answer : {kind: 'rejected', type: 'emptyChange', message: 'not a change'};
}

function submitRejected(edits: readonly ConfigurationEdit[], state = emptyFleetState()): string {
	const before = state.configuration;
	const answer = submit(state, buildChange('rejected', before.revision, edits));
	expect(state.configuration).toEqual(before);
	return answer.kind === 'rejected' ? answer.type : answer.kind;
}

function snapshotCopy(state: FleetState): FleetState {
	const text = JSON.stringify(serializeFleetState(state));
	return deserializeFleetState(JSON.parse(text) as SerializedFleetState);
}

/** Accepts `count` changes on top of the current revision. */
function acceptMany(state: FleetState, count: number): void {
	for (let index = 0; index < count; index++) {
		const {revision} = state.configuration;
		expect(submit(state, buildChange(`many-${revision}`, revision))).toEqual({kind: 'accepted', revision: revision + 1});
	}
}

describe('applyFleetCommand', () => {
	describe('two changes with equal bases', () => {
		it('accepts the first and answers the second with the changes since its base', () => {
			const state = emptyFleetState();
			const winner = buildChange('winner', 0);
			expect(submit(state, winner)).toEqual({kind: 'accepted', revision: 1});
			expect(submit(state, buildChange('loser', 0))).toEqual({
				kind: 'conflict', currentRevision: 1, changesSince: [winner], omittedChanges: 0,
			});
			expect(state.configuration.revision).toEqual(1);
		});
	});

	describe('a resent change id', () => {
		it('gets the first answer after a snapshot and hundreds of other changes', () => {
			const state = emptyFleetState();
			const accepted = buildChange('accepted', 0);
			const conflicting = buildChange('conflicting', 0);
			const refused = buildChange('refused', 1, [{kind: 'unsetDefault', key: 'retry.budgetRatio'}]);
			const sent = [accepted, conflicting, refused];
			const first = sent.map(change => submit(state, change));
			acceptMany(state, 700);
			const copy = snapshotCopy(state);
			expect(sent.map(change => submit(copy, change))).toEqual(first);
			expect(copy.configuration.revision).toEqual(701);
		});

		it('is recognised regardless of the order of its fields', () => {
			const state = emptyFleetState();
			submit(state, buildChange('a', 0));
			const {
				changeId, baseRevision, operator, reason, edits,
			} = buildChange('a', 0);
			expect(submit(state, {
				edits, reason, operator, baseRevision, changeId,
			})).toEqual({kind: 'accepted', revision: 1});
		});

		it('is rejected if the change differs', () => {
			const state = emptyFleetState();
			submit(state, buildChange('a', 0));
			const answer = submit(state, buildChange('a', 1));
			expect(answer.kind === 'rejected' && answer.type).toEqual('changeIdReused');
		});

		it('is not accepted twice after its answer was evicted', () => {
			const state = emptyFleetState({answered: 5, history: 5});
			const accepted = buildChange('accepted', 0);
			submit(state, accepted);
			acceptMany(state, 10);
			expect(state.changes.answered.size).toEqual(5);
			const answer = submit(state, accepted);
			expect(answer.kind === 'conflict' && [answer.changesSince.length, answer.omittedChanges]).toEqual([5, 6]);
			expect(state.configuration.revision).toEqual(11);
		});
	});

	describe('a rejected change', () => {
		it('leaves the configuration unchanged, even if only the last edit is invalid', () => {
			expect(submitRejected([{kind: 'setDefault', key: 'routing.sampleSize', value: 3}, {kind: 'setDefault', key: 'routing.sampleSize', value: 65}])).toEqual('invalidValue');
			expect(submitRejected([{kind: 'setDefault', key: 'routing.sampleSize', value: 2.5}])).toEqual('invalidValue');
			expect(submitRejected([{kind: 'setDefault', key: 'routes.idempotent', value: ['lookup']}])).toEqual('invalidValue');
			expect(submitRejected([{kind: 'setDefault', key: 'toString', value: 1}])).toEqual('unknownKey');
			expect(submitRejected([{kind: 'unsetDefault', key: 'routing.sampleSize'}])).toEqual('defaultNotSet');
			expect(submitRejected([{kind: 'removeException', exceptionId: 'none'}])).toEqual('unknownException');
			expect(submitRejected([])).toEqual('emptyChange');
		});

		it('reports an exception without a reason, with an inapplicable scope, or added twice', () => {
			const add = (fields: Parameters<typeof buildException>[0]): ConfigurationEdit => ({kind: 'addException', exception: buildException(fields)});
			expect(submitRejected([add({reason: ' '})])).toEqual('reasonMissing');
			expect(submitRejected([add({scope: {kind: 'target', name: 't'}})])).toEqual('scopeNotApplicable');
			expect(submitRejected([add({}), add({exceptionId: 'e2'})])).toEqual('duplicateException');
		});

		it('reports a base revision that does not exist yet', () => {
			const answer = submit(emptyFleetState(), buildChange('a', 1));
			expect(answer.kind === 'rejected' && answer.type).toEqual('unknownRevision');
		});
	});

	describe('keys', () => {
		const callerKey = (keyId: string, secretDigest: string): ConfigurationEdit => ({kind: 'addCallerKey', callerKey: {keyId, secretDigest, clientAccount: 'a'}});
		const operatorKey = (keyId: string): ConfigurationEdit => ({
			kind: 'addOperatorKey', operatorKey: {
				keyId, secretDigest: keyId, operator: 'op', access: 'readWrite',
			},
		});

		it('of one account may coexist, but ids and secrets must be unique', () => {
			expect(submitRejected([callerKey('1', 'x'), callerKey('1', 'y')])).toEqual('duplicateCallerKey');
			expect(submitRejected([callerKey('1', 'x'), callerKey('2', 'x')])).toEqual('duplicateCallerKey');
			const state = emptyFleetState();
			const answer = submit(state, buildChange('a', 0, [callerKey('1', 'x'), callerKey('2', 'y'), {kind: 'removeCallerKey', keyId: '1'}]));
			expect(answer.kind).toEqual('accepted');
			expect(state.configuration.callerKeys.map(key => key.keyId)).toEqual(['2']);
		});

		it('of operators must include one with write access', () => {
			const state = emptyFleetState();
			submit(state, buildChange('a', 0, [operatorKey('1')]));
			expect(submitRejected([operatorKey('1')], snapshotCopy(state))).toEqual('duplicateOperatorKey');
			expect(submitRejected([{kind: 'removeOperatorKey', keyId: '1'}], snapshotCopy(state))).toEqual('lastOperatorKey');
			const answer = submit(state, buildChange('b', 1, [operatorKey('2'), {kind: 'removeOperatorKey', keyId: '1'}]));
			expect(answer).toEqual({kind: 'accepted', revision: 2});
		});
	});
});
