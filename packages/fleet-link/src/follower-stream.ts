/** The sending side of a follower's stream. Counts the bytes that wait to be sent, as the library's own count is one of messages. */

import {Buffer} from 'node:buffer';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {DownMessage, UpMessage} from './messages.js';

/** A message with its length, so that both are computed once for all followers. */
export type SizedMessage = {readonly message: DownMessage; readonly sizeBytes: number};

export function sized(message: DownMessage): SizedMessage {
	return {message, sizeBytes: Buffer.byteLength(JSON.stringify(message))};
}

/** One stream to a follower. */
export class FollowerStream {
	readonly #call: ServerDuplexStream<UpMessage, DownMessage>;
	#waitingBytes = 0;

	constructor(call: ServerDuplexStream<UpMessage, DownMessage>) {
		this.#call = call;
	}

	/** Bytes that the connection has not accepted yet. */
	get waitingBytes(): number {
		return this.#waitingBytes;
	}

	write({message, sizeBytes}: SizedMessage): void {
		this.#waitingBytes += sizeBytes;
		this.#call.write(message, () => {
			this.#waitingBytes -= sizeBytes;
		});
	}

	end(): void {
		this.#call.end();
	}

	destroy(): void {
		this.#call.destroy();
	}
}
