/** Calls of the link that have an answer. Each call has a deadline; no answer is `undefined`, never a guess. */

import {
	Client, credentials, Metadata, type MethodDefinition,
} from '@grpc/grpc-js';
import {channelOptions, channelTarget} from '@rattanspring/protocol';

/** Clients by address. A client that let a call time out is replaced: its connection may be dead. */
export class LinkCalls {
	readonly #clients = new Map<string, Client>();

	/** Calls a method; resolves with `undefined` where no answer came in time. */
	async call<Request, Reply>(address: string, method: MethodDefinition<Request, Reply>, request: Request, timeoutMs: number): Promise<Reply | undefined> {
		const client = this.#at(address);
		return new Promise(resolve => {
			const {path, requestSerialize, responseDeserialize} = method;
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, new Metadata(), {deadline: Date.now() + timeoutMs}, (error, reply) => {
				if (error) {
					this.#drop(address, client);
				}

				resolve(error ? undefined : reply);
			});
		});
	}

	/** Closes all connections. */
	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}

		this.#clients.clear();
	}

	#at(address: string): Client {
		let client = this.#clients.get(address);
		if (!client) {
			client = new Client(channelTarget(address), credentials.createInsecure(), channelOptions);
			this.#clients.set(address, client);
		}

		return client;
	}

	#drop(address: string, client: Client): void {
		if (this.#clients.get(address) === client) {
			this.#clients.delete(address);
			client.close();
		}
	}
}
