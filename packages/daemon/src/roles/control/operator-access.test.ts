import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {emptyConfiguration, type FleetCommand} from '@rattanspring/fleet-state';
import type {FleetConfiguration, OperatorAccess, OperatorKey} from '@rattanspring/types';
import {expect} from 'earl';
import {parseCommand} from './command-schema.js';
import {authorizeCommand, authorizeRead} from './operator-access.js';

const key = (secret: string, access: OperatorAccess, endsAtMs?: number): OperatorKey => ({
	keyId: secret, secretDigest: createHash('sha256').update(secret).digest('hex'), operator: `operator of ${secret}`, access, endsAtMs,
});

const configuration: FleetConfiguration = {...emptyConfiguration, operatorKeys: [key('write', 'readWrite'), key('read', 'readOnly'), key('old', 'readWrite', 10)]};

const change: FleetCommand = {
	kind: 'change',
	change: {
		changeId: 'c',
		baseRevision: 0,
		operator: 'someone else',
		reason: 'r',
		edits: [{
			kind: 'addException', exception: {
				exceptionId: 'e', scope: {kind: 'service', name: 's'}, key: 'routing.sampleSize', value: 2, reason: 'r', operator: 'someone else',
			},
		}],
	},
};

function outcome(command: FleetCommand, secret: string, nowMs = 10): string {
	const result = authorizeCommand(configuration, command, secret, nowMs);
	return result.ok ? (JSON.stringify(result.value).includes('someone else') ? 'as given' : 'in the key\'s name') : result.failure.type;
}

describe('operator access', () => {
	it('accepts a change only with a valid read-write key, and under the name of its operator', () => {
		expect(['write', 'read', 'old', 'none', ''].map(secret => outcome(change, secret))).toEqual(['in the key\'s name', 'forbidden', 'forbidden', 'forbidden', 'forbidden']);
		expect(outcome(change, 'old', 9)).toEqual('in the key\'s name');
	});

	it('allows full access while there is no key, so that the first one can be added', () => {
		expect(authorizeCommand(emptyConfiguration, change, '', 0).ok).toEqual(true);
		expect(authorizeRead(emptyConfiguration, 'configuration', '', 0).ok).toEqual(true);
	});

	it('lets daemons acquire and read leases without a key, but not read the configuration', () => {
		const lease: FleetCommand = {
			kind: 'lease', command: {
				kind: 'acquire', subject: {kind: 'targetOwner', name: 't'}, holder: 'h', durationMs: 1000,
			},
		};
		expect(authorizeCommand(configuration, lease, '', 0).ok).toEqual(true);
		expect(authorizeRead(configuration, 'leases', '', 0).ok).toEqual(true);
		expect(authorizeRead(configuration, 'configuration', '', 0).ok).toEqual(false);
		expect(authorizeRead(configuration, 'configuration', 'read', 0).ok).toEqual(true);
	});
});

describe('parseCommand', () => {
	it('accepts a complete command', () => {
		expect(parseCommand(change)).toEqual({ok: true, value: change});
	});

	it('refuses leader timestamps from a client, unknown fields and unknown kinds', () => {
		for (const wrong of [undefined, {}, {kind: 'other'}, {...change, acceptedAtMs: 1}, {kind: 'change', change: {...change.change, revision: 3}}]) {
			const result = parseCommand(wrong);
			expect(!result.ok && result.failure.type).toEqual('malformedCommand');
		}
	});
});
