/** Client for an engine on another VM, through the agent on that VM. */

import {type LinkCalls, linkService} from '@rattanspring/fleet-link';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';

/** A running agent answers orders and state requests immediately. */
const orderTimeoutMs = 200;

/** Replies with counts and expert lists are large. */
const readTimeoutMs = 700;

type AgentRequest = {readonly kind: 'state' | 'counts' | 'experts'} | {readonly kind: 'order'; readonly order: EngineOrder};

/** A request that an agent did not answer in time: its kind or the kind of its order, and the time limit. */
export type UnansweredRequest = {readonly targetAddress: string; readonly request: string; readonly limitMs: number};

/** Options of a remote engine client. */
export type RemoteEngineClientOptions = {
	readonly calls: Pick<LinkCalls, 'call'>;
	readonly linkAddress: string;
	readonly targetAddress: string;
	/** Returns a client that bypasses the agent. The state it reads is some hundred milliseconds old, and orders and count requests are costly for the engine. */
	readonly directClient?: (targetAddress: string) => EngineClient;
	/** Called when the agent did not answer in time. */
	readonly onAgentTimeout?: (unanswered: UnansweredRequest) => void;
};

/**
Sends requests to the engine through its agent. If the agent does not answer, orders go directly to the engine, although it does not check
fencing numbers: a group must not stall for as long as one agent does.
*/
export class RemoteEngineClient extends EngineClient {
	readonly #options: RemoteEngineClientOptions;
	#isAgentUnresponsive = false;

	constructor(options: RemoteEngineClientOptions) {
		super();
		this.#options = options;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#request({kind: 'state'}, orderTimeoutMs, async engine => engine.state());
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#request({kind: 'counts'}, readTimeoutMs);
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#request({kind: 'experts'}, readTimeoutMs, async engine => engine.experts());
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		const fallback = async (engine: EngineClient): Promise<OrderOutcome> => order.kind === 'fence' ? 'done' : engine.order(order);
		return await this.#request({kind: 'order', order}, orderTimeoutMs, fallback) ?? 'unknown';
	}

	close(): void {
		// The connections are shared with other clients.
	}

	/** Sends a request to the agent, or directly to the engine once the agent has failed to answer. */
	async #request<Answer>(request: AgentRequest, timeoutMs: number, fallback?: (engine: EngineClient) => Promise<Answer | undefined>): Promise<Answer | undefined> {
		const {calls, linkAddress, targetAddress, directClient, onAgentTimeout} = this.#options;
		if (!this.#isAgentUnresponsive) {
			const reply = await calls.call(linkAddress, linkService.rank, {targetAddress, ...request}, timeoutMs);
			if (reply) {
				return reply.answer as Answer | undefined;
			}

			this.#isAgentUnresponsive = directClient !== undefined;
			onAgentTimeout?.({targetAddress, request: request.kind === 'order' ? request.order.kind : request.kind, limitMs: timeoutMs});
		}

		return directClient && fallback?.(directClient(targetAddress));
	}
}
