/** A pool of gRPC clients by address, created on first use and shared within the process. */

import {
	type ChannelCredentials, type ChannelOptions, type Client, type ClientOptions,
} from '@grpc/grpc-js';
import {
	channelOptions, channelTarget, clientCredentials, type KeyMaterial,
} from '@rattanspring/protocol';

/** Constructor signature of the generated client classes. */
type ClientClass<C extends Client> = new (address: string, credentials: ChannelCredentials, options?: Partial<ClientOptions>) => C;

/** Options of `GrpcClientPool`. */
export type GrpcClientPoolOptions<C extends Client> = {
	readonly clientClass: ClientClass<C>;
	readonly keys?: KeyMaterial;
	/** Channel options that are added to the common ones, or override them. */
	readonly channel?: ChannelOptions;
};

/** A pool of clients for one service. */
export class GrpcClientPool<C extends Client> {
	readonly #options: GrpcClientPoolOptions<C>;
	readonly #clients = new Map<string, C>();

	constructor(options: GrpcClientPoolOptions<C>) {
		this.#options = options;
	}

	/** Returns the client for `host:port`, creating it on first use. */
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

	/** Closes the client of an address, so that the next call opens a new connection. Does nothing if `client` has already been replaced. */
	discard(address: string, client = this.#clients.get(address)): void {
		if (client && this.#clients.get(address) === client) {
			client.close();
			this.#clients.delete(address);
		}
	}

	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}

		this.#clients.clear();
	}
}
