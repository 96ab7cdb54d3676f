/**
Port to an agent as an entry uses it: dispatch an attempt and read its frames, resume reading an attempt, query and
seal the outcome of an attempt, or cancel it.
*/

import type {CallOptions, Metadata, ServiceError} from '@grpc/grpc-js';
import type {agentProtocol} from '@rattanspring/protocol';

/** The frames of one attempt, in order. Iteration ends after the last frame, and throws when the connection breaks. */
export abstract class FrameStream implements AsyncIterable<agentProtocol.Frame> {
	/** Tells the agent that the frames are no longer read. */
	abstract cancel(): void;
	abstract [Symbol.asyncIterator](): AsyncIterator<agentProtocol.Frame>;
}

/** Receives the reply to a unary call. */
export type UnaryCallback<Reply> = (error: ServiceError | null, reply: Reply) => void; // eslint-disable-line @typescript-eslint/no-restricted-types -- the shape of gRPC callbacks

/** A connection to one agent. */
export abstract class AgentConnection {
	/** Dispatches an attempt, or reads the existing one if the agent already has it. */
	abstract execute(request: agentProtocol.ExecuteRequest): FrameStream;
	/** Resumes reading the frames of an attempt that the agent has. */
	abstract resume(request: agentProtocol.ResumeRequest): FrameStream;
	/** Queries the outcome of an attempt. If the agent has never received the attempt, it seals it. */
	abstract seal(request: agentProtocol.SealRequest, metadata: Metadata, options: Partial<CallOptions>, done: UnaryCallback<agentProtocol.SealReply>): void;
	/** Cancels an attempt. */
	abstract cancel(request: agentProtocol.CancelRequest, done: UnaryCallback<agentProtocol.CancelReply>): void;
}

/** Connections to all agents, by `host:port`. */
export abstract class AgentConnections {
	abstract at(address: string): AgentConnection;
	abstract close(): void;
}
