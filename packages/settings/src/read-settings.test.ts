import {describe, it} from 'node:test';
import type {SettingsFailure} from '@rattanspring/types';
import {expect} from 'earl';
import {knownKeys} from './known-keys.js';
import {parseSettings, settingsSchema} from './index.js';

type Json = string | number | boolean | Json[] | {[key: string]: Json};

const host = '127.0.0.1';

/** Settings that contain every key of the schema. */
function fullSettings(): Record<string, Json> {
	return {
		vm: 'vm-1',
		region: 'tn-north',
		failureDomain: 'tn-north-a',
		dataFolder: 'data',
		logLevel: 'info',
		transport: {
			mode: 'mutualTls', authorityFile: 'a.pem', certificateFile: 'c.pem', privateKeyFile: 'k.pem',
		},
		admin: {listen: {host, port: 7100}},
		roles: {
			control: {
				listen: {host, port: 7101}, voterId: 'voter-1', start: 'newGroup', initialVoters: [{voterId: 'voter-1', address: `${host}:7101`}], initialConfigurationFile: 'initial.json',
			},
			relay: {listen: {host, port: 7102}, controlAddresses: [`${host}:7101`], peerRelayAddresses: [`${host}:7202`]},
			entry: {
				listen: {host, port: 7103},
				advertisedUrl: 'https://10.0.0.1:7103',
				relayAddresses: [`${host}:7102`],
				controlAddresses: [`${host}:7101`],
				transport: {mode: 'tls', certificateFile: 'c.pem', privateKeyFile: 'k.pem'},
				maxBodyBytes: 1000,
			},
			agent: {
				listen: {host, port: 7104},
				advertisedAddress: `${host}:7104`,
				relayAddresses: [`${host}:7102`],
				targets: [{
					targetId: 'engine-1', baseUrl: 'http://127.0.0.1:9001', kind: 'model', services: ['draft-model'], groupId: 'group-1', rank: 0, groupUrl: 'http://127.0.0.1:9002', capacityRequests: 16, checksFencing: true,
				}],
				announceIntervalMs: 500,
				leaseMs: 3000,
				streamBufferBytes: 1_000_000,
			},
		},
	};
}

type Path = ReadonlyArray<string | number>;

function objectPaths(value: Json, path: Path = []): Path[] {
	if (Array.isArray(value)) {
		return value.flatMap((item, index) => objectPaths(item, [...path, index]));
	}

	if (typeof value !== 'object') {
		return [];
	}

	return [path, ...Object.entries(value).flatMap(([key, item]) => objectPaths(item, [...path, key]))];
}

function at(value: Json, path: Path): Record<string, Json> {
	let found = value;
	for (const key of path) {
		found = (found as Record<string, Json>)[key];
	}

	return found as Record<string, Json>;
}

function failuresOf(content: Json): readonly SettingsFailure[] {
	const result = parseSettings('settings.json', JSON.stringify(content));
	return result.ok ? [] : result.failure;
}

const paths = objectPaths(fullSettings());

describe('parseSettings', () => {
	it('accepts settings that contain every key', () => {
		expect(failuresOf(fullSettings())).toEqual([]);
	});

	it('has every key of the schema in its test settings', () => {
		for (const path of paths) {
			const known = new Set(knownKeys(settingsSchema, path.map(String)));
			expect(Object.keys(at(fullSettings(), path)).toSorted()).toEqual([...known].toSorted());
		}
	});

	describe('a value of the wrong type', () => {
		for (const path of paths) {
			for (const key of Object.keys(at(fullSettings(), path))) {
				const name = [...path, key].join('.');
				it(`names ${name}`, () => {
					const content = fullSettings();
					const parent = at(content, path);
					parent[key] = typeof parent[key] === 'boolean' ? 'yes' : true;
					const failures = failuresOf(content);
					expect(failures.some(failure => failure.file === 'settings.json' && failure.key.startsWith(name) && failure.expected !== '')).toEqual(true);
				});
			}
		}
	});

	describe('an unknown key', () => {
		for (const path of paths) {
			it(`is named in ${path.join('.') || 'the whole file'}`, () => {
				const content = fullSettings();
				at(content, path).surplus = 1;
				expect(failuresOf(content).map(failure => failure.key)).toEqual([[...path, 'surplus'].join('.')]);
			});
		}

		it('with the wrong unit suffix suggests the key with the correct one', () => {
			const content = fullSettings();
			at(content, ['roles', 'agent']).announceIntervalSeconds = 1;
			const [failure] = failuresOf(content);
			expect([failure.type, failure.key]).toEqual(['settingsInvalid', 'roles.agent.announceIntervalSeconds']);
			expect(failure.expected).toInclude('"announceIntervalMs"');
		});
	});

	describe('a missing key', () => {
		const required = [
			'vm', 'region', 'failureDomain', 'transport', 'admin', 'roles', 'transport.authorityFile', 'roles.control.voterId', 'roles.entry.advertisedUrl', 'roles.agent.targets', 'roles.relay.controlAddresses',
		];
		for (const name of required) {
			it(`names ${name}`, () => {
				const content = fullSettings();
				const path = name.split('.');
				const parent = at(content, path.slice(0, -1));
				delete parent[path.at(-1)!]; // eslint-disable-line @typescript-eslint/no-dynamic-delete -- the key is a parameter of the test
				expect(failuresOf(content).map(failure => failure.key)).toEqual([name]);
			});
		}
	});

	describe('keys that contradict each other', () => {
		it('names two roles on one port', () => {
			const content = fullSettings();
			at(content, ['roles', 'relay', 'listen']).port = 7101;
			expect(failuresOf(content).map(failure => failure.key)).toEqual(['roles.relay.listen.port']);
		});

		it('names a control role without a data folder', () => {
			const content = fullSettings();
			delete content.dataFolder;
			expect(failuresOf(content).map(failure => failure.key)).toEqual(['dataFolder']);
		});

		it('names a plaintext listener on a non-loopback address', () => {
			const content = fullSettings();
			content.transport = {mode: 'plaintext'};
			at(content, ['roles', 'agent', 'listen']).host = '10.0.0.4';
			expect(failuresOf(content).map(failure => failure.key)).toEqual(['roles.agent.listen.host']);
		});

		it('names a voter that is not among the initial voters', () => {
			const content = fullSettings();
			at(content, ['roles', 'control']).voterId = 'voter-9';
			expect(failuresOf(content).map(failure => failure.key)).toEqual(['roles.control.initialVoters']);
		});

		it('names settings without a role', () => {
			const content = fullSettings();
			content.roles = {};
			expect(failuresOf(content).map(failure => failure.key)).toEqual(['roles']);
		});
	});

	describe('a file that is not valid JSON', () => {
		it('yields a typed failure for the whole file', () => {
			const result = parseSettings('settings.json', '{"vm":');
			expect(result.ok ? [] : result.failure.map(({type, key}) => [type, key])).toEqual([['settingsUnreadable', '']]);
		});
	});
});
