/** Finds TCP ports for test servers. */

import {createServer} from 'node:net';

const host = '127.0.0.1';

/** Returns TCP ports that are currently free on the loopback interface. */
export async function freePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>(resolve => {
		server.listen(0, host, () => {
			const address = server.address();
			resolve(typeof address === 'object' && address ? address.port : 0);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
