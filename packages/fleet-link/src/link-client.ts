/**
The stream of a daemon to one control process. It is opened again after a failure, and after silence: a connection may
stay open without carrying anything.
*/

import {
	Client, type ClientDuplexStream, credentials, Metadata,
} from '@grpc/grpc-js';
import {channelOptions, channelTarget} from '@rattanspring/protocol';
import {heartbeatIntervalMs, heartbeatTimeoutMs} from './link-server.js';
import {linkService} from './link-service.js';
import type {DownMessage, NodeCard, UpMessage} from './messages.js';

/** Pause before a stream is opened again. */
const reopenPauseMs = 250;

/** Options of a stream. */
export type LinkClientOptions = {
	/** `host:port` of the control process. */
	readonly address: string;
	readonly nowMs: () => number;
	readonly card: () => NodeCard;
	readonly onMessage: (message: DownMessage) => void;
	readonly onConnectionChange: (isUp: boolean) => void;
};

/** One stream, kept open until it is closed. */
export class LinkClient {
	readonly #options: LinkClientOptions;
	readonly #timer: NodeJS.Timeout;
	#client: Client | undefined;
	#call: ClientDuplexStream<UpMessage, DownMessage> | undefined;
	#heardAtMs = 0;
	#isUp = false;
	#isClosed = false;

	constructor(options: LinkClientOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatIntervalMs);
		this.#open();
	}

	/** Whether control answers on the stream. */
	get isConnected(): boolean {
		return this.#isUp;
	}

	/** Sends a message if the stream is up. */
	send(message: UpMessage): void {
		if (this.#isUp) {
			this.#call?.write(message);
		}
	}

	/** Tells control who this daemon is, after a change. */
	sendHello(): void {
		this.send({type: 'hello', card: this.#options.card()});
	}

	/** Closes the stream for good. */
	close(): void {
		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#call?.end();
		this.#client?.close();
		this.#setUp(false);
	}

	#open(): void {
		if (this.#isClosed) {
			return;
		}

		const {path, requestSerialize, responseDeserialize} = linkService.follow;
		this.#heardAtMs = this.#options.nowMs();
		this.#client = new Client(channelTarget(this.#options.address), credentials.createInsecure(), channelOptions);
		const call = this.#client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, new Metadata());
		this.#call = call;
		call.on('data', (message: DownMessage) => {
			this.#heardAtMs = this.#options.nowMs();
			this.#setUp(true);
			this.#options.onMessage(message);
		});
		call.on('error', () => {
			this.#lose(call);
		});
		call.on('end', () => {
			this.#lose(call);
		});
		call.write({type: 'hello', card: this.#options.card()});
	}

	#beat(): void {
		if (!this.#call) {
			return;
		}

		if (this.#options.nowMs() - this.#heardAtMs > heartbeatTimeoutMs) {
			const call = this.#call;
			this.#lose(call);
			call.cancel();
			return;
		}

		this.send({type: 'beat'});
	}

	#lose(call: ClientDuplexStream<UpMessage, DownMessage>): void {
		if (call !== this.#call) {
			return;
		}

		this.#call = undefined;
		this.#client?.close();
		this.#setUp(false);
		if (!this.#isClosed) {
			setTimeout(() => {
				this.#open();
			}, reopenPauseMs);
		}
	}

	#setUp(isUp: boolean): void {
		if (this.#isUp !== isUp) {
			this.#isUp = isUp;
			this.#options.onConnectionChange(isUp);
		}
	}
}
