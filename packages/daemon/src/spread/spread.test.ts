import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {GrpcControlAccess} from '@rattanspring/control-client';
import {WinstonLogger} from '@rattanspring/logger';
import type {InForceAnswer} from '@rattanspring/types';
import {expect} from 'earl';
import {MemoryFleetLog} from '../adapters/memory-fleet-log.js';
import {GrpcListener} from '../adapters/grpc-listener.js';
import {ConfigurationFollower} from '../configuration-follower.js';
import {InForceConfiguration} from '../in-force-configuration.js';
import {ControlRole} from '../roles/control/control-role.js';
import {ConfigurationSpread} from '../roles/relay/configuration-spread.js';
import {freePorts, waitUntil} from '../test-fleet.js';
import {SharedFleetLog, OffsetClock} from '../test-spread.js';

const host = '127.0.0.1';
const failureDomain = 'a';

/** Longer than the time after which an unconfirmed configuration counts as not in force. */
const beyondFreshnessLimitMs = 60_000;

describe('configuration spread', () => {
	let shared: MemoryFleetLog;
	let logs: SharedFleetLog[];
	let controls: ControlRole[];
	let access: GrpcControlAccess;
	let ports: number[];
	let cleanups: Array<() => Promise<void>>;
	let revision: number;
	/** Shared by all processes of a test, so that a confirmation ages for all of them at once. */
	let clock: OffsetClock;

	beforeEach(async () => {
		shared = new MemoryFleetLog();
		revision = 0;
		clock = new OffsetClock();
		cleanups = [];
		ports = await freePorts(5);
		logs = [new SharedFleetLog(shared, 'leads'), new SharedFleetLog(shared, 'follows')];
		controls = logs.map((log, index) => new ControlRole({
			settings: {
				listen: {host, port: ports[index]}, voterId: `v${index}`, start: 'newGroup', initialVoters: [],
			}, log, clock, logger: new WinstonLogger({level: 'error'}),
		}));
		for (const control of controls) {
			await control.start();
			cleanups.unshift(async () => control.stop());
		}

		access = new GrpcControlAccess({addresses: [`${host}:${ports[0]}`]});
		cleanups.unshift(async () => {
			access.close();
		});
	});

	afterEach(async () => {
		for (const stop of cleanups) {
			await stop();
		}
	});

	async function change(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			await shared.submit({
				kind: 'change', change: {
					changeId: `c${revision}`, baseRevision: revision, operator: 'o', reason: 'r', edits: [{kind: 'setDefault', key: 'routing.sampleSize', value: 1 + (revision % 64)}],
				},
			});
			revision++;
		}
	}

	async function startRelay(port: number, peerPorts: readonly number[] = []): Promise<{stop(): Promise<void>}> {
		const listener = new GrpcListener({listen: {host, port}});
		const spread = new ConfigurationSpread({
			daemonId: `relay-${port}`, failureDomain, controlAddresses: [`${host}:${ports[0]}`, `${host}:${ports[1]}`], peerRelayAddresses: peerPorts.map(peer => `${host}:${peer}`), clock,
		});
		spread.addTo(listener);
		await listener.start();
		spread.start();
		let isStopped = false;
		const stop = async (): Promise<void> => {
			if (!isStopped) {
				isStopped = true;
				spread.stop();
				await listener.stop(100);
			}
		};

		cleanups.unshift(stop);
		return {stop};
	}

	async function startFollower(daemonId: string, relayPorts: readonly number[]): Promise<{inForce: InForceConfiguration; stop(): Promise<void>}> {
		const inForce = new InForceConfiguration({clock, failureDomain});
		const follower = new ConfigurationFollower({
			follower: {
				daemonId, vm: daemonId, failureDomain, roles: ['entry'],
			}, relayAddresses: relayPorts.map(port => `${host}:${port}`), inForce, clock,
		});
		await follower.start();
		const stop = async (): Promise<void> => follower.stop();
		cleanups.unshift(stop);
		return {inForce, stop};
	}

	async function daemonsNotInForce(): Promise<string[]> {
		const answer = await access.read<InForceAnswer>('inForce');
		return answer.ok ? answer.value.notInForce.map(daemon => `${daemon.daemonId} ${daemon.reason}`) : [answer.failure.type];
	}

	it('delivers changes to a daemon and reports to the voters that they are in force', async () => {
		await startRelay(ports[2]);
		const {inForce} = await startFollower('d1', [ports[2]]);
		await waitUntil(() => inForce.isConfirmed);
		await change(3);
		await waitUntil(() => inForce.configuration.revision === 3);
		const state = await shared.confirmedState();
		expect(inForce.configuration).toEqual(state.ok ? state.value.configuration : inForce.configuration);
		await waitUntil(async () => {
			const answer = await access.read<InForceAnswer>('inForce');
			return answer.ok && answer.value.inForce === 1 && answer.value.daemons === 1;
		});
	});

	it('brings a daemon that restarts after hundreds of changes up to date, through another relay if the first is unreachable', async () => {
		await startRelay(ports[2]);
		const first = await startFollower('d1', [ports[2]]);
		await waitUntil(() => first.inForce.isConfirmed);
		await first.stop();
		await change(1200);
		const second = await startFollower('d1', [ports[3], ports[2]]);
		// The relay may confirm a revision before it has received the last changes.
		await waitUntil(() => second.inForce.isConfirmed && second.inForce.configuration.revision === 1200);
		await waitUntil(async () => {
			const answer = await access.read<InForceAnswer>('inForce');
			return answer.ok && answer.value.daemons === 1 && answer.value.inForce === 1;
		});
	});

	it('moves a daemon to another relay, from its current revision, when its relay stops', async () => {
		const relay = await startRelay(ports[2]);
		await startRelay(ports[3]);
		const {inForce} = await startFollower('d1', [ports[2], ports[3]]);
		await waitUntil(() => inForce.isConfirmed);
		await relay.stop();
		await change(5);
		await waitUntil(() => inForce.configuration.revision === 5);
	});

	it('makes a daemon without a relay refuse work, and lists it as not in force', async () => {
		const relay = await startRelay(ports[2]);
		const {inForce} = await startFollower('d1', [ports[2]]);
		await waitUntil(async () => {
			const answer = await access.read<InForceAnswer>('inForce');
			return inForce.isConfirmed && answer.ok && answer.value.inForce === 1;
		});
		await relay.stop();
		clock.offsetMs += beyondFreshnessLimitMs;
		expect(inForce.decide()).toEqual({kind: 'refuse', type: 'isolated'});
		await waitUntil(async () => {
			const names = await daemonsNotInForce();
			return names.includes('d1 relayDisconnected') || names.includes('d1 disconnected');
		});
	});

	it('lets a daemon continue to serve when the voters report that the quorum is lost', async () => {
		await startRelay(ports[2]);
		const {inForce} = await startFollower('d1', [ports[2]]);
		await waitUntil(() => inForce.isConfirmed);
		for (const log of logs) {
			log.state = 'noQuorum';
		}

		clock.offsetMs += beyondFreshnessLimitMs;
		await waitUntil(() => inForce.reason() === 'quorumLost');
		expect(inForce.isConfirmed).toEqual(true);
		expect(inForce.confirmationAgeMs > beyondFreshnessLimitMs / 2).toEqual(true);
	});

	it('makes a daemon refuse work while its relay reaches neither a leader nor a majority of the relays', async () => {
		await startRelay(ports[2], [ports[3], ports[4]]);
		const {inForce} = await startFollower('d1', [ports[2]]);
		await waitUntil(() => inForce.isConfirmed);
		for (const log of logs) {
			log.state = 'noQuorum';
		}

		clock.offsetMs += beyondFreshnessLimitMs;
		await waitUntil(() => inForce.reason() === 'isolated');
		await startRelay(ports[3], [ports[2], ports[4]]);
		await waitUntil(() => inForce.reason() === 'quorumLost');
	});

	it('makes a daemon that starts without a quorum refuse work until a revision is confirmed', async () => {
		for (const log of logs) {
			log.state = 'noQuorum';
		}

		await change(2);
		await startRelay(ports[2]);
		const {inForce} = await startFollower('d1', [ports[2]]);
		await waitUntil(() => inForce.configuration.revision === 2);
		expect(inForce.decide()).toEqual({kind: 'refuse', type: 'neverConfirmed'});
		logs[0].state = 'leads';
		await waitUntil(() => inForce.isConfirmed);
	});
});
