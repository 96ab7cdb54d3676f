/**
The agent's side of an exchange: the readers of many attempts are multiplexed on one stream. Frames that become ready in the
same turn of the event loop are sent in one message, which costs far less CPU time than one message per frame.
*/

import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {agentProtocol, exchangeProtocol} from '@rattanspring/protocol';
import {flowControlBytes, windowBytes} from './window.js';

type ExchangeCall = ServerDuplexStream<exchangeProtocol.ExchangeUp, exchangeProtocol.ExchangeDown>;

/** Maximum bytes of frames in one message. A single larger frame is sent in a message of its own. */
const maxMessageBytes = 1_048_576;

/** A remote reader of the frames of one attempt. */
export abstract class FrameReader<Request> {
	abstract readonly request: Request;
	/** Sends a frame. Returns false if the caller must wait for a drain before it sends the next one. */
	abstract write(frame: agentProtocol.Frame): boolean;
	/** Ends the channel after the last frame. */
	abstract end(): void;
	/** Calls the listener each time the reader can accept frames again. */
	abstract onDrain(listener: () => void): void;
	/** Calls the listener once, when the channel has ended or the reader has disconnected. */
	abstract onClose(listener: () => void): void;
}

/** Handlers for new readers. */
export type ExchangeHandlers = {
	readonly execute: (reader: FrameReader<agentProtocol.ExecuteRequest>) => void;
	readonly resume: (reader: FrameReader<agentProtocol.ResumeRequest>) => void;
};

/** Serves the exchange stream of one entry until it ends. */
export function serveExchange(call: ExchangeCall, handlers: ExchangeHandlers): void {
	const exchange = new AgentExchange(call, handlers);
	call.on('data', (message: exchangeProtocol.ExchangeUp) => {
		exchange.handleMessage(message);
	});
	call.on('drain', () => {
		exchange.resumeWriting();
	});
	call.on('end', () => {
		exchange.close();
		call.end();
	});
	for (const event of ['cancelled', 'error', 'close'] as const) {
		call.on(event, () => {
			exchange.close();
		});
	}
}

/** The channels of one exchange stream. */
class AgentExchange {
	readonly #call: ExchangeCall;
	readonly #handlers: ExchangeHandlers;
	readonly #channels = new Map<number, Channel<unknown>>();
	#pending: exchangeProtocol.ChannelFrame[] = [];
	#isFlushScheduled = false;
	#isCongested = false;
	#isClosed = false;

	constructor(call: ExchangeCall, handlers: ExchangeHandlers) {
		this.#call = call;
		this.#handlers = handlers;
	}

	handleMessage(message: exchangeProtocol.ExchangeUp): void {
		const {channel, content} = message;
		switch (content?.$case) {
			case 'execute': {
				this.#handlers.execute(this.#open(channel, content.value));
				break;
			}

			case 'resume': {
				this.#handlers.resume(this.#open(channel, content.value));
				break;
			}

			case 'creditBytes': {
				this.#channels.get(channel)?.addCredit(content.value);
				break;
			}

			case 'close':
			case undefined: {
				this.#closeChannel(channel);
				break;
			}
		}
	}

	resumeWriting(): void {
		this.#isCongested = false;
		this.#flush();
	}

	close(): void {
		this.#isClosed = true;
		for (const channel of this.#channels.keys()) {
			this.#closeChannel(channel);
		}
	}

	#open<Request>(number: number, request: Request): Channel<Request> {
		const channel = new Channel({
			request,
			send: frame => {
				this.#send({channel: number, frame});
			},
			end: () => {
				this.#channels.delete(number);
			},
		});
		this.#channels.set(number, channel);
		return channel;
	}

	#closeChannel(number: number): void {
		const channel = this.#channels.get(number);
		this.#channels.delete(number);
		channel?.close();
	}

	#send(frame: exchangeProtocol.ChannelFrame): void {
		this.#pending.push(frame);
		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.#isFlushScheduled = false;
				this.#flush();
			});
		}
	}

	#flush(): void {
		while (this.#pending.length > 0 && !this.#isCongested && !this.#isClosed) {
			this.#isCongested = !this.#call.write({frames: this.#takeNextBatch()});
		}
	}

	#takeNextBatch(): exchangeProtocol.ChannelFrame[] {
		let bytes = 0;
		let count = 0;
		for (const {frame} of this.#pending) {
			bytes += frame ? flowControlBytes(frame) : 0;
			if (count > 0 && bytes > maxMessageBytes) {
				break;
			}

			count++;
		}

		const taken = this.#pending.slice(0, count);
		this.#pending = this.#pending.slice(count);
		return taken;
	}
}

type ChannelOptions<Request> = {
	readonly request: Request;
	readonly send: (frame: agentProtocol.Frame) => void;
	readonly end: () => void;
};

class Channel<Request> extends FrameReader<Request> {
	readonly request: Request;
	readonly #options: ChannelOptions<Request>;
	readonly #drainListeners: Array<() => void> = [];
	readonly #closeListeners: Array<() => void> = [];
	#creditBytes = windowBytes;

	constructor(options: ChannelOptions<Request>) {
		super();
		this.request = options.request;
		this.#options = options;
	}

	write(frame: agentProtocol.Frame): boolean {
		this.#creditBytes -= flowControlBytes(frame);
		this.#options.send(frame);
		return this.#creditBytes > 0;
	}

	end(): void {
		this.#options.end();
		this.close();
	}

	onDrain(listener: () => void): void {
		this.#drainListeners.push(listener);
	}

	onClose(listener: () => void): void {
		this.#closeListeners.push(listener);
	}

	close(): void {
		for (const listener of this.#closeListeners.splice(0)) {
			listener();
		}
	}

	addCredit(bytes: number): void {
		const wasEmpty = this.#creditBytes <= 0;
		this.#creditBytes += bytes;
		if (wasEmpty && this.#creditBytes > 0) {
			for (const listener of this.#drainListeners) {
				listener();
			}
		}
	}
}
