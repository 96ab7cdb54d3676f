/** Closes a listener without resetting connections. The kernel accepts connections for it on its own; those that the process has not taken over are reset with it. */

import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Time without a new connection before the close: on a busy machine the kernel completes connections a little later. */
const quietMs = 20;

/**
Takes over the connections that wait, one a turn of the event loop, and closes the listener once none has come for `quietMs`, or when the time is over because ever more
come. Open connections are left as they are. What the kernel accepts between the last look and the close is still reset.
*/
export async function stopAccepting(server: net.Server, timeLeftMs: number): Promise<void> {
	const endMs = performance.now() + timeLeftMs;
	let lastAtMs = performance.now();
	const note = () => {
		lastAtMs = performance.now();
	};

	server.on('connection', note);
	while (performance.now() < Math.min(lastAtMs + quietMs, endMs)) {
		await nextTurn();
	}

	server.off('connection', note);
	// An HTTP server's own method would close idle connections as well, which may hold a request that was not read yet.
	net.Server.prototype.close.call(server);
}
