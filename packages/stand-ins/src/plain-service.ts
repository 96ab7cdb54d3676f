/**
A plain service for orders and bookings: some of its calls may not be repeated, and it counts how often each ran.
*/

import {
	server as createServer, type Server,
} from '@hapi/hapi';

/** Options of a plain service. */
export type PlainServiceOptions = {
	readonly host: string;
	/** 0 takes any free port. */
	readonly port: number;
	/** Time each call takes. */
	readonly delayMs?: number;
	/** Whether the connection breaks after a call has run, so that its answer is lost. */
	readonly dropsResponse?: (reference: string) => boolean;
};

/** A service with `POST /orders` (not to be repeated) and `GET /orders/{reference}` (a look-up). */
export class PlainService {
	readonly #options: PlainServiceOptions;
	readonly #server: Server;
	readonly #runs = new Map<string, number>();

	constructor(options: PlainServiceOptions) {
		this.#options = options;
		this.#server = createServer({host: options.host, port: options.port});
	}

	/** Base URL once started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** How often each order was run, by its reference. */
	get runs(): ReadonlyMap<string, number> {
		return this.#runs;
	}

	/** Starts to listen. */
	async start(): Promise<void> {
		this.#server.route({
			method: 'POST',
			path: '/orders',
			handler: async (request, toolkit) => {
				const {reference} = request.payload as {reference?: unknown};
				if (typeof reference !== 'string') {
					return toolkit.response({type: 'malformedOrder', message: 'The order needs a reference.'}).code(400);
				}

				const run = (this.#runs.get(reference) ?? 0) + 1;
				this.#runs.set(reference, run);
				await this.#delay();
				if (this.#options.dropsResponse?.(reference)) {
					request.raw.res.destroy();
					return toolkit.abandon;
				}

				return toolkit.response({reference, run}).code(201);
			},
		});
		this.#server.route({
			method: 'GET',
			path: '/orders/{reference}',
			handler: request => ({reference: (request.params as {reference: string}).reference, runs: this.#runs.get((request.params as {reference: string}).reference) ?? 0}),
		});
		await this.#server.start();
	}

	/** Stops at once. */
	async stop(): Promise<void> {
		await this.#server.stop({timeout: 0});
	}

	async #delay(): Promise<void> {
		const {delayMs} = this.#options;
		if (delayMs) {
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}
	}
}
