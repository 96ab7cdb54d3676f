/**
The entry's side of exchanges: one stream to each agent, opened on first use and reopened on the next use after it broke.
When a stream breaks, the frame streams multiplexed on it fail with an error; the caller decides how to recover.
*/

import type {CallOptions, ClientDuplexStream, Metadata} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {agentProtocol, exchangeProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {FailureError} from '@rattanspring/types';
import {
	AgentConnection, AgentConnections, FrameStream, type UnaryCallback,
} from '../../ports/agent-connection.js';
import {flowControlBytes, windowBytes} from './window.js';

type ExchangeCall = ClientDuplexStream<exchangeProtocol.ExchangeUp, exchangeProtocol.ExchangeDown>;
type UpContent = NonNullable<exchangeProtocol.ExchangeUp['content']>;

/** The exchange stream to an agent broke or could not be opened. */
export type ExchangeFailure = {readonly type: 'linkBroken'; readonly message: string};

/** Connections to agents, each over one exchange stream. */
export class ExchangeAgentConnections extends AgentConnections {
	readonly #exchanges: GrpcClientPool<exchangeProtocol.ExchangeClient>;
	readonly #agents: GrpcClientPool<agentProtocol.AgentClient>;
	readonly #connections = new Map<string, ExchangeAgentConnection>();

	constructor(options: {readonly keys?: KeyMaterial}) {
		super();
		this.#exchanges = new GrpcClientPool({clientClass: exchangeProtocol.ExchangeClient, keys: options.keys});
		this.#agents = new GrpcClientPool({clientClass: agentProtocol.AgentClient, keys: options.keys});
	}

	at(address: string): AgentConnection {
		let agentConnection = this.#connections.get(address);
		if (!agentConnection) {
			agentConnection = new ExchangeAgentConnection(() => this.#exchanges.clientFor(address).open(), this.#agents.clientFor(address));
			this.#connections.set(address, agentConnection);
		}

		return agentConnection;
	}

	close(): void {
		for (const agentConnection of this.#connections.values()) {
			agentConnection.close();
		}

		this.#exchanges.close();
		this.#agents.close();
	}
}

class ExchangeAgentConnection extends AgentConnection {
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

	seal(request: agentProtocol.SealRequest, metadata: Metadata, options: Partial<CallOptions>, done: UnaryCallback<agentProtocol.SealReply>): void {
		this.#agent.seal(request, metadata, options, done);
	}

	cancel(request: agentProtocol.CancelRequest, done: UnaryCallback<agentProtocol.CancelReply>): void {
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
			grantCredit(creditBytes) {
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
				this.#deliver(channel, frame);
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

	#deliver(number: number, frame: agentProtocol.Frame | undefined): void {
		const channel = this.#channels.get(number);
		if (!channel || !frame) {
			return;
		}

		channel.push(frame);
		if (isLastFrame(frame)) {
			this.#channels.delete(number);
		}
	}

	#broken(call: ExchangeCall, message: string): void {
		if (this.#call !== call) {
			return;
		}

		this.#call = undefined;
		const failure = new FailureError<ExchangeFailure>({type: 'linkBroken', message});
		for (const channel of this.#channels.values()) {
			channel.fail(failure);
		}

		this.#channels.clear();
	}
}

type ChannelOptions = {readonly grantCredit: (creditBytes: number) => void; readonly close: () => void};
type PendingRead = {readonly resolve: (result: IteratorResult<agentProtocol.Frame>) => void; readonly reject: (error: Error) => void};

/** Buffers the frames of one attempt until they are read. Supports only one iteration at a time. */
class Channel extends FrameStream {
	readonly #options: ChannelOptions;
	readonly #frames: agentProtocol.Frame[] = [];
	#pendingRead: PendingRead | undefined;
	#error: Error | undefined;
	#isEnded = false;
	#consumedBytes = 0;

	constructor(options: ChannelOptions) {
		super();
		this.#options = options;
	}

	cancel(): void {
		this.#isEnded = true;
		this.#options.close();
	}

	push(frame: agentProtocol.Frame): void {
		const pendingRead = this.#pendingRead;
		if (pendingRead) {
			this.#pendingRead = undefined;
			pendingRead.resolve({done: false, value: this.#consume(frame)});
		} else {
			this.#frames.push(frame);
		}
	}

	fail(error: Error): void {
		this.#error = error;
		this.#pendingRead?.reject(error);
		this.#pendingRead = undefined;
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
			return {done: false, value: this.#consume(frame)};
		}

		if (this.#isEnded) {
			return {done: true, value: undefined};
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			this.#pendingRead = {resolve, reject};
		});
	}

	/** Counts a frame as consumed, and grants the agent new credit once half a window has been consumed. */
	#consume(frame: agentProtocol.Frame): agentProtocol.Frame {
		if (isLastFrame(frame)) {
			this.#isEnded = true;
			return frame;
		}

		this.#consumedBytes += flowControlBytes(frame);
		if (this.#consumedBytes >= windowBytes / 2) {
			this.#options.grantCredit(this.#consumedBytes);
			this.#consumedBytes = 0;
		}

		return frame;
	}
}

function isLastFrame(frame: agentProtocol.Frame): boolean {
	return frame.content?.$case === 'end' || frame.content?.$case === 'refusal';
}
