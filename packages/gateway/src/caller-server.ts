/**
The HTTP server towards callers, on `node:http` rather than hapi: the head of an answer, its body as it arrives and the
end of the connection have to be in the system's own hands.
*/

import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {CallLimits} from '@rattanspring/desired-state';

/** Time between looks at slow callers. */
const checkIntervalMs = 500;

/** Largest head that is read at all; limits of the desired state below this are checked with the request. */
const maxHeadBytes = 65_536;

/** Idle connections are kept somewhat longer than callers may reuse them. */
const idleMarginMs = 1000;

/** Options of the server. */
export type CallerServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
};

/** Serves callers. */
export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #server: http.Server;
	#isLeaving = false;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = http.createServer({
			maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: checkIntervalMs, requestTimeout: 0, noDelay: true,
		}, (request, response) => {
			if (this.#isLeaving) {
				response.shouldKeepAlive = false;
			}

			options.onRequest(request, response);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			answerUnreadable(error, socket);
		});
	}

	/** Listens. */
	async start(): Promise<void> {
		const {host, port} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, 1024, resolve);
		});
	}

	/** Applies the limits in force. */
	setLimits(limits: CallLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** From now on each connection ends with its next answer. */
	leave(): void {
		this.#isLeaving = true;
	}

	/** Takes no new connections and closes those that carry nothing. */
	stopListening(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes everything. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

function answerUnreadable(error: NodeJS.ErrnoException, socket: Duplex): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const status = statusOf(error.code);
	socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

function statusOf(code: string | undefined): number {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return 431;
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
}
