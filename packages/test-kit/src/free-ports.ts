/** Finds TCP ports for test servers. */

import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

const host = '127.0.0.1';

/** Below the range from which the system takes ports for outgoing connections, so that none of these takes a port before the test listens on it. */
const lowestPort = 12_000;
const endOfPorts = 32_000;

/** Returns TCP ports that are currently free on the loopback interface. */
export async function freePorts(count: number): Promise<number[]> {
	const ports = new Set<number>();
	while (ports.size < count) {
		const port = randomInt(lowestPort, endOfPorts);
		if (await isFree(port)) {
			ports.add(port);
		}
	}

	return [...ports];
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	const isListening = await new Promise<boolean>(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			resolve(true);
		});
	});
	if (isListening) {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return isListening;
}
