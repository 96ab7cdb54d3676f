/** A link of limited bandwidth from one member to another, which carries one message after the other. */

import type {PeerMessage} from '../messages.js';
import {messageBytes} from './message-bytes.js';

export class LimitedLink {
	readonly #bytesPerMs: number;
	#freeAtMs = 0;

	constructor(bytesPerMs: number) {
		this.#bytesPerMs = bytesPerMs;
	}

	/** Queues a message and returns when its last byte leaves the link. */
	send(message: PeerMessage, nowMs: number): number {
		this.#freeAtMs = Math.max(this.#freeAtMs, nowMs) + (messageBytes(message) / this.#bytesPerMs);
		return this.#freeAtMs;
	}
}
