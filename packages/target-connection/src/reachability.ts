/** Whether anything listens at an address. */

import net from 'node:net';

/** Tries to connect, and closes the connection at once. */
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
