/**
A caller that honours the address answer: it asks an entry which addresses to use, keeps the answer for its
lifetime and spreads its requests over them.
*/

import {Agent, type IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import * as z from 'zod';

/** Options of a caller. */
export type CallerOptions = {
	/** Entries asked for addresses, in turn. */
	readonly bootstrapUrls: readonly string[];
	/** Secret of the caller's key. */
	readonly secret: string;
	/** Time for an answer about addresses. */
	readonly addressTimeoutMs?: number;
};

/** A request of a caller. */
export type CallerRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

const entriesSchema = z.object({entries: z.array(z.object({url: z.url()})), maxAgeMs: z.number()});
const defaultAddressTimeoutMs = 2000;

/** Asks for addresses and sends requests. */
export class Caller {
	readonly #options: CallerOptions;
	/** Connections are not kept: one that the server closes just then would break the next request. */
	readonly #agent = new Agent({keepAlive: false});
	#urls: readonly string[] = [];
	#expiresAtMs = 0;
	#turn = 0;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** The next address to use; asks again once the answer has expired. Undefined if no entry answers. */
	async entryUrl(): Promise<string | undefined> {
		if (Date.now() >= this.#expiresAtMs) {
			await this.#askForAddresses();
		}

		this.#turn++;
		return this.#urls.at(this.#turn % Math.max(1, this.#urls.length));
	}

	/** Sends a request to an address; the answer's body is still to be read. */
	async send(url: string, request: CallerRequest): Promise<IncomingMessage> {
		const {method, path, headers, body} = request;
		return Wreck.request(method, `${url}${path}`, {
			headers: {authorization: `Bearer ${this.#options.secret}`, 'content-type': 'application/json', ...headers},
			payload: body === undefined ? undefined : JSON.stringify(body),
			agent: this.#agent,
		});
	}

	async #askForAddresses(): Promise<void> {
		for (const url of [...this.#urls, ...this.#options.bootstrapUrls]) {
			const answer = await this.#askOne(url);
			if (answer && answer.entries.length > 0) {
				this.#urls = answer.entries.map(entry => entry.url);
				this.#expiresAtMs = Date.now() + answer.maxAgeMs;
				return;
			}
		}
	}

	async #askOne(url: string): Promise<z.infer<typeof entriesSchema> | undefined> {
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
