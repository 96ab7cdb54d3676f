/**
Distinguishes a crash of a target from other failures: after a crash the target's address refuses connections.
The loss of a whole VM is never reported as a crash, because its agent is lost as well; so it makes no request a suspect.
*/

import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Connection attempts before a target counts as alive. */
const maxConnectAttempts = 3;

/** Delay between connection attempts: a terminating process may still listen for a moment. */
const pauseMs = 50;

/** Timeout of one connection attempt. */
const connectTimeoutMs = 200;

/** Whether the target at a base URL has stopped listening. */
export async function hasCrashed(baseUrl: string): Promise<boolean> {
	for (let attemptCount = 1; attemptCount <= maxConnectAttempts; attemptCount++) {
		if (await refusesConnection(new URL(baseUrl))) {
			return true;
		}

		await sleep(pauseMs);
	}

	return false;
}

async function refusesConnection({hostname, port, protocol}: URL): Promise<boolean> {
	const defaultPort = protocol === 'https:' ? 443 : 80;
	return new Promise(resolve => {
		const socket = connect({host: hostname.replaceAll(/[[\]]/g, ''), port: port === '' ? defaultPort : Number(port), timeout: connectTimeoutMs});
		const end = (refused: boolean): void => {
			socket.destroy();
			resolve(refused);
		};

		socket.once('connect', () => {
			end(false);
		});
		socket.once('timeout', () => {
			end(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED');
		});
	});
}
