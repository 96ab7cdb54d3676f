import {subscribe} from 'node:diagnostics_channel';
import http from 'node:http';
import type {Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PlainService} from '@rattanspring/stand-ins';
import {expect} from 'earl';
import {
	startTestFleet, testCallerSecret, type TestFleet, waitUntil,
} from './test-fleet.js';

const callerCount = 6;
const refused = 'refused';

/** Longer than the lifetime of the entries' addresses, which a draining entry waits for, and far below the limit of the drain. */
const drainTimeoutMs = 9000;

describe('an entry that drains while callers go on', () => {
	const orders = new PlainService({host: '127.0.0.1', port: 0});
	const agent = new http.Agent({keepAlive: true});
	/** When the entry last accepted a connection from a local port: the kernel gives ports to several connections in turn. */
	const acceptedAtMs = new Map<number, number>();
	let fleet: TestFleet;

	before(async () => {
		subscribe('net.server.socket', message => {
			acceptedAtMs.set((message as {readonly socket: Socket}).socket.remotePort!, performance.now());
		});
		await orders.start();
		fleet = await startTestFleet({
			targets: [{
				targetId: 'orders-1', baseUrl: orders.url, kind: 'plain', services: ['orders'],
			}],
		});
		await waitUntil(async () => await order() === '200');
	});
	after(async () => {
		agent.destroy();
		await fleet.stop();
		await orders.stop();
	});

	/** Returns the status of the answer, or the code of the error; a connection that the kernel reset before the entry accepted it counts as refused. */
	async function order(): Promise<string> {
		let localPort: number | undefined;
		const startedAtMs = performance.now();
		return new Promise(resolve => {
			const request = http.get(`${fleet.entryUrls[0]}/orders/orders/none`, {agent, headers: {authorization: `Bearer ${testCallerSecret}`}}, response => {
				response.resume();
				response.on('end', () => {
					resolve(String(response.statusCode));
				});
			});
			request.on('error', (error: NodeJS.ErrnoException) => {
				const wasAccepted = localPort !== undefined && (request.reusedSocket || (acceptedAtMs.get(localPort) ?? 0) >= startedAtMs);
				const isAccepted = error.code !== 'ECONNREFUSED' && wasAccepted;
				resolve(isAccepted ? error.code ?? error.message : refused);
			});
			request.on('socket', socket => {
				localPort = socket.localPort;
				socket.on('connect', () => {
					localPort = socket.localPort;
				});
			});
		});
	}

	/** Sends requests one after the other until a connection is refused; returns the outcomes of the others. */
	async function goOn(): Promise<string[]> {
		const outcomes: string[] = [];
		for (let outcome = ''; outcome !== refused;) {
			outcome = await order();
			outcomes.push(outcome);
		}

		return outcomes.slice(0, -1);
	}

	it('ends once callers have had time to learn other addresses, and cuts nobody', async () => {
		const calls = Promise.all(Array.from({length: callerCount}, async () => goOn()));
		await sleep(300);
		const isDrained = await Promise.race([fleet.entries[0].stop().then(() => true), sleep(drainTimeoutMs, false)]);
		expect(isDrained).toEqual(true);
		const outcomes = await calls;
		expect(outcomes.flat().filter(outcome => outcome !== '200')).toEqual([]);
	});
});
