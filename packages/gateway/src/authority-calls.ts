/**
Calls to the control process that decides about something, as the first in an order for it that all daemons share. One that does not answer is
passed over for a while.
*/

import {rankByRendezvous} from '@rattanspring/directory';
import {LinkCalls, type NodeCard} from '@rattanspring/fleet-link';
import type {MethodDefinition} from '@grpc/grpc-js';

const replyTimeoutMs = 400;

/** Time for which a control process that did not answer is passed over. */
const avoidMs = 3000;

/** Options of the calls. */
export type AuthorityCallsOptions = {
	readonly controls: () => readonly NodeCard[];
	readonly nowMs: () => number;
};

/** Calls authorities by subject. */
export class AuthorityCalls {
	readonly #options: AuthorityCallsOptions;
	readonly #calls = new LinkCalls();
	readonly #avoidedUntilMs = new Map<string, number>();

	constructor(options: AuthorityCallsOptions) {
		this.#options = options;
	}

	/** Calls the authority of a subject; resolves with `undefined` if there is none or it does not answer. */
	async call<Request, Reply>(subject: string, method: MethodDefinition<Request, Reply>, request: Request): Promise<Reply | undefined> {
		const [authority] = rankByRendezvous(subject, this.#candidates());
		if (authority === undefined) {
			return undefined;
		}

		const reply = await this.#calls.call(authority, method, request, replyTimeoutMs);
		if (reply === undefined) {
			this.#avoidedUntilMs.set(authority, this.#options.nowMs() + avoidMs);
		}

		return reply;
	}

	close(): void {
		this.#calls.close();
	}

	#candidates(): string[] {
		const nowMs = this.#options.nowMs();
		const addresses = this.#options.controls().flatMap(({role, linkAddress, isLeaving}) => role === 'control' && linkAddress !== undefined && !isLeaving ? [linkAddress] : []);
		for (const address of this.#avoidedUntilMs.keys()) {
			if (!addresses.includes(address)) {
				this.#avoidedUntilMs.delete(address);
			}
		}

		return addresses.filter(address => (this.#avoidedUntilMs.get(address) ?? 0) <= nowMs);
	}
}
