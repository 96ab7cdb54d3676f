/** Answers requests of other agents for the engine on this agent's VM. */

import type {RankReply, RankRequest} from '@rattanspring/fleet-link';
import type {EngineClient, EngineOrder} from './engine-client.js';

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

	constructor(options: RankRequestHandlerOptions) {
		this.#options = options;
	}

	async handle(request: RankRequest<EngineOrder>): Promise<RankReply> {
		const answer = await this.#answer(request);
		return answer === undefined ? {} : {answer};
	}

	async #answer(request: RankRequest<EngineOrder>): Promise<unknown> {
		const {engine, targetAddress, directClient} = this.#options;
		if (request.targetAddress !== targetAddress) {
			const isHold = request.kind === 'order' && request.order.kind === 'hold';
			return isHold ? directClient(request.targetAddress).order(request.order) : undefined;
		}

		return request.kind === 'order' ? engine.order(request.order) : engine[request.kind]();
	}
}
