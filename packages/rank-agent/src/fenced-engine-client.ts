/**
An engine client that refuses orders from superseded coordinators. Engines do not check fencing numbers themselves; the
agents do, because all orders for a rank go through its agent.
*/

import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';

/** Refuses orders whose fencing number is lower than the highest one seen. Counts carry the pace of the last state that was read through this client, as the agent does all the time. */
export class FencedEngineClient extends EngineClient {
	readonly #engine: EngineClient;
	#highest = 0;
	#pace = 1;

	constructor(engine: EngineClient) {
		super();
		this.#engine = engine;
	}

	async state(): Promise<EngineState | undefined> {
		const state = await this.#engine.state();
		this.#pace = state?.pace ?? this.#pace;
		return state && {...state, fencing: this.#highest};
	}

	async counts(): Promise<ExpertCounts | undefined> {
		const counts = await this.#engine.counts();
		return counts && {...counts, pace: this.#pace};
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#engine.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		if (order.fencing < this.#highest) {
			return 'refused';
		}

		this.#highest = order.fencing;
		return order.kind === 'fence' ? 'done' : this.#engine.order(order);
	}

	close(): void {
		this.#engine.close();
	}
}
