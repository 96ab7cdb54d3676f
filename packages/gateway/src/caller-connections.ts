/** The connections of callers: how many requests each has carried, and how many are in progress on it. */

import type {Socket} from 'node:net';
import type {ServerResponse} from 'node:http';

/** One connection. */
export class CallerConnection {
	#requestCount = 0;
	#inProgress = 0;

	/** Requests that the connection has carried, those in progress included. */
	get requestCount(): number {
		return this.#requestCount;
	}

	/** Requests that have no complete answer yet. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Notes a request until its response is complete or the connection is closed. */
	begin(response: ServerResponse): void {
		this.#requestCount++;
		this.#inProgress++;
		response.on('close', () => {
			this.#inProgress--;
		});
	}
}

/** All open connections of callers. */
export class CallerConnections {
	readonly #open = new Map<Socket, CallerConnection>();

	/** Number of open connections. */
	get count(): number {
		return this.#open.size;
	}

	/** Connections that have carried no request yet: the bytes of one may still be in the kernel. */
	get unusedCount(): number {
		return [...this.#open.values()].filter(({requestCount}) => requestCount === 0).length;
	}

	/** Requests in progress on all connections. */
	get inProgress(): number {
		return [...this.#open.values()].reduce((sum, connection) => sum + connection.inProgress, 0);
	}

	add(socket: Socket): void {
		this.#open.set(socket, new CallerConnection());
		socket.on('close', () => {
			this.#open.delete(socket);
		});
	}

	/** The connection of a socket that was added. */
	of(socket: Socket): CallerConnection {
		return this.#open.get(socket) ?? new CallerConnection();
	}
}
