/**
A plain HTTP service for orders. Placing an order is not idempotent; the service counts how often each order was executed.
*/

import {
	server as createServer, type Server,
} from '@hapi/hapi';

export type PlainServiceOptions = {
	readonly host: string;
	/** Port to listen on; 0 selects any free port. */
	readonly port: number;
	/** Time that each order takes. */
	readonly delayMs?: number;
	/** Whether the connection is closed after an order was executed, so that its response is lost. */
	readonly dropsResponse?: (reference: string) => boolean;
};

/** Serves `POST /orders` (not idempotent) and `GET /orders/{reference}` (read-only). */
export class PlainService {
	readonly #options: PlainServiceOptions;
	readonly #server: Server;
	readonly #runs = new Map<string, number>();

	constructor(options: PlainServiceOptions) {
		this.#options = options;
		this.#server = createServer({host: options.host, port: options.port});
	}

	/** Base URL; valid once the server has started. */
	get url(): string {
		return this.#server.info.uri;
	}

	/** Number of executions of each order, by reference. */
	get runs(): ReadonlyMap<string, number> {
		return this.#runs;
	}

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

	/** Stops without waiting for open connections. */
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
