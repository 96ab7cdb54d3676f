import {createServer, type Server} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {FailureError} from '@rattanspring/types';
import {expect} from 'earl';
import type {ListenFailure} from './listening.js';
import {freePorts, startDaemon} from './test-fleet.js';

const host = '127.0.0.1';

describe('a daemon whose port is occupied', () => {
	let occupied: Server;
	let port: number;
	let free: number[];

	before(async () => {
		[port, ...free] = await freePorts(3);
		occupied = createServer();
		await new Promise<void>(resolve => {
			occupied.listen(port, host, resolve);
		});
	});

	after(() => {
		occupied.close();
	});

	async function failureOf(entryPort: number, adminPort: number): Promise<Partial<ListenFailure>> {
		try {
			const daemon = await startDaemon({
				vm: 'vm-1',
				region: 'local',
				failureDomain: 'local-a',
				dataFolder: '/nonexistent',
				transport: {mode: 'plaintext'},
				admin: {listen: {host, port: adminPort}},
				roles: {
					entry: {
						listen: {host, port: entryPort}, advertisedUrl: `http://${host}:${entryPort}`, relayAddresses: [`${host}:1`], controlAddresses: [`${host}:1`], transport: {mode: 'plaintext'},
					},
				},
			});
			await daemon.stop();
			return {};
		} catch (error) {
			return error instanceof FailureError ? (error as FailureError<ListenFailure>).failure : {message: String(error)};
		}
	}

	it('reports the setting and the address of a role', async () => {
		const {type, key, address} = await failureOf(port, free[0]);
		expect([type, key, address]).toEqual(['addressInUse', 'roles.entry.listen', `${host}:${port}`]);
	});

	it('reports the setting of the admin server', async () => {
		const {type, key} = await failureOf(free[1], port);
		expect([type, key]).toEqual(['addressInUse', 'admin.listen']);
	});
});
