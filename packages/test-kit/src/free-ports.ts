/**
Finds TCP ports for test servers. Each test process draws from a block of ports of its own, so that a server which it stops and starts again finds its port free: other
test files that run beside it draw from other blocks. The ports of a block are some numbers apart, since processes take ports next to the ones they are given.
*/

import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import process from 'node:process';
import {FailureError} from '@rattanspring/types';

const host = '127.0.0.1';

/** Below the range from which the system takes ports for outgoing connections, so that none of these takes a port before the test listens on it. */
const lowestPort = 12_000;
const endOfPorts = 32_480;

const portsPerBlock = 1280;
const portSpacing = 8;
const drawablePorts = (portsPerBlock / portSpacing) - 1;
const blockCount = (endOfPorts - lowestPort) / portsPerBlock;

/** First port of the block of this process, on which it listens as long as it runs. */
let ownBlock: Promise<number> | undefined;

/** Ports that were drawn before, by any call. */
const drawnPorts = new Set<number>();

/** Returns TCP ports that are currently free on the loopback interface, and that no other test process draws. */
export async function freePorts(count: number): Promise<number[]> {
	if (count > drawablePorts) {
		throw new FailureError({type: 'conditionNotMet', message: `A test process has ${drawablePorts} ports, not ${count}.`});
	}

	ownBlock ??= takeBlock();
	const firstPort = await ownBlock;
	const ports: number[] = [];
	while (ports.length < count) {
		const port = drawPort(firstPort, ports);
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Draws a port of the block that was not drawn before; once all were, one that this call has not drawn. */
function drawPort(firstPort: number, ofThisCall: readonly number[]): number {
	if (drawnPorts.size === drawablePorts) {
		drawnPorts.clear();
		for (const port of ofThisCall) {
			drawnPorts.add(port);
		}
	}

	for (;;) {
		const port = firstPort + (portSpacing * (1 + randomInt(drawablePorts)));
		if (!drawnPorts.has(port)) {
			drawnPorts.add(port);
			return port;
		}
	}
}

/** Takes the first block that no other process holds. */
async function takeBlock(): Promise<number> {
	for (let index = 0; index < blockCount; index++) {
		const firstPort = lowestPort + (((process.pid + index) % blockCount) * portsPerBlock);
		const guard = await listenOn(firstPort);
		if (guard) {
			guard.unref();
			return firstPort;
		}
	}

	throw new FailureError({type: 'conditionNotMet', message: 'All blocks of ports are taken.'});
}

async function isFree(port: number): Promise<boolean> {
	const server = await listenOn(port);
	if (server) {
		server.close();
		await once(server, 'close');
	}

	return server !== undefined;
}

/** A server on the port; undefined if another one listens there. */
async function listenOn(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, host, () => {
			resolve(server);
		});
	});
}
