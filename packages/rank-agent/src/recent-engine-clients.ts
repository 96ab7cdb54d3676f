/** Clients of engines on other VMs, one an address. Requests name these addresses, so that only those that were used last are kept. */

import type {EngineClient} from './engine-client.js';

/** As many as the largest group has branches, so that the coordinators of some groups have theirs at once. */
const maxClients = 256;

/** The clients of one process. */
export class RecentEngineClients {
	readonly #create: (targetAddress: string) => EngineClient;
	readonly #clients = new Map<string, EngineClient>();

	constructor(create: (targetAddress: string) => EngineClient) {
		this.#create = create;
	}

	/** The client of an engine, created on first use. */
	of(targetAddress: string): EngineClient {
		const client = this.#clients.get(targetAddress) ?? this.#create(targetAddress);
		this.#clients.delete(targetAddress);
		this.#clients.set(targetAddress, client);
		if (this.#clients.size > maxClients) {
			const [[longestUnused, unused]] = this.#clients;
			this.#clients.delete(longestUnused);
			unused.close();
		}

		return client;
	}

	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}
	}
}
