/**
Keeps one server stream open to the first reachable of several addresses, and opens it again when it ends.
*/

import type {ClientDuplexStream, ClientReadableStream} from '@grpc/grpc-js';

/** Pause before a stream is opened again. */
const reopenPauseMs = 200;

/** Any stream that is read by this process. */
export type ReadableCall<Message> = ClientReadableStream<Message> | ClientDuplexStream<unknown, Message>;

/** Options of a follower. */
export type ReconnectingStreamOptions<Message> = {
	readonly addresses: readonly string[];
	/** Opens the stream at one address. */
	readonly open: (address: string) => ReadableCall<Message>;
	readonly onMessage: (message: Message, address: string) => void;
	/** Called when a stream ends, before it is opened elsewhere. */
	readonly onLost?: (address: string) => void;
};

/** Follows one stream at a time. */
export class ReconnectingStream<Message> {
	readonly #options: ReconnectingStreamOptions<Message>;
	#index = 0;
	#call: ReadableCall<Message> | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: ReconnectingStreamOptions<Message>) {
		this.#options = options;
	}

	/** Opens the first stream. */
	start(): void {
		const address = this.#options.addresses[this.#index];
		const call = this.#options.open(address);
		this.#call = call;
		call.on('data', (message: Message) => {
			this.#options.onMessage(message, address);
		});
		call.on('error', () => {
			this.#reopen(call, address);
		});
		call.on('end', () => {
			this.#reopen(call, address);
		});
	}

	/** Cancels the stream and opens no other. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		this.#call?.cancel();
	}

	/** Gives the current stream up and opens the next one. */
	reopen(): void {
		this.#call?.cancel();
	}

	#reopen(call: ReadableCall<Message>, address: string): void {
		if (this.#isStopped || this.#call !== call) {
			return;
		}

		this.#call = undefined;
		this.#options.onLost?.(address);
		this.#index = (this.#index + 1) % this.#options.addresses.length;
		this.#timer = setTimeout(() => {
			this.start();
		}, reopenPauseMs);
	}
}
