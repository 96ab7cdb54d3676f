/**
The stream from a daemon to one control process. It reconnects after a failure and after missed heartbeats, since a
connection may stay open without delivering anything. It answers each heartbeat with its own at once: a daemon then wakes up once for both, and
a control process hears from all its followers in a few turns of its event loop.
*/

import {
	Client, type ClientDuplexStream, credentials, Metadata,
} from '@grpc/grpc-js';
import {channelOptions, channelTarget} from '@rattanspring/protocol';
import {heartbeatTimeoutMs} from './link-server.js';
import {linkService} from './link-service.js';
import type {DownMessage, NodeCard, UpMessage} from './messages.js';

/** Delay before a lost stream is reopened, and the largest random addition: all daemons lose a control process at the same time. */
const minReconnectDelayMs = 125;
const reconnectSpreadMs = 250;

/** Options of `LinkClient`. */
export type LinkClientOptions = {
	/** `host:port` of the control process. */
	readonly address: string;
	readonly nowMs: () => number;
	readonly card: () => NodeCard;
	readonly onMessage: (message: DownMessage) => void;
	readonly onConnectionChange: (isUp: boolean) => void;
	/** Whether the daemon takes load figures from this stream at first; it does by default. */
	readonly isPrimary?: boolean;
	/** Random numbers in [0, 1). */
	readonly random?: () => number;
};

/** One stream, reconnected until it is closed. */
export class LinkClient {
	readonly #options: LinkClientOptions;
	#silenceTimer: NodeJS.Timeout | undefined;
	#client: Client | undefined;
	#call: ClientDuplexStream<UpMessage, DownMessage> | undefined;
	#isPrimary: boolean;
	/** The card last written to the current stream, as JSON. */
	#writtenCard = '';
	#heardAtMs = 0;
	#isConnected = false;
	#isClosed = false;

	constructor(options: LinkClientOptions) {
		this.#options = options;
		this.#isPrimary = options.isPrimary ?? true;
		this.#open();
	}

	/** Whether the control process has answered on the current stream. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Starts or ends taking load figures from this stream. */
	setPrimary(isPrimary: boolean): void {
		if (this.#isPrimary !== isPrimary) {
			this.#isPrimary = isPrimary;
			this.sendHello();
		}
	}

	/** Sends a message if the stream is connected; drops it otherwise. */
	send(message: UpMessage): void {
		if (this.#isConnected) {
			this.#call?.write(message);
		}
	}

	/** Sends this daemon's card, after it has changed. If the stream is not connected yet, that is done once it is. */
	sendHello(): void {
		if (this.#isConnected && this.#call) {
			this.#writeHello(this.#call);
		}
	}

	/** Closes the stream without reconnecting. Messages that are already on their way are not delivered. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#silenceTimer);
		const call = this.#call;
		this.#call = undefined;
		call?.end();
		this.#client?.close();
		this.#setConnected(false);
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
			if (call !== this.#call) {
				return;
			}

			this.#heardAtMs = this.#options.nowMs();
			this.#setConnected(true);
			if (message.type === 'beat') {
				this.send({type: 'beat'});
			}

			this.#options.onMessage(message);
		});
		call.on('error', () => {
			this.#handleDisconnect(call);
		});
		call.on('end', () => {
			this.#handleDisconnect(call);
		});
		this.#writeHello(call);
		this.#watchSilence(call, heartbeatTimeoutMs);
	}

	#writeHello(call: ClientDuplexStream<UpMessage, DownMessage>): void {
		const card = this.#options.card();
		this.#writtenCard = JSON.stringify(card);
		call.write({type: 'hello', card, isPrimary: this.#isPrimary});
	}

	/** Ends a stream that has brought nothing for too long. The timer is set again once it is due, not for each message. */
	#watchSilence(call: ClientDuplexStream<UpMessage, DownMessage>, afterMs: number): void {
		clearTimeout(this.#silenceTimer);
		this.#silenceTimer = setTimeout(() => {
			if (call !== this.#call) {
				return;
			}

			const leftMs = this.#heardAtMs + heartbeatTimeoutMs - this.#options.nowMs();
			if (leftMs > 0) {
				this.#watchSilence(call, leftMs);
				return;
			}

			this.#handleDisconnect(call);
			call.cancel();
		}, afterMs);
	}

	#handleDisconnect(call: ClientDuplexStream<UpMessage, DownMessage>): void {
		if (call !== this.#call) {
			return;
		}

		this.#call = undefined;
		this.#client?.close();
		this.#setConnected(false);
		if (!this.#isClosed) {
			const random = this.#options.random ?? Math.random;
			setTimeout(() => {
				this.#open();
			}, minReconnectDelayMs + (reconnectSpreadMs * random()));
		}
	}

	#setConnected(isUp: boolean): void {
		if (this.#isConnected !== isUp) {
			this.#isConnected = isUp;
			if (isUp && JSON.stringify(this.#options.card()) !== this.#writtenCard) {
				this.sendHello();
			}

			this.#options.onConnectionChange(isUp);
		}
	}
}
