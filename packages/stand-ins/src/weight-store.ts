/** A weight store with a limited rate, shared by all that load from it in the order in which they ask. */

import {type Server, server as createServer} from '@hapi/hapi';
import * as z from 'zod';

/** Options of the store. */
export type WeightStoreOptions = {readonly bytesPerMs: number};

/** Computes when loads end. Takes the time as an input. */
export class WeightStore {
	readonly #options: WeightStoreOptions;
	#freeAtMs = 0;
	#loadedBytes = 0;

	constructor(options: WeightStoreOptions) {
		this.#options = options;
	}

	/** Bytes given out so far. */
	get loadedBytes(): number {
		return this.#loadedBytes;
	}

	/** Queues a load and returns the time at which it ends. */
	load(bytes: number, nowMs: number): number {
		this.#loadedBytes += bytes;
		this.#freeAtMs = Math.max(this.#freeAtMs, nowMs) + (bytes / this.#options.bytesPerMs);
		return this.#freeAtMs;
	}
}

/** Options of a store that listens. */
export type WeightStoreServerOptions = WeightStoreOptions & {
	readonly host: string;
	/** 0 takes any free port. */
	readonly port: number;
};

const loadSchema = z.object({bytes: z.number().min(0)});

/** The store over HTTP: `POST /loads` answers once the load has ended. */
export class WeightStoreServer {
	readonly #store: WeightStore;
	readonly #server: Server;

	constructor(options: WeightStoreServerOptions) {
		this.#store = new WeightStore(options);
		this.#server = createServer({host: options.host, port: options.port, compression: false});
	}

	/** Base URL once started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** Starts to listen. */
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

	/** Stops at once. */
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
