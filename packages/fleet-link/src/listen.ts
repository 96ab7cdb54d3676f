/** Serves other daemons at the address at which they reach this one. */

import net from 'node:net';
import {type Server, ServerCredentials} from '@grpc/grpc-js';
import {ConnectionLimit, type ConnectionLimitOptions} from '@rattanspring/connection-limit';
import type {IncompleteMessages} from './incomplete-messages.js';

const backlog = 511;

/** Connections of other daemons to one. */
export type LinkConnectionOptions = Omit<ConnectionLimitOptions, 'isBusy'> & {
	/** Bound of the messages that the connections have begun to bring, whose interceptor the server has. */
	readonly messages?: IncompleteMessages;
	/** Bytes that may wait for followers to read them, over all of them, and what to do when one was disconnected for that. */
	readonly maxUnreadBytes?: number;
	readonly onUnread?: (event: {readonly waitingBytes: number; readonly allWaitingBytes: number}) => void;
	/** Called when a follower was disconnected whose card is none, or too large. */
	readonly onCardRefused?: () => void;
};

const defaultOptions: LinkConnectionOptions = {maxConnections: 1024};

/**
Resolves when the server is listening; rejects if the address cannot be bound. Followers send something each second, so a connection that is silent is the first to be closed
when there are too many.
*/
export async function listen(server: Server, address: string, options = defaultOptions): Promise<void> {
	const [host, port] = address.split(':');
	const limit = new ConnectionLimit(options);
	const injector = server.createConnectionInjector(ServerCredentials.createInsecure());
	const listener = net.createServer({noDelay: true}, socket => {
		if (limit.admit(socket)) {
			options.messages?.add(socket);
			injector.injectConnection(socket);
		}
	});
	await new Promise<void>((resolve, reject) => {
		listener.once('error', reject);
		listener.listen(Number(port), host, backlog, resolve);
	});
	// The library does not know this listener, so it is closed here.
	const forceShutdown = server.forceShutdown.bind(server);
	server.forceShutdown = () => {
		listener.close();
		forceShutdown();
	};
}
