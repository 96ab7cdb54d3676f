/** Checks whether a TCP server accepts connections at an address. */

import net from 'node:net';

/** Opens a TCP connection and closes it immediately. Resolves to false on an error or a timeout. */
export async function isReachable(address: string, timeoutMs: number): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = net.connect({host, port: Number(port), timeout: timeoutMs});
		const end = (reached: boolean) => {
			socket.destroy();
			resolve(reached);
		};

		socket.on('connect', () => {
			end(true);
		});
		socket.on('timeout', () => {
			end(false);
		});
		socket.on('error', () => {
			end(false);
		});
	});
}
