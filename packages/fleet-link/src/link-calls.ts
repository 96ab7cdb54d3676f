/** Calls of the link that have an answer. Each call has a deadline; no answer is `undefined`, never a guess. */

import {Client, Metadata, type MethodDefinition} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';

/** Clients by address. A client that let a call time out is replaced: its connection may be dead. */
export class LinkCalls {
	readonly #clients = new GrpcClientPool({clientClass: Client});

	/** Calls a method; resolves with `undefined` where no answer came in time. */
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

	/** Closes all connections. */
	close(): void {
		this.#clients.close();
	}
}
