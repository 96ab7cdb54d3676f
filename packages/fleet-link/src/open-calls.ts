/**
The calls of other daemons that are not answered yet, or whose answers they have not taken. Each takes memory for as long as the other side likes, so their number is bounded
over all connections: the connection with the most is closed. A daemon has few calls open on a connection.
*/

import type {Socket} from 'node:net';
import {type Responder, ServerInterceptingCall, type ServerInterceptingCallInterface} from '@grpc/grpc-js';

/** A connection with so few calls is not closed: an entry asks for some permits at once beside its stream. */
const fewCalls = 16;

/** What was done as there were too many calls: how many the closed connection had, and how many were open in all. */
export type CallsExceeded = {readonly closedCalls: number; readonly openCalls: number};

/** Options of the bound. */
export type OpenCallsOptions = {
	/** Calls that may be open; without a limit by default. */
	readonly maxCalls?: number;
	readonly onExceeded?: (event: CallsExceeded) => void;
};

/** Bounds the calls that daemons have open at this one. */
export class OpenCalls {
	readonly #maxCalls: number;
	readonly #onExceeded: (event: CallsExceeded) => void;
	readonly #calls = new Map<Socket, number>();
	#total = 0;

	constructor({maxCalls = Number.POSITIVE_INFINITY, onExceeded = () => undefined}: OpenCallsOptions = {}) {
		this.#maxCalls = maxCalls;
		this.#onExceeded = onExceeded;
	}

	/** Calls that are open. */
	get total(): number {
		return this.#total;
	}

	/** Counts a call; returns a function that is called when it has ended. Closes a connection if there are too many calls. */
	begin(socket: Socket): () => void {
		const calls = this.#calls.get(socket);
		if (calls === undefined) {
			socket.once('close', () => {
				this.#forget(socket);
			});
		}

		this.#calls.set(socket, (calls ?? 0) + 1);
		this.#total++;
		if (this.#total > this.#maxCalls) {
			this.#closeLargest();
		}

		let isOpen = true;
		return () => {
			const left = this.#calls.get(socket);
			if (isOpen && left !== undefined) {
				this.#calls.set(socket, left - 1);
				this.#total--;
			}

			isOpen = false;
		};
	}

	#closeLargest(): void {
		let largest: Socket | undefined;
		let closedCalls = fewCalls;
		for (const [socket, calls] of this.#calls) {
			if (calls > closedCalls) {
				largest = socket;
				closedCalls = calls;
			}
		}

		if (largest) {
			this.#onExceeded({closedCalls, openCalls: this.#total});
			this.#forget(largest);
			largest.destroy();
		}
	}

	#forget(socket: Socket): void {
		this.#total -= this.#calls.get(socket) ?? 0;
		this.#calls.delete(socket);
	}
}

/** A call that tells when it is over for this side: its answer was taken, or it has ended without one. */
export class WatchedCall extends ServerInterceptingCall {
	readonly #isStream: boolean;
	readonly #onOver: () => void;
	#isAnswered = false;

	constructor(call: ServerInterceptingCallInterface, {responder, isStream, onOver}: {readonly responder: Responder; readonly isStream: boolean; readonly onOver: () => void}) {
		super(call, responder);
		this.#isStream = isStream;
		this.#onOver = onOver;
	}

	override sendMessage(message: unknown, callback: () => void): void {
		this.#isAnswered = true;
		super.sendMessage(message, () => {
			if (!this.#isStream) {
				this.#onOver();
			}

			callback();
		});
	}

	override sendStatus(status: Parameters<ServerInterceptingCallInterface['sendStatus']>[0]): void {
		super.sendStatus(status);
		if (this.#isStream || !this.#isAnswered) {
			this.#onOver();
		}
	}
}
