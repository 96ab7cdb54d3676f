/**
What other daemons' connections hold: a message is kept whole until its last byte has come, and a sender may stop before that. The library bounds each message only, so this
bounds all of them together, by closing the connections that hold the most.
*/

import type {Socket} from 'node:net';
import type {
	Responder, ServerInterceptingCall, ServerInterceptingCallInterface, ServerInterceptor,
} from '@grpc/grpc-js';
import {garbageWatch} from '@rattanspring/byte-collector';
import {OpenCalls, WatchedCall} from './open-calls.js';

/** What has come is looked at this often while the message of a call is expected, and while there are only streams, whose messages are small. */
const callCheckMs = 20;
const streamCheckMs = 500;

/** A connection that holds less is not closed: heads and messages of everyday calls. */
const minHeldBytes = 262_144;

/** What was done as incomplete messages held too much. */
export type MessagesExceeded = {readonly closedCount: number; readonly heldBytes: number};

/** Options of the bound. */
export type IncompleteMessagesOptions = {
	/** Memory that incomplete messages may hold, in bytes; without a limit by default. */
	readonly maxBytes?: number;
	readonly onExceeded?: (event: MessagesExceeded) => void;
	/** Bound of the calls that are open on these connections; without a limit by default. */
	readonly openCalls?: OpenCalls;
};

/** A call that may get another message, and the bytes that its connection had received when the last one was complete. */
type OpenCall = {readonly socket: Socket; readonly isStream: boolean; readBefore: number};

/** Bounds the messages that daemons have begun to send to this one. */
export class IncompleteMessages {
	readonly #maxBytes: number;
	readonly #onExceeded: (event: MessagesExceeded) => void;
	readonly #openCalls: OpenCalls;
	readonly #sockets = new Map<string, Socket>();
	readonly #calls = new Set<OpenCall>();
	#unaryCount = 0;
	#callTimer: NodeJS.Timeout | undefined;
	#streamTimer: NodeJS.Timeout | undefined;

	constructor({maxBytes = Number.POSITIVE_INFINITY, onExceeded = () => undefined, openCalls = new OpenCalls()}: IncompleteMessagesOptions = {}) {
		this.#maxBytes = maxBytes;
		this.#onExceeded = onExceeded;
		this.#openCalls = openCalls;
	}

	/** To be given to the server whose connections these are. */
	readonly interceptor: ServerInterceptor = (method, call) => this.#watch(call, method.requestStream);

	/** Counts a new connection. */
	add(socket: Socket): void {
		const peer = `${socket.remoteAddress}:${socket.remotePort}`;
		this.#sockets.set(peer, socket);
		socket.once('close', () => {
			this.#sockets.delete(peer);
		});
	}

	#watch(call: ServerInterceptingCallInterface, isStream: boolean): ServerInterceptingCall {
		garbageWatch.addRequest();
		const socket = this.#sockets.get(call.getPeer());
		const open = socket && {socket, isStream, readBefore: socket.bytesRead};
		const onOver = socket && this.#openCalls.begin(socket);
		if (open) {
			this.#begin(open);
		}

		const end = () => {
			if (open && this.#calls.delete(open)) {
				this.#unaryCount -= isStream ? 0 : 1;
				this.#stopChecks();
			}
		};

		const responder: Responder = {
			start(next) {
				next({
					onReceiveMessage(message, nextMessage) {
						if (open) {
							open.readBefore = open.socket.bytesRead;
						}

						nextMessage(message);
					},
					onReceiveHalfClose(nextHalfClose) {
						end();
						nextHalfClose();
					},
					onCancel() {
						end();
						onOver?.();
					},
				});
			},
		};
		return new WatchedCall(call, {responder, isStream, onOver: () => onOver?.()});
	}

	#begin(call: OpenCall): void {
		this.#calls.add(call);
		if (call.isStream) {
			this.#streamTimer ??= setInterval(() => {
				this.#check();
			}, streamCheckMs).unref();
		} else {
			this.#unaryCount++;
			this.#callTimer ??= setInterval(() => {
				this.#check();
			}, callCheckMs).unref();
		}
	}

	/** Most calls are complete at once, so that nothing is looked at for them. */
	#stopChecks(): void {
		if (this.#unaryCount === 0) {
			clearInterval(this.#callTimer);
			this.#callTimer = undefined;
		}

		if (this.#calls.size === 0) {
			clearInterval(this.#streamTimer);
			this.#streamTimer = undefined;
		}
	}

	#check(): void {
		const held = this.#heldBytes();
		let heldBytes = 0;
		for (const bytes of held.values()) {
			heldBytes += bytes;
		}

		if (heldBytes > this.#maxBytes) {
			this.#closeLargest(held, heldBytes);
		}
	}

	#closeLargest(held: ReadonlyMap<Socket, number>, heldBytes: number): void {
		let leftBytes = heldBytes;
		let closedCount = 0;
		for (const [socket, bytes] of [...held].toSorted(([, left], [, right]) => right - left)) {
			if (leftBytes <= this.#maxBytes || bytes < minHeldBytes) {
				break;
			}

			socket.destroy();
			garbageWatch.addBuffer(bytes);
			leftBytes -= bytes;
			closedCount++;
		}

		this.#onExceeded({closedCount, heldBytes});
	}

	/** Bytes that each connection has brought since a message was complete. */
	#heldBytes(): Map<Socket, number> {
		const held = new Map<Socket, number>();
		for (const {socket, readBefore} of this.#calls) {
			held.set(socket, Math.max(held.get(socket) ?? 0, socket.bytesRead - readBefore));
		}

		return held;
	}
}
