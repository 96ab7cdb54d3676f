/**
Ends a connection whose target sends bytes without a response: empty lines or interim responses (RFC 9110, 15.2) without an end. The HTTP parser takes
them as they come, so that a request would wait for its whole time, although another target could answer it.
*/

import type {Socket} from 'node:net';

/** Bytes that may come before the head of a response is complete; the parser allows 16 KiB for the head itself. */
const maxBytesBeforeHead = 65_536;

/** The watch of one connection. */
export class HeadWatch {
	#socket: Socket | undefined;
	#readBefore = 0;
	#isAwaiting = false;

	/** Watches the bytes of a socket from now on. */
	attach(socket: Socket): void {
		this.#socket = socket;
		socket.on('readable', () => {
			// The parser reads the same bytes in this turn: a head among them is known afterwards.
			queueMicrotask(() => {
				this.#check();
			});
		});
	}

	/** A request is sent, and its response awaited. */
	begin(): void {
		this.#isAwaiting = true;
		this.#readBefore = this.#socket?.bytesRead ?? 0;
	}

	/** The head of the response has come, or is not awaited any more. */
	end(): void {
		this.#isAwaiting = false;
	}

	#check(): void {
		if (this.#isAwaiting && this.#socket && this.#socket.bytesRead - this.#readBefore > maxBytesBeforeHead) {
			this.#socket.destroy(new Error('bytes without a response'));
		}
	}
}
