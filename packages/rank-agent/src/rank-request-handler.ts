/** Answers requests of other agents for the engine on this agent's VM. */

import type {RankReply, RankRequest} from '@rattanspring/fleet-link';
import {SentSamples} from './count-samples.js';
import type {EngineClient, EngineOrder} from './engine-client.js';
import {decodeMap} from './map-encoding.js';

/** Options of a handler. */
export type RankRequestHandlerOptions = {
	/** The target on this VM. */
	readonly targetAddress: string;
	/** Its engine. */
	readonly engine: EngineClient;
	/** Returns a client that reaches the engine on another VM, bypassing its agent. */
	readonly directClient: (targetAddress: string) => EngineClient;
};

/** Applies orders to the engine on this VM and answers queries of its state. Hold orders may be for an engine on another VM. */
export class RankRequestHandler {
	readonly #options: RankRequestHandlerOptions;
	readonly #samples = new SentSamples();

	constructor(options: RankRequestHandlerOptions) {
		this.#options = options;
	}

	async handle(request: RankRequest<EngineOrder>): Promise<RankReply> {
		const {engine, targetAddress, directClient} = this.#options;
		if (request.targetAddress !== targetAddress) {
			const isHold = request.kind === 'order' && request.order.kind === 'hold';
			return toReply(isHold ? await directClient(request.targetAddress).order(request.order) : undefined);
		}

		if (request.kind === 'order') {
			const order = withAttachedMap(request.order, request.attachment);
			return toReply(order ? await engine.order(order) : 'refused');
		}

		return request.kind === 'counts' && request.base !== undefined ? this.#sample(request.base) : toReply(await engine[request.kind]());
	}

	async #sample(base: number): Promise<RankReply> {
		const counts = await this.#options.engine.counts();
		return counts ? this.#samples.reply(counts, base) : {};
	}
}

/** The order with the map that is attached to it, if there is one; undefined if the attachment is damaged. */
function withAttachedMap(order: EngineOrder, attachment: Uint8Array | undefined): EngineOrder | undefined {
	if (!attachment) {
		return order;
	}

	const map = decodeMap(attachment);
	return map && order.kind === 'prepare' ? {...order, map} : undefined;
}

function toReply(answer: unknown): RankReply {
	return answer === undefined ? {} : {answer};
}
