/** A gRPC server on one address, with graceful shutdown and, where keys are set, role-based access control. */

import {
	Server, type ServiceDefinition, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {serverCredentials, serverOptions, type KeyMaterial} from '@rattanspring/protocol';
import type {ListenSettings} from '@rattanspring/settings';
import {accessInterceptor} from './access-policy.js';

/** Options of a listener. */
export type GrpcListenerOptions = {readonly listen: ListenSettings; readonly keys?: KeyMaterial};

/** Serves gRPC services on one address. */
export class GrpcListener {
	readonly #server: Server;
	readonly #options: GrpcListenerOptions;

	constructor(options: GrpcListenerOptions) {
		this.#options = options;
		this.#server = new Server({...serverOptions, interceptors: options.keys ? [accessInterceptor] : []});
	}

	/** Adds a service. Must be called before `start`. */
	addService(definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
		this.#server.addService(definition, implementation);
	}

	/** Binds the address and starts to serve. */
	async start(): Promise<void> {
		const {listen, keys} = this.#options;
		const host = listen.host.includes(':') ? `[${listen.host}]` : listen.host;
		await new Promise<void>((resolve, reject) => {
			this.#server.bindAsync(`${host}:${listen.port}`, serverCredentials(keys), error => {
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			});
		});
	}

	/** Accepts no new calls, waits up to `graceMs` for calls in progress, then cancels the rest. */
	async stop(graceMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#server.forceShutdown();
				resolve();
			}, graceMs);
			this.#server.tryShutdown(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}
}
