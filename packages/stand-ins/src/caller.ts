/**
A client that follows the entry list: it asks an entry which addresses to use, caches the list until it expires
and distributes its requests over the addresses.
*/

import {Agent, type IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import * as z from 'zod';

export type CallerOptions = {
	/** Entries that are asked for the address list, tried in order. */
	readonly bootstrapUrls: readonly string[];
	/** Secret of the caller key. */
	readonly secret: string;
	/** Timeout for a request for the address list. */
	readonly addressTimeoutMs?: number;
};

/** A request to send to an entry. */
export type CallerRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

const entriesSchema = z.object({entries: z.array(z.object({url: z.url()})), maxAgeMs: z.number()});
const defaultAddressTimeoutMs = 2000;

/** Fetches the address list and sends requests. */
export class Caller {
	readonly #options: CallerOptions;
	/** Keep-alive is disabled: a request sent on a connection that the server is closing would fail. */
	readonly #agent = new Agent({keepAlive: false});
	#urls: readonly string[] = [];
	#expiresAtMs = 0;
	#requestCount = 0;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Returns the next address to use, after refreshing an expired address list. Returns undefined if no entry responds. */
	async entryUrl(): Promise<string | undefined> {
		if (Date.now() >= this.#expiresAtMs) {
			await this.#refreshAddresses();
		}

		this.#requestCount++;
		return this.#urls.at(this.#requestCount % Math.max(1, this.#urls.length));
	}

	/** Sends a request to an address and returns the response with its body unread. */
	async send(url: string, request: CallerRequest): Promise<IncomingMessage> {
		const {method, path, headers, body} = request;
		return Wreck.request(method, `${url}${path}`, {
			headers: {authorization: `Bearer ${this.#options.secret}`, 'content-type': 'application/json', ...headers},
			payload: body === undefined ? undefined : JSON.stringify(body),
			agent: this.#agent,
		});
	}

	async #refreshAddresses(): Promise<void> {
		for (const url of [...this.#urls, ...this.#options.bootstrapUrls]) {
			const answer = await this.#fetchAddresses(url);
			if (answer && answer.entries.length > 0) {
				this.#urls = answer.entries.map(entry => entry.url);
				this.#expiresAtMs = Date.now() + answer.maxAgeMs;
				return;
			}
		}
	}

	async #fetchAddresses(url: string): Promise<z.infer<typeof entriesSchema> | undefined> {
		try {
			const {payload} = await Wreck.get(`${url}/v1/entries`, {
				headers: {authorization: `Bearer ${this.#options.secret}`}, json: true, timeout: this.#options.addressTimeoutMs ?? defaultAddressTimeoutMs,
			});
			return entriesSchema.safeParse(payload).data;
		} catch {
			return undefined;
		}
	}
}
