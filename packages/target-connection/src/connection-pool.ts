/**
Pool of persistent connections to targets. A connection carries one request at a time. It is closed rather than reused after an error,
after bytes that belong to no request, and after an abandoned exchange.
*/

import type {Buffer} from 'node:buffer';
import {isHeaderName, isHttpStatus} from '@rattanspring/types';
import {
	buildConnector, Client, type Dispatcher, errors,
} from 'undici';
import {HeadWatch} from './head-watch.js';
import {
	type Exchange, type ExchangeFailure, type ExchangeListener, type ExchangeOptions, TargetTransport,
} from './target-transport.js';

/** Options of the pool. */
export type ConnectionPoolOptions = {
	readonly connectTimeoutMs?: number;
	/** Time after which an idle connection is closed if its target announces none. */
	readonly idleTimeoutMs?: number;
	/** Time after which an idle connection is closed even if its target announces a longer one. */
	readonly maxIdleTimeoutMs?: number;
	/** Maximum number of idle connections to one target. */
	readonly maxIdlePerTarget?: number;
	/** Maximum number of connections to all targets; without a limit by default. */
	readonly maxConnections?: number;
	/** Called when a request can't be sent as all connections are in use. */
	readonly onExceeded?: () => void;
};

const defaults = {
	connectTimeoutMs: 400, idleTimeoutMs: 4000, maxIdleTimeoutMs: 30_000, maxIdlePerTarget: 8, maxConnections: Number.POSITIVE_INFINITY, onExceeded: () => undefined,
};

/** An idle connection is closed this long before the target's own idle timeout. */
const idleMarginMs = 1000;

/** Sends requests over pooled connections, grouped by target address. */
export class ConnectionPool extends TargetTransport {
	readonly #options: Required<ConnectionPoolOptions>;
	readonly #idle = new Map<string, Client[]>();
	readonly #resetClients = new WeakSet<Client>();
	readonly #headWatches = new WeakMap<Client, HeadWatch>();
	/** Clients that may have a connection. */
	readonly #open = new Set<Client>();

	constructor(options: ConnectionPoolOptions = {}) {
		super();
		this.#options = {...defaults, ...options};
	}

	send({address, needsFreshConnection, request, listener}: ExchangeOptions): Exchange {
		const client = (needsFreshConnection ? undefined : this.#takeIdle(address)) ?? (this.#hasRoom() ? this.#openClient(address) : undefined);
		if (!client) {
			this.#options.onExceeded();
			return refuseLater(listener);
		}

		const headWatch = this.#headWatches.get(client);
		let isReturned = false;
		let isSent = false;
		let isFinished = false;
		let isFramed = true;
		let abort: (() => void) | undefined;
		const finish = () => {
			const wasFinished = isFinished;
			isFinished = true;
			return !wasFinished;
		};

		const fail = (error: Error) => {
			if (finish()) {
				listener.onFailed({type: isSent ? 'broken' : failureBeforeSending(error), message: error.message});
			}
		};

		const handler: Dispatcher.DispatchHandlers = {
			onConnect(abortRequest) {
				abort = abortRequest;
				if (isFinished) {
					abortRequest();
					return;
				}

				isSent = true;
				headWatch?.begin();
				listener.onSending();
			},
			onHeaders: (status, rawHeaders) => {
				if (!isHttpStatus(status)) {
					fail(new Error(`status ${status}`));
					abort?.();
					this.#discard(client);
					return true;
				}

				if (status >= 200) {
					headWatch?.end();
				}

				if (!isFinished && status >= 200) {
					const head = {status, ...readHeaders(rawHeaders)};
					isFramed = hasFraming(request.method, head);
					listener.onHead(head);
				}

				return true;
			},
			onData(chunk) {
				if (!isFinished) {
					listener.onData(chunk);
				}

				return true;
			},
			onComplete: () => {
				if (!finish()) {
					return;
				}

				if (this.#resetClients.has(client)) {
					listener.onFailed({type: 'broken', message: 'reset'});
				} else {
					this.#release(address, client);
					listener.onEnd(isFramed);
				}
			},
			onError: error => {
				this.#discard(client);
				if (isReturned) {
					fail(error);
				} else {
					queueMicrotask(() => {
						fail(error);
					});
				}
			},
		};
		const {method, path, headers, body} = request;
		client.dispatch({
			method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body && body.byteLength > 0 ? body : null,
		}, handler);
		isReturned = true;
		return {
			abandon: () => {
				if (finish()) {
					abort?.();
					this.#discard(client);
				}
			},
		};
	}

	hasIdle(address: string): boolean {
		return (this.#idle.get(address)?.length ?? 0) > 0;
	}

	close(): void {
		for (const clients of this.#idle.values()) {
			for (const client of clients) {
				void client.destroy();
			}
		}

		this.#idle.clear();
	}

	/** Whether another connection may be opened, once an idle one has made room for it where needed. */
	#hasRoom(): boolean {
		if (this.#open.size >= this.#options.maxConnections) {
			this.#closeIdle();
		}

		return this.#open.size < this.#options.maxConnections;
	}

	/** Closes one idle connection, to whichever target. */
	#closeIdle(): void {
		for (const [address, [client]] of this.#idle) {
			if (client) {
				this.#removeIdle(address, client);
				return;
			}
		}
	}

