/** Client for an engine on another VM, through the agent on that VM. */

import {
	type LinkCalls, linkService, type RankReply, type RankRequest,
} from '@rattanspring/fleet-link';
import {ReceivedSamples} from './count-samples.js';
import {
	EngineClient, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-client.js';
import {encodeMap} from './map-encoding.js';
import {TransferPacer} from './transfer-pacer.js';

/** A running agent answers orders and state requests immediately. */
const orderTimeoutMs = 200;

/** For counts and expert lists, agents ask their engines. */
const readTimeoutMs = 700;

/** Expected bytes of each expert in a map that goes to an engine directly, as JSON. */
const bytesPerListed = 4;

/** A time limit, and the bytes of the request and its reply if they are large. The limit starts once they are admitted, and allows for their transfer. */
type CallLimits = {readonly timeoutMs: number; readonly bytes?: number};

type WithoutTarget<Request> = Request extends RankRequest ? Omit<Request, 'targetAddress'> : never;

/** A request for the engine of this client. */
type AgentRequest = WithoutTarget<RankRequest<EngineOrder>>;

/** A request that an agent did not answer in time: its kind or the kind of its order, and the time limit. */
export type UnansweredRequest = {readonly targetAddress: string; readonly request: string; readonly limitMs: number};

/** Options of a remote engine client. */
export type RemoteEngineClientOptions = {
	readonly calls: Pick<LinkCalls, 'call'>;
	readonly linkAddress: string;
	readonly targetAddress: string;
	/** Samples of counts that arrived earlier. Clients of the same engine share them, so that an answer has to contain the differences only. */
	readonly samples?: ReceivedSamples;
	/** Paces large messages, for all clients on this VM. */
	readonly pacer?: TransferPacer;
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
	readonly #samples: ReceivedSamples;
	readonly #pacer: TransferPacer;
	#isAgentUnresponsive = false;

	constructor(options: RemoteEngineClientOptions) {
		super();
		this.#options = options;
		this.#samples = options.samples ?? new ReceivedSamples();
		this.#pacer = options.pacer ?? new TransferPacer();
	}

	async state(): Promise<EngineState | undefined> {
		return this.#request({kind: 'state'}, {timeoutMs: orderTimeoutMs}, async engine => engine.state());
	}

	async counts(): Promise<ExpertCounts | undefined> {
		const {targetAddress} = this.#options;
		const {base, expectedBytes} = this.#samples.last(targetAddress);
		const reply = await this.#call({kind: 'counts', base}, {timeoutMs: readTimeoutMs, bytes: expectedBytes});
		return reply?.answer === undefined ? undefined : this.#samples.receive(targetAddress, reply);
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#request({kind: 'experts'}, {timeoutMs: readTimeoutMs}, async engine => engine.experts());
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		const request = toOrderRequest(order);
		return await this.#request(request, {timeoutMs: orderTimeoutMs, bytes: request.attachment?.length}, async engine => this.#orderDirectly(engine, order)) ?? 'unknown';
	}

	close(): void {
		// The connections are shared with other clients.
	}

	async #orderDirectly(engine: EngineClient, order: EngineOrder): Promise<OrderOutcome> {
		if (order.kind === 'fence') {
			return 'done';
		}

		const bytes = order.kind === 'prepare' ? order.map.flat().flat().length * bytesPerListed : undefined;
		return bytes === undefined ? engine.order(order) : this.#pacer.run(bytes, async () => engine.order(order));
	}

	/** Sends a request to the agent, or directly to the engine once the agent has failed to answer. */
	async #request<Answer>(request: AgentRequest, limits: CallLimits, fallback: (engine: EngineClient) => Promise<Answer | undefined>): Promise<Answer | undefined> {
		const reply = await this.#call(request, limits);
		if (reply) {
			return reply.answer as Answer | undefined;
		}

		const {directClient, targetAddress} = this.#options;
		return directClient && fallback(directClient(targetAddress));
	}

	/** Sends a request to the agent, unless it has failed to answer an earlier one. */
	async #call(request: AgentRequest, {timeoutMs, bytes}: CallLimits): Promise<RankReply | undefined> {
		if (this.#isAgentUnresponsive) {
			return undefined;
		}

		return bytes === undefined ? this.#callWithin(request, timeoutMs) : this.#pacer.run(bytes, async allowanceMs => this.#callWithin(request, timeoutMs + allowanceMs));
	}

	async #callWithin(request: AgentRequest, timeoutMs: number): Promise<RankReply | undefined> {
		const {calls, linkAddress, targetAddress, directClient, onAgentTimeout} = this.#options;
		const reply = await calls.call(linkAddress, linkService.rank, {targetAddress, ...request}, timeoutMs);
		if (!reply) {
			this.#isAgentUnresponsive = directClient !== undefined;
			onAgentTimeout?.({targetAddress, request: request.kind === 'order' ? request.order.kind : request.kind, limitMs: Math.round(timeoutMs)});
		}

		return reply;
	}
}

/** The request for an order; a map is attached in its compact encoding. */
function toOrderRequest(order: EngineOrder): AgentRequest {
	const attachment = order.kind === 'prepare' ? encodeMap(order.map) : undefined;
	return order.kind === 'prepare' && attachment ? {kind: 'order', order: {...order, map: []}, attachment} : {kind: 'order', order};
}
