/** HTTP server for the administrative endpoints `/healthz`, `/readyz` and `/metrics`. */

import {
	server as createServer, type Server,
} from '@hapi/hapi';
import type {DaemonMetrics} from '@rattanspring/metrics';
import type {ListenSettings} from '@rattanspring/settings';
import type {Role} from '../ports/role.js';

/** Options of the admin server. */
export type AdminServerOptions = {
	readonly listen: ListenSettings;
	readonly metrics: DaemonMetrics;
	readonly roles: readonly Role[];
};

/** Serves the health, readiness and metrics of a daemon. */
export class AdminServer {
	readonly #server: Server;

	constructor(options: AdminServerOptions) {
		const {listen, metrics, roles} = options;
		this.#server = createServer({host: listen.host, port: listen.port});
		this.#server.route({method: 'GET', path: '/healthz', handler: () => ({status: 'ok'})});
		this.#server.route({
			method: 'GET',
			path: '/readyz',
			handler(_request, toolkit) {
				const states = roles.map(role => ({role: role.name, ready: role.isReady()}));
				return toolkit.response({roles: states}).code(states.every(state => state.ready) ? 200 : 503);
			},
		});
		this.#server.route({
			method: 'GET',
			path: '/metrics',
			async handler(_request, toolkit) {
				const text = await metrics.text();
				return toolkit.response(text).type('text/plain; version=0.0.4');
			},
		});
	}

	/** Starts to listen. */
	async start(): Promise<void> {
		await this.#server.start();
	}

	/** Stops, waiting up to 500 ms for open connections. */
	async stop(): Promise<void> {
		await this.#server.stop({timeout: 500});
	}
}
