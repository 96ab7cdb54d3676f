/**
The HTTP server for callers. It uses `node:http` rather than hapi, since the entry has to control the response head, the streaming of the
body and the closing of the connection itself.
*/

import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {garbageWatch} from '@rattanspring/byte-collector';
import {ConnectionLimit, sliceReads} from '@rattanspring/connection-limit';
import {stopAccepting} from '@rattanspring/stop-accepting';
import type {CallLimits} from '@rattanspring/desired-state';
import {CallerConnections} from './caller-connections.js';

/** Interval at which connections are checked for timeouts. */
const checkIntervalMs = 500;

/** Largest request head that the parser accepts before a desired state is known. Its limit is checked for each request. */
const defaultMaxHeadBytes = 65_536;

/** The parser accepts this much more than the limit of the desired state, which doesn't count the request line. */
const requestLineBytes = 8192;

/** Memory that a connection takes besides the head that it receives. */
const connectionBytes = 16_384;

/** Idle connections are kept open this much longer than callers may reuse them. */
const idleMarginMs = 1000;

/** Options of the server. */
export type CallerServerOptions = {
	readonly host: string;
	readonly port: number;
	/** 1024 by default. */
	readonly maxConnections?: number;
	/** Memory that connections may take while they receive heads; without a limit by default. */
	readonly maxConnectionBytes?: number;
	/** Called when connections were closed or refused. */
	readonly onLimit?: (limit: CallerLimit, fields: Readonly<Record<string, number>>) => void;
	/** `connectionRequest` is the number of the request among those of its connection, from 1 on. */
	readonly onRequest: (request: IncomingMessage, response: ServerResponse, connectionRequest: number) => void;
};

/** Limits of connections: their number, the requests in progress on one, and the size of a head. */
export type CallerLimit = 'connections' | 'requestsOfConnection' | 'headBytes';

const defaultMaxConnections = 1024;

export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #server: http.Server;
	readonly #connections = new CallerConnections(() => performance.now());
	readonly #limit: ConnectionLimit;
	#isLeaving = false;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#limit = new ConnectionLimit({
			maxConnections: options.maxConnections ?? defaultMaxConnections,
			isBusy: socket => this.#connections.of(socket).isAnswerDue,
			onExceeded(event) {
				options.onLimit?.('connections', event);
			},
		});
		this.#server = http.createServer({
			maxHeaderSize: defaultMaxHeadBytes, connectionsCheckingInterval: checkIntervalMs, requestTimeout: 0, noDelay: true,
		}, (request, response) => {
			garbageWatch.addRequest();
			if (request.socket.destroyed) {
				return;
			}

			const connection = this.#connections.of(request.socket);
			if (!connection.begin(response)) {
				request.resume();
				return;
			}

			if (connection.hasTooManyRequests) {
				options.onLimit?.('requestsOfConnection', {inProgress: connection.inProgress});
				request.socket.destroy();
				return;
			}

			if (this.#isLeaving) {
				connection.announceClose();
			}

			options.onRequest(request, response, connection.requestCount);
		});
		this.#server.on('connection', socket => {
			if (this.#limit.admit(socket)) {
				this.#connections.add(socket);
				sliceReads(socket);
			}
		});
		this.#server.on('timeout', (socket: net.Socket) => {
			void this.#onIdleTimeout(socket);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			const connection = this.#connections.of(socket as net.Socket);
			if (error.code === 'HPE_HEADER_OVERFLOW') {
				options.onLimit?.('headBytes', {});
			}

			if (connection.hasAnswerToCome && error.code !== 'ECONNRESET') {
				connection.closeWhenAnswered();
			} else {
				rejectUnparsableRequest(error, socket as net.Socket);
			}
		});
	}

	/** Open connections, and the requests in progress on them. */
	get connections(): Pick<CallerConnections, 'count' | 'unusedCount' | 'inProgress'> {
		return this.#connections;
	}

	/** Starts listening. */
	async start(): Promise<void> {
		const {host, port} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, 1024, resolve);
		});
	}

	/** Applies the limits of the desired state. */
	setLimits(limits: CallLimits): void {
		const maxHeadBytes = limits.maxHeaderBytes + requestLineBytes;
		// The option of the same name is read again for each connection.
		Object.assign(this.#server, {maxHeaderSize: maxHeadBytes});
		const {maxConnections = defaultMaxConnections, maxConnectionBytes = Number.POSITIVE_INFINITY} = this.#options;
		this.#limit.setMaximum(Math.min(maxConnections, Math.floor(maxConnectionBytes / (connectionBytes + maxHeadBytes))));
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** Closes each connection after its next response; one whose response has begun, after the one behind it. */
	startDraining(): void {
		this.#isLeaving = true;
		this.#connections.announceCloses();
	}

	/** Accepts what the kernel holds, then no more connections. Open ones stay open. */
	async stopListening(timeLeftMs: number): Promise<void> {
		await stopAccepting(this.#server, timeLeftMs);
	}

	/** Reads what has arrived on all sockets of the process: after it was held up, timers come before reads. */
	async readArrived(): Promise<void> {
		await nextTurn();
		await nextTurn();
	}

	/** Closes connections that have been idle for some time, after reading what has arrived. */
	async closeIdle(forMs: number): Promise<void> {
		await nextTurn();
		this.#connections.closeIdle(forMs);
	}

	/** Stops accepting connections and closes all open ones. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** A connection has been idle for longer than callers may reuse it. Without this listener the HTTP server would close it before it reads what has arrived. */
	async #onIdleTimeout(socket: net.Socket): Promise<void> {
		await this.readArrived();
		this.#connections.of(socket).closeIfIdle(0);
	}
}

function rejectUnparsableRequest(error: NodeJS.ErrnoException, socket: net.Socket): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const status = statusOf(error.code);
	socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	socket.destroySoon();
}

function statusOf(code: string | undefined): number {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return 431;
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
}
