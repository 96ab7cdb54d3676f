/**
The connections of callers, and how many requests are in progress on each. A socket that is closed while the kernel holds bytes for it is reset, and whoever has just
sent a request learns nothing; so a connection is closed only after all that has arrived was read. A reset can also take the end of an answer that was written before it;
so a connection is closed one way behind its last answer, and the socket is given up once the caller has closed its side too, or some time later.
*/

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionRequests, isAnswerDue} from '@rattanspring/connection-limit';

/** Time for a caller to read the last answer and to close its side. */
const lingerMs = 1000;

/** One connection. */
export class CallerConnection {
	readonly #socket: Socket;
	readonly #nowMs: () => number;
	/** Responses that are not complete, the oldest first. */
	readonly #responses: ServerResponse[] = [];
	readonly #requests: ConnectionRequests;
	#hasTooManyRequests = false;
	#requestCount = 0;
	#idleSinceMs: number;
	#bytesReadWhenIdle = 0;
	#isClosing = false;
	#closesWhenAnswered = false;
	/** The response that is to say that the connection closes. */
	#announcing: ServerResponse | undefined;

	constructor(socket: Socket, nowMs: () => number) {
		this.#socket = socket;
		this.#nowMs = nowMs;
		this.#requests = new ConnectionRequests(socket);
		this.#idleSinceMs = nowMs();
		socket.on('close', () => {
			setImmediate(() => {
				this.#tellWaiting();
			});
		});
		// The HTTP server closes a connection by this method behind its last answer.
		socket.destroySoon = () => {
			this.#close();
		};
	}

	/** Requests that the connection has carried, those in progress included. */
	get requestCount(): number {
		return this.#requestCount;
	}

	/** Requests that have no complete answer yet. */
	get inProgress(): number {
		return this.#responses.length;
	}

	/** Whether too many requests came at once. */
	get hasTooManyRequests(): boolean {
		return this.#hasTooManyRequests;
	}

	/** Whether a request that was received whole waits for its answer or gets it. */
	get isAnswerDue(): boolean {
		return this.#responses.some(response => isAnswerDue(response));
	}

	/** Notes a request until its response is complete or the connection is closed. Returns false for one behind a response that has said that the connection closes: it has no answer to come. */
	begin(response: ServerResponse): boolean {
		this.#withdrawAnnouncement();
		if (this.#isClosing || this.#responses.some(({shouldKeepAlive}) => !shouldKeepAlive)) {
			return false;
		}

		this.#requestCount++;
		this.#responses.push(response);
		this.#hasTooManyRequests ||= !this.#requests.begin(this.inProgress);
		response.once('close', () => {
			this.#responses.splice(this.#responses.indexOf(response), 1);
			this.#idleSinceMs = this.#nowMs();
			this.#bytesReadWhenIdle = this.#socket.bytesRead;
			if (this.#closesWhenAnswered && this.inProgress === 0) {
				this.#close();
			}
		});
		return true;
	}

	/** Whether a request that was received whole has no complete answer yet, or an answer has begun. */
	get hasAnswerToCome(): boolean {
		return this.#responses.some(response => response.headersSent || response.req.complete);
	}

	/** Closes the connection once the responses in progress are complete: nothing else can be read from it. */
	closeWhenAnswered(): void {
		this.#closesWhenAnswered = true;
	}

	/** Closes the connection after the last response in progress, if that can still tell its caller. */
	announceClose(): void {
		const last = this.#responses.at(-1);
		if (last?.shouldKeepAlive && !last.headersSent) {
			last.shouldKeepAlive = false;
			this.#announcing = last;
		}
	}

	/** Closes the connection if no request is in progress or being received, and none was for some time. */
	closeIfIdle(forMs: number): void {
		const isIdle = !this.#isClosing && this.inProgress === 0 && this.#socket.bytesRead === this.#bytesReadWhenIdle && this.#nowMs() - this.#idleSinceMs >= forMs;
		if (isIdle) {
			this.#close();
		}
	}

	/** A further request has come before the response that was to say so has begun: the response to the further one will. */
	#withdrawAnnouncement(): void {
		if (this.#announcing && !this.#announcing.headersSent) {
			this.#announcing.shouldKeepAlive = true;
		}

		this.#announcing = undefined;
	}

	/** The HTTP server tells only the response whose turn it is that the connection has closed. */
	#tellWaiting(): void {
		for (const response of this.#responses.splice(0)) {
			response.emit('close');
		}
	}

	/** Closes the connection one way; what still comes is read and dropped. */
	#close(): void {
		if (this.#isClosing) {
			return;
		}

		this.#isClosing = true;
		this.#socket.end();
		const timer = setTimeout(() => {
			this.#socket.destroy();
		}, lingerMs);
		this.#socket.on('close', () => {
			clearTimeout(timer);
		});
	}
}

/** All open connections of callers. */
export class CallerConnections {
	readonly #nowMs: () => number;
	readonly #open = new Map<Socket, CallerConnection>();

	constructor(nowMs: () => number) {
		this.#nowMs = nowMs;
	}

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
		this.#open.set(socket, new CallerConnection(socket, this.#nowMs));
		socket.on('close', () => {
			this.#open.delete(socket);
		});
	}

	/** The connection of a socket that was added. */
	of(socket: Socket): CallerConnection {
		return this.#open.get(socket) ?? new CallerConnection(socket, this.#nowMs);
	}

	/** Closes each connection after its last response in progress, where its caller can still be told. */
	announceCloses(): void {
		for (const connection of this.#open.values()) {
			connection.announceClose();
		}
	}

	/** Closes the connections that have been idle for some time. */
	closeIdle(forMs: number): void {
		for (const connection of this.#open.values()) {
			connection.closeIfIdle(forMs);
		}
	}
}
