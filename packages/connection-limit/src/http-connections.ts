/** The limit of connections for a server of Node.js. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {garbageWatch} from '@rattanspring/byte-collector';
import {ConnectionLimit, type ConnectionLimitOptions} from './connection-limit.js';

/** Options of a limit for a server. */
export type HttpConnectionOptions = Omit<ConnectionLimitOptions, 'isBusy'>;

/** Bounds the connections of a server. One is in use while a request that was received whole has no answer yet. */
export function limitHttpConnections(server: Server, options: HttpConnectionOptions): ConnectionLimit {
	const exchanges = new Map<Socket, Set<ServerResponse>>();
	const limit = new ConnectionLimit({...options, isBusy: socket => [...exchanges.get(socket) ?? []].some(response => isAnswerDue(response))});
	server.prependListener('connection', (socket: Socket) => {
		if (limit.admit(socket)) {
			exchanges.set(socket, new Set());
			socket.once('close', () => {
				exchanges.delete(socket);
			});
		}
	});
	server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
		garbageWatch.addRequest();
		const open = exchanges.get(request.socket);
		open?.add(response);
		response.once('close', () => {
			open?.delete(response);
		});
	});
	return limit;
}

/** Whether the next step is up to this side: the request is here, the answer is not written yet, and what was written of it has been taken. */
export function isAnswerDue(response: ServerResponse): boolean {
	return response.req.complete && !response.writableEnded && response.writableLength === 0;
}
