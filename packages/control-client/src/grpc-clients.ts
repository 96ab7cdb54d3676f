/** GRPC clients by address, made on first use and shared within the process. */

import {
	type ChannelCredentials, type ChannelOptions, type Client, type ClientOptions,
} from '@grpc/grpc-js';
import {
	channelOptions, channelTarget, clientCredentials, type KeyMaterial,
} from '@rattanspring/protocol';

/** Makes a client; a generated client class has this shape behind `new`. */
type ClientClass<C extends Client> = new (address: string, credentials: ChannelCredentials, options?: Partial<ClientOptions>) => C;

/** Options of a pool. */
export type GrpcClientPoolOptions<C extends Client> = {
	readonly clientClass: ClientClass<C>;
	readonly keys?: KeyMaterial;
	/** Options beside the common ones. */
	readonly channel?: ChannelOptions;
};

/** A pool of clients of one service. */
export class GrpcClientPool<C extends Client> {
	readonly #options: GrpcClientPoolOptions<C>;
	readonly #clients = new Map<string, C>();

	constructor(options: GrpcClientPoolOptions<C>) {
		this.#options = options;
	}

	/** The client for `host:port`. */
	clientFor(address: string): C {
		let client = this.#clients.get(address);
		if (!client) {
			const {keys, channel} = this.#options;
			const ClientClass = this.#options.clientClass; // eslint-disable-line @typescript-eslint/naming-convention -- it is a class
			client = new ClientClass(channelTarget(address), clientCredentials(keys), {...channelOptions, ...channel});
			this.#clients.set(address, client);
		}

		return client;
	}

	/** Closes the client of an address, so that the next call opens a new connection; a client that was replaced already stays dropped. */
	discard(address: string, client = this.#clients.get(address)): void {
		if (client && this.#clients.get(address) === client) {
			client.close();
			this.#clients.delete(address);
		}
	}

	/** Closes all clients. */
	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}

		this.#clients.clear();
	}
}
