/** The limits of connections and of their requests for a server of Node.js. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {garbageWatch} from '@rattanspring/byte-collector';
import {ConnectionLimit, type ConnectionLimitOptions} from './connection-limit.js';
import {ConnectionRequests} from './connection-requests.js';
import {sliceReads} from './sliced-reads.js';

/** Options of a limit for a server. */
export type HttpConnectionOptions = Omit<ConnectionLimitOptions, 'isBusy'> & {
	/** Called when a connection was closed as too many requests came on it at once. */
	readonly onRequestsExceeded?: () => void;
};

type Connection = {readonly requests: ConnectionRequests; readonly open: Set<ServerResponse>};

/**
Bounds the connections of a server, and the requests of each at once. A connection is in use while a request that was received whole has no answer yet. Call it when the
server has its listeners for requests.
*/
export function limitHttpConnections(server: Server, {onRequestsExceeded, ...options}: HttpConnectionOptions): ConnectionLimit {
	const connections = new Map<Socket, Connection>();
	const limit = new ConnectionLimit({...options, isBusy: socket => [...connections.get(socket)?.open ?? []].some(response => isAnswerDue(response))});
	server.prependListener('connection', (socket: Socket) => {
		if (limit.admit(socket)) {
			connections.set(socket, {requests: new ConnectionRequests(socket), open: new Set()});
			socket.once('close', () => {
				connections.delete(socket);
			});
		}
	});
	server.on('connection', (socket: Socket) => {
		sliceReads(socket);
	});
	const mayServe = ({socket}: IncomingMessage, response: ServerResponse) => {
		const {requests, open} = connections.get(socket) ?? {};
		if (!requests || !open || socket.destroyed) {
			return false;
		}

		garbageWatch.addRequest();
		open.add(response);
		response.once('close', () => {
			open.delete(response);
		});
		if (requests.begin(open.size)) {
			return true;
		}

		onRequestsExceeded?.();
		socket.destroy();
		return false;
	};

	gate(server, mayServe);
	return limit;
}

/** Has the listeners of a server called only for the requests that may be served. */
function gate(server: Server, mayServe: (request: IncomingMessage, response: ServerResponse) => boolean): void {
	const listeners = server.listeners('request');
	server.removeAllListeners('request');
	server.on('request', (request, response) => {
		if (mayServe(request, response)) {
			for (const listener of listeners) {
				listener.call(server, request, response);
			}
		}
	});
}

/** Whether the next step is up to this side: the request is here, the answer is not written yet, and what was written of it has been taken. */
export function isAnswerDue(response: ServerResponse): boolean {
	return response.req.complete && !response.writableEnded && response.writableLength === 0;
}
