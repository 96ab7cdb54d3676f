/** Answers requests of other agents for the engine on this agent's VM. */

import {
	type LinkCalls, linkService, type RankReply, type RankRequest, type RelayChild,
} from '@rattanspring/fleet-link';
import {SentSamples} from './count-samples.js';
import {
	type EngineClient, type EngineOrder, isEngineOrder, type OrderOutcome,
} from './engine-client.js';
import {decodeMap} from './map-encoding.js';
import {childTimeoutMs} from './relay-limits.js';

/** Options of a handler. */
export type RankRequestHandlerOptions = {
	/** The target on this VM. */
	readonly targetAddress: string;
	/** Its engine. */
	readonly engine: EngineClient;
	/** Returns a client that reaches the engine on another VM, bypassing its agent. */
	readonly directClient: (targetAddress: string) => EngineClient;
	/** Reaches the agents to which requests are passed on. */
	readonly calls: Pick<LinkCalls, 'call'>;
	/** Called when a request was not passed on, as too many are. */
	readonly onRelaysExceeded?: (event: {readonly children: number; readonly openRelays: number}) => void;
};

/** Agents to which requests are being passed on at once: two orders at once in the largest groups, whose branches have as many ranks as there are branches. */
export const maxOpenRelays = 512;

type RelayRequest = Extract<RankRequest, {readonly kind: 'relay'}>;

/** Applies orders to the engine on this VM and answers queries of its state. Hold orders may be for an engine on another VM. */
export class RankRequestHandler {
	readonly #options: RankRequestHandlerOptions;
	readonly #samples = new SentSamples();
	#openRelays = 0;

	constructor(options: RankRequestHandlerOptions) {
		this.#options = options;
	}

	async handle(request: RankRequest): Promise<RankReply> {
		if (request.kind === 'order') {
			const order = toEngineOrder(request);
			return toReply(order ? await this.#order(request.targetAddress, order) : 'refused');
		}

		if (request.kind === 'relay') {
			return this.#relay(request);
		}

		const {engine, targetAddress} = this.#options;
		if (request.targetAddress !== targetAddress) {
			return {};
		}

		return request.kind === 'counts' && request.base !== undefined ? this.#sample(request.base) : toReply(await engine[request.kind]());
	}

	/** Handles a request and passes it on at the same time; none of it if it would be passed on to too many, so that its sender takes all answers as missing. */
	async #relay({targetAddress, request, children, attachment}: RelayRequest): Promise<RankReply> {
		if (this.#openRelays + children.length > maxOpenRelays) {
			this.#options.onRelaysExceeded?.({children: children.length, openRelays: this.#openRelays});
			return {};
		}

		const timeoutMs = childTimeoutMs(children.length, attachment?.length);
		const passed = {...request, ...(attachment && {attachment})};
		this.#openRelays += children.length;
		try {
			const [own, ...others] = await Promise.all([
				this.handle({...passed, targetAddress}),
				...children.map(async (child: RelayChild) => this.#options.calls.call(child.linkAddress, linkService.rank, {...passed, targetAddress: child.targetAddress}, timeoutMs)),
			]);
			return {answer: [own, ...others].map(reply => reply?.answer ?? null)};
		} finally {
			this.#openRelays -= children.length;
		}
	}

	async #order(address: string, order: EngineOrder): Promise<OrderOutcome | undefined> {
		const {engine, targetAddress, directClient} = this.#options;
		if (address === targetAddress) {
			return engine.order(order);
		}

		return order.kind === 'hold' ? directClient(address).order(order) : undefined;
	}

	async #sample(base: number): Promise<RankReply> {
		const counts = await this.#options.engine.counts();
		return counts ? this.#samples.reply(counts, base) : {};
	}
}

/** The order of a request, with the map that is attached to it; undefined if it is damaged. */
function toEngineOrder({order, attachment}: {readonly order: unknown; readonly attachment?: Uint8Array}): EngineOrder | undefined {
	const map = attachment && decodeMap(attachment);
	const whole: unknown = map ? {...order as object, map} : order;
	const isDamaged = attachment !== undefined && map === undefined;
	return !isDamaged && isEngineOrder(whole) ? whole : undefined;
}

function toReply(answer: unknown): RankReply {
	return answer === undefined ? {} : {answer};
}
