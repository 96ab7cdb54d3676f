/**
The door to an engine that drops orders of coordinators that were overtaken. Engines do not check fencing numbers; the
agents do, and all orders for a rank pass through its agent.
*/

import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';

/** Checks the fencing number of each order. */
export class FencedDoor extends EngineClient {
	readonly #inner: EngineClient;
	#highest = 0;
	#pace = 1;

	constructor(inner: EngineClient) {
		super();
		this.#inner = inner;
	}

	async state(): Promise<EngineState | undefined> {
		const state = await this.#inner.state();
		this.#pace = state?.pace ?? this.#pace;
		return state && {...state, fencing: this.#highest};
	}

	async counts(): Promise<ExpertCounts | undefined> {
		const counts = await this.#inner.counts();
		return counts && {...counts, pace: this.#pace};
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#inner.experts();
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		if (order.fencing < this.#highest) {
			return 'refused';
		}

		this.#highest = order.fencing;
		return order.kind === 'fence' ? 'done' : this.#inner.order(order);
	}

	close(): void {
		this.#inner.close();
	}
}
