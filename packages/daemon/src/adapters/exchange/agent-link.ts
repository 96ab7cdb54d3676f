/**
The entry's side of exchanges: one stream to each agent, opened when first needed and again after it broke. The answers that
a broken stream carried end with an error; what to do about it is the caller's decision.
*/

import type {CallOptions, ClientDuplexStream, Metadata} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {agentProtocol, exchangeProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {FailureError} from '@rattanspring/types';
import {
	AgentConnection, AgentConnections, FrameStream, type Done,
} from '../../ports/agent-connection.js';
import {sizeOf, windowBytes} from './window.js';

type ExchangeCall = ClientDuplexStream<exchangeProtocol.ExchangeUp, exchangeProtocol.ExchangeDown>;
type UpContent = NonNullable<exchangeProtocol.ExchangeUp['content']>;

/** The stream to an agent broke or could not be opened. */
export type LinkFailure = {readonly type: 'linkBroken'; readonly message: string};

/** Connections to agents over exchanges. */
export class AgentLinks extends AgentConnections {
	readonly #exchanges: GrpcClientPool<exchangeProtocol.ExchangeClient>;
	readonly #agents: GrpcClientPool<agentProtocol.AgentClient>;
	readonly #links = new Map<string, AgentLink>();

	constructor(options: {readonly keys?: KeyMaterial}) {
		super();
		this.#exchanges = new GrpcClientPool({clientClass: exchangeProtocol.ExchangeClient, keys: options.keys});
		this.#agents = new GrpcClientPool({clientClass: agentProtocol.AgentClient, keys: options.keys});
	}

	at(address: string): AgentConnection {
		let link = this.#links.get(address);
		if (!link) {
			link = new AgentLink(() => this.#exchanges.clientFor(address).open(), this.#agents.clientFor(address));
			this.#links.set(address, link);
		}

		return link;
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}

		this.#exchanges.close();
		this.#agents.close();
	}
}

class AgentLink extends AgentConnection {
	readonly #openCall: () => ExchangeCall;
	readonly #agent: agentProtocol.AgentClient;
	readonly #channels = new Map<number, Channel>();
	#call: ExchangeCall | undefined;
	#lastChannel = 0;

	constructor(openCall: () => ExchangeCall, agent: agentProtocol.AgentClient) {
		super();
		this.#openCall = openCall;
		this.#agent = agent;
	}

	execute(request: agentProtocol.ExecuteRequest): FrameStream {
		return this.#open({$case: 'execute', value: request});
	}

	resume(request: agentProtocol.ResumeRequest): FrameStream {
		return this.#open({$case: 'resume', value: request});
	}

	seal(request: agentProtocol.SealRequest, metadata: Metadata, options: Partial<CallOptions>, done: Done<agentProtocol.SealReply>): void {
		this.#agent.seal(request, metadata, options, done);
	}

	cancel(request: agentProtocol.CancelRequest, done: Done<agentProtocol.CancelReply>): void {
		this.#agent.cancel(request, done);
	}

	close(): void {
		this.#call?.end();
		this.#call = undefined;
	}

	#open(content: UpContent): FrameStream {
		const call = this.#call ?? this.#connect();
		const number = ++this.#lastChannel;
		const channel = new Channel({
			grant(creditBytes) {
				call.write({channel: number, content: {$case: 'creditBytes', value: creditBytes}});
			},
			close: () => {
				if (this.#channels.delete(number)) {
					call.write({channel: number, content: {$case: 'close', value: true}});
				}
			},
		});
		this.#channels.set(number, channel);
		call.write({channel: number, content});
		return channel;
	}

	#connect(): ExchangeCall {
		const call = this.#openCall();
		this.#call = call;
		call.on('data', (message: exchangeProtocol.ExchangeDown) => {
			for (const {channel, frame} of message.frames) {
				this.#take(channel, frame);
			}
		});
		call.on('error', error => {
			this.#broken(call, error.message);
		});
		call.on('end', () => {
			this.#broken(call, 'The agent ended the stream.');
		});
		return call;
	}

	#take(number: number, frame: agentProtocol.Frame | undefined): void {
		const channel = this.#channels.get(number);
		if (!channel || !frame) {
			return;
		}

		channel.push(frame);
		if (isLast(frame)) {
			this.#channels.delete(number);
		}
	}

	#broken(call: ExchangeCall, message: string): void {
		if (this.#call !== call) {
			return;
		}

		this.#call = undefined;
		const failure = new FailureError<LinkFailure>({type: 'linkBroken', message});
		for (const channel of this.#channels.values()) {
			channel.fail(failure);
		}

		this.#channels.clear();
	}
}

type ChannelOptions = {readonly grant: (creditBytes: number) => void; readonly close: () => void};
type Waiter = {readonly resolve: (result: IteratorResult<agentProtocol.Frame>) => void; readonly reject: (error: Error) => void};

/** Frames that came and were not yet taken; at most one iteration at a time. */
class Channel extends FrameStream {
	readonly #options: ChannelOptions;
	readonly #frames: agentProtocol.Frame[] = [];
	#waiter: Waiter | undefined;
	#error: Error | undefined;
	#isEnded = false;
	#takenBytes = 0;

	constructor(options: ChannelOptions) {
		super();
		this.#options = options;
	}

	cancel(): void {
		this.#isEnded = true;
		this.#options.close();
	}

	push(frame: agentProtocol.Frame): void {
		const waiter = this.#waiter;
		if (waiter) {
			this.#waiter = undefined;
			waiter.resolve({done: false, value: this.#taken(frame)});
		} else {
			this.#frames.push(frame);
		}
	}

	fail(error: Error): void {
		this.#error = error;
		this.#waiter?.reject(error);
		this.#waiter = undefined;
	}

	[Symbol.asyncIterator](): AsyncIterator<agentProtocol.Frame> {
		return {
			next: async () => this.#next(),
			return: async () => {
				this.cancel();
				return {done: true, value: undefined};
			},
		};
	}

	async #next(): Promise<IteratorResult<agentProtocol.Frame>> {
		const frame = this.#frames.shift();
		if (frame) {
			return {done: false, value: this.#taken(frame)};
		}

		if (this.#isEnded) {
			return {done: true, value: undefined};
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			this.#waiter = {resolve, reject};
		});
	}

	/** Notes that a frame was taken, and lets the agent send as much again once half a window was. */
	#taken(frame: agentProtocol.Frame): agentProtocol.Frame {
		if (isLast(frame)) {
			this.#isEnded = true;
			return frame;
		}

		this.#takenBytes += sizeOf(frame);
		if (this.#takenBytes >= windowBytes / 2) {
			this.#options.grant(this.#takenBytes);
			this.#takenBytes = 0;
		}

		return frame;
	}
}

function isLast(frame: agentProtocol.Frame): boolean {
	return frame.content?.$case === 'end' || frame.content?.$case === 'refusal';
}
