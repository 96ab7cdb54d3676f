/** A weight store with a limited rate. Loads are served sequentially in the order of their requests. */

import {type Server, server as createServer} from '@hapi/hapi';
import * as z from 'zod';

export type WeightStoreOptions = {readonly bytesPerMs: number};

/** Computes when loads end. The current time is a parameter. */
export class WeightStore {
	readonly #options: WeightStoreOptions;
	#idleFromMs = 0;
	#loadedBytes = 0;

	constructor(options: WeightStoreOptions) {
		this.#options = options;
	}

	/** Total bytes of all loads requested so far. */
	get loadedBytes(): number {
		return this.#loadedBytes;
	}

	/** Queues a load and returns its end time. */
	load(bytes: number, nowMs: number): number {
		this.#loadedBytes += bytes;
		this.#idleFromMs = Math.max(this.#idleFromMs, nowMs) + (bytes / this.#options.bytesPerMs);
		return this.#idleFromMs;
	}
}

export type WeightStoreServerOptions = WeightStoreOptions & {
	readonly host: string;
	/** Port to listen on; 0 selects any free port. */
	readonly port: number;
};

const loadSchema = z.object({bytes: z.number().min(0)});

/** Serves the store over HTTP: `POST /loads` responds once the load has ended. */
export class WeightStoreServer {
	readonly #store: WeightStore;
	readonly #server: Server;

	constructor(options: WeightStoreServerOptions) {
		this.#store = new WeightStore(options);
		this.#server = createServer({host: options.host, port: options.port, compression: false});
	}

	/** Base URL; valid once the server has started. */
	get url(): string {
		return this.#server.info.uri;
	}

	async start(): Promise<void> {
		this.#server.route({
			method: 'POST',
			path: '/loads',
			handler: async (request, toolkit) => {
				const parsed = loadSchema.safeParse(request.payload);
				if (!parsed.success) {
					return toolkit.response({type: 'malformedRequest', message: parsed.error.message}).code(400);
				}

				return this.#load(parsed.data.bytes);
			},
		});
		this.#server.route({method: 'GET', path: '/load', handler: () => ({loadedBytes: this.#store.loadedBytes})});
		await this.#server.start();
	}

	/** Stops without waiting for open connections. */
	async stop(): Promise<void> {
		await this.#server.stop({timeout: 0});
	}

	async #load(bytes: number): Promise<{readonly loadedBytes: number}> {
		const nowMs = performance.now();
		const endMs = this.#store.load(bytes, nowMs);
		await new Promise(resolve => {
			setTimeout(resolve, endMs - nowMs);
		});
		return {loadedBytes: this.#store.loadedBytes};
	}
}
