/** An engine on another VM, asked and ordered by the agent there. */

import {type LinkCalls, linkService} from '@rattanspring/fleet-link';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';

/** Orders and states are answered at once by an agent that runs. */
const orderTimeoutMs = 200;

/** Counts and lists are long. */
const readTimeoutMs = 700;

type Question = {readonly kind: 'state' | 'counts' | 'experts'} | {readonly kind: 'order'; readonly order: EngineOrder};

/** Options of an engine behind another agent. */
export type RemoteEngineOptions = {
	readonly calls: Pick<LinkCalls, 'call'>;
	readonly linkAddress: string;
	readonly targetAddress: string;
	/** Reaches the engine past its agent: its state is some hundred milliseconds old then, and orders and counts have a price. */
	readonly direct?: (targetAddress: string) => EngineClient;
	/** Called when the agent did not answer. */
	readonly onSilent?: (targetAddress: string) => void;
};

/**
The engine behind another agent. Where the agent does not answer, orders go straight to the engine, which checks no fencing numbers: a group
must not stand still for as long as the agent does.
*/
export class RemoteEngine extends EngineClient {
	readonly #options: RemoteEngineOptions;
	#isSilent = false;

	constructor(options: RemoteEngineOptions) {
		super();
		this.#options = options;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#ask({kind: 'state'}, orderTimeoutMs, async door => door.state());
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#ask({kind: 'counts'}, readTimeoutMs);
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#ask({kind: 'experts'}, readTimeoutMs, async door => door.experts());
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		const past = async (door: EngineClient): Promise<OrderOutcome> => order.kind === 'fence' ? 'done' : door.order(order);
		return await this.#ask({kind: 'order', order}, orderTimeoutMs, past) ?? 'unknown';
	}

	close(): void {
		// The calls are shared.
	}

	/** Asks the agent, or the engine itself once the agent has not answered. */
	async #ask<Answer>(question: Question, timeoutMs: number, past?: (door: EngineClient) => Promise<Answer | undefined>): Promise<Answer | undefined> {
		const {calls, linkAddress, targetAddress, direct, onSilent} = this.#options;
		if (!this.#isSilent) {
			const reply = await calls.call(linkAddress, linkService.rank, {targetAddress, ...question}, timeoutMs);
			if (reply) {
				return reply.answer as Answer | undefined;
			}

			this.#isSilent = direct !== undefined;
			onSilent?.(targetAddress);
		}

		return direct && past?.(direct(targetAddress));
	}
}
