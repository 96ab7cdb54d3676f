/**
Keeps one server stream open to one of several addresses. When the stream ends, it reconnects to the next address.
*/

import type {ClientDuplexStream, ClientReadableStream} from '@grpc/grpc-js';

/** Delay before reconnecting. */
const reconnectDelayMs = 200;

/** A gRPC call whose messages this process reads. */
export type ReadableCall<Message> = ClientReadableStream<Message> | ClientDuplexStream<unknown, Message>;

/** Options of a reconnecting stream. */
export type ReconnectingStreamOptions<Message> = {
	readonly addresses: readonly string[];
	/** Opens the stream to an address. */
	readonly open: (address: string) => ReadableCall<Message>;
	readonly onMessage: (message: Message, address: string) => void;
	/** Called when the stream has ended, before it reconnects. */
	readonly onDisconnected?: (address: string) => void;
};

/** Holds at most one open stream at a time. */
export class ReconnectingStream<Message> {
	readonly #options: ReconnectingStreamOptions<Message>;
	#index = 0;
	#call: ReadableCall<Message> | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: ReconnectingStreamOptions<Message>) {
		this.#options = options;
	}

	/** Opens the stream to the current address. */
	start(): void {
		const address = this.#options.addresses[this.#index];
		const call = this.#options.open(address);
		this.#call = call;
		call.on('data', (message: Message) => {
			this.#options.onMessage(message, address);
		});
		call.on('error', () => {
			this.#handleEnd(call, address);
		});
		call.on('end', () => {
			this.#handleEnd(call, address);
		});
	}

	/** Cancels the stream without reconnecting. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		this.#call?.cancel();
	}

	/** Cancels the current stream, which then reconnects to the next address. */
	reconnect(): void {
		this.#call?.cancel();
	}

	#handleEnd(call: ReadableCall<Message>, address: string): void {
		if (this.#isStopped || this.#call !== call) {
			return;
		}

		this.#call = undefined;
		this.#options.onDisconnected?.(address);
		this.#index = (this.#index + 1) % this.#options.addresses.length;
		this.#timer = setTimeout(() => {
			this.start();
		}, reconnectDelayMs);
	}
}
