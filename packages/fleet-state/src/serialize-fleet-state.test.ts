import {describe, it} from 'node:test';
import type {ConfigurationChange} from '@rattanspring/types';
import {expect} from 'earl';
import {applyFleetCommand, emptyFleetState} from './fleet-state.js';
import {deserializeFleetState, serializeFleetState, type SerializedFleetState} from './serialize-fleet-state.js';

const change: ConfigurationChange = {
	changeId: 'a', baseRevision: 0, operator: 'op', reason: 'test', edits: [{kind: 'setDefault', key: 'routing.sampleSize', value: 3}],
};

describe('serializeFleetState', () => {
	it('preserves configuration, answers and ledger through JSON', () => {
		const state = emptyFleetState();
		const claim = {
			requestId: 'r', attempt: 1, targetId: 't', incarnation: 1,
		};
		const key = {clientAccount: 'c', service: 's', idempotencyKey: 'k'};
		const claimCommand = {
			kind: 'ledger', command: {
				kind: 'claim', key, bodyDigest: 'd', claim, nowMs: 5,
			},
		} as const;
		applyFleetCommand(state, {kind: 'change', change});
		applyFleetCommand(state, claimCommand);
		const text = JSON.stringify(serializeFleetState(state));
		const copy = deserializeFleetState(JSON.parse(text) as SerializedFleetState);
		expect(serializeFleetState(copy)).toEqual(serializeFleetState(state));
		expect(applyFleetCommand(copy, {kind: 'change', change})).toEqual({kind: 'change', answer: {kind: 'accepted', revision: 1}});
	});
});
