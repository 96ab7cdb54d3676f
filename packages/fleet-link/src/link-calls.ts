/** Unary calls between daemons. Each call has a deadline; a missing reply is reported as `undefined` and never inferred. */

import {Client, Metadata, type MethodDefinition} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';

/** Calls daemons by address. A client whose call failed is replaced, since its connection may be dead. */
export class LinkCalls {
	readonly #clients = new GrpcClientPool({clientClass: Client});

	/** Calls a method; resolves with `undefined` if the call fails or no reply arrives before the deadline. */
	async call<Request, Reply>(address: string, method: MethodDefinition<Request, Reply>, request: Request, timeoutMs: number): Promise<Reply | undefined> {
		const client = this.#clients.clientFor(address);
		return new Promise(resolve => {
			const {path, requestSerialize, responseDeserialize} = method;
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, new Metadata(), {deadline: Date.now() + timeoutMs}, (error, reply) => {
				if (error) {
					this.#clients.discard(address, client);
				}

				resolve(error ? undefined : reply);
			});
		});
	}

	/** Drops the connection to an address; the next call opens a new one. */
	discard(address: string): void {
		this.#clients.discard(address);
	}

	close(): void {
		this.#clients.close();
	}
}
