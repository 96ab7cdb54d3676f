/** A link of limited bandwidth from one member to another. Each lane carries one message after the other and keeps their order. */

import {laneOf, type PeerMessage} from '../messages.js';
import {messageBytes} from './message-bytes.js';

/** Bytes of the bulk lane that may be queued in the network already when a prompt message is sent. */
const underwayBytes = 65_536;

export class LimitedLink {
	readonly #bytesPerMs: number;
	/** When each lane has carried its messages so far. */
	readonly #freeAtMs = {bulk: 0, prompt: 0};
	/** When the last message of each lane arrives. */
	readonly #lastArrivalMs = {bulk: 0, prompt: 0};

	constructor(bytesPerMs: number) {
		this.#bytesPerMs = bytesPerMs;
	}

	/** Queues a message and returns when it arrives; `delayMs` is the time besides the link's bandwidth. */
	send(message: PeerMessage, nowMs: number, delayMs: number): number {
		const lane = laneOf(message);
		const leavesAtMs = lane === 'bulk' ? this.#sendBulk(message, nowMs) : this.#sendPrompt(message, nowMs);
		this.#lastArrivalMs[lane] = Math.max(this.#lastArrivalMs[lane], leavesAtMs + delayMs);
		return this.#lastArrivalMs[lane];
	}

	#sendBulk(message: PeerMessage, nowMs: number): number {
		this.#freeAtMs.bulk = Math.max(this.#freeAtMs.bulk, nowMs) + this.#durationMs(message);
		return this.#freeAtMs.bulk;
	}

	#sendPrompt(message: PeerMessage, nowMs: number): number {
		const underwayUntilMs = Math.min(this.#freeAtMs.bulk, nowMs + (underwayBytes / this.#bytesPerMs));
		this.#freeAtMs.bulk += this.#durationMs(message);
		this.#freeAtMs.prompt = Math.max(this.#freeAtMs.prompt, underwayUntilMs, nowMs) + this.#durationMs(message);
		return this.#freeAtMs.prompt;
	}

	#durationMs(message: PeerMessage): number {
		return messageBytes(message) / this.#bytesPerMs;
	}
}