	/** Closes a connection. */
	#discard(client: Client): void {
		this.#open.delete(client);
		void client.destroy();
	}

	#openClient(address: string): Client {
		const {idleTimeoutMs, maxIdleTimeoutMs} = this.#options;
		const headWatch = new HeadWatch();
		const client: Client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: this.#connector(headWatch, () => {
				this.#resetClients.add(client);
			}),
			keepAliveTimeout: idleTimeoutMs,
			keepAliveMaxTimeout: maxIdleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.#headWatches.set(client, headWatch);
		this.#open.add(client);
		client.on('disconnect', () => {
			this.#open.delete(client);
			this.#removeIdle(address, client);
		});
		return client;
	}

	/**
	Detects connection resets: a response without a length is truncated if its connection was reset, but undici reports it as complete.
	If the reset immediately follows data, the event loop reports a normal end, and the missing peer address is the only sign of it.
	*/
	#connector(headWatch: HeadWatch, onReset: () => void): buildConnector.connector {
		const connect = buildConnector({timeout: this.#options.connectTimeoutMs, noDelay: true});
		return (options, callback) => {
			connect(options, (...result) => {
				const [error, socket] = result;
				if (error === null) {
					headWatch.attach(socket);
					socket.on('error', () => {
						onReset();
					});
					socket.on('end', () => {
						if (socket.remoteAddress === undefined) {
							onReset();
						}
					});
				}

				callback(...result);
			});
		};
	}

	#takeIdle(address: string): Client | undefined {
		const clients = this.#idle.get(address);
		for (let client = clients?.pop(); client; client = clients?.pop()) {
			if (!client.closed && !client.destroyed) {
				return client;
			}
		}

		return undefined;
	}

	#release(address: string, client: Client): void {
		const clients = this.#idle.get(address) ?? [];
		if (clients.length >= this.#options.maxIdlePerTarget) {
			this.#open.delete(client);
			void client.close();
			return;
		}

		clients.push(client);
		this.#idle.set(address, clients);
	}

	#removeIdle(address: string, client: Client): void {
		const clients = this.#idle.get(address);
		const index = clients?.indexOf(client) ?? -1;
		if (index !== -1) {
			clients!.splice(index, 1);
			this.#discard(client);
		}
	}
}

/** A request that can't be sent to any target, as all connections are in use. */
function refuseLater(listener: ExchangeListener): Exchange {
	let isAbandoned = false;
	queueMicrotask(() => {
		if (!isAbandoned) {
			listener.onFailed({type: 'unsendable', message: 'tooManyConnections'});
		}
	});
	return {
		abandon() {
			isAbandoned = true;
		},
	};
}

/** Whether the response itself determines where its body ends (message framing), rather than the end of the connection. */
function hasFraming(method: string, {status, headers}: {readonly status: number; readonly headers: ReadonlyMap<string, string>}): boolean {
	return headers.has('content-length') || headers.has('transfer-encoding') || method === 'HEAD' || status === 204 || status === 304;
}

/** The HTTP client refuses a request that can't be written as HTTP before it connects. */
function failureBeforeSending(error: Error): ExchangeFailure['type'] {
	return error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError ? 'unsendable' : 'notSent';
}

/** Reads the header of a response, without fields whose names are none: they can't be passed on. A space behind a name is no part of it (RFC 9112, 5.1). */
function readHeaders(raw: readonly Buffer[]): {headers: Map<string, string>; rawHeaders: Array<readonly [string, string]>} {
	const headers = new Map<string, string>();
	const rawHeaders: Array<readonly [string, string]> = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = raw[index].toString('latin1').trimEnd();
		const value = raw[index + 1].toString('latin1');
		if (isHeaderName(name)) {
			rawHeaders.push([name, value]);
			headers.set(name.toLowerCase(), value);
		}
	}

	return {headers, rawHeaders};
}
