/**
Sends messages of the replicated log over one gRPC stream per peer address and lane. Each stream has a connection of its
own, so that small messages do not wait for large ones that are on their way in the other lane.
*/

import {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import {
	type ClientWritableStream, connectivityState, type ServerReadableStream,
} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {peerProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {
	type Envelope, laneOf, type MessageLane, type PeerMessage, PeerTransport,
} from '@rattanspring/replicated-log';

/** Maximum payload of one frame; larger messages are split. */
const maxFrameBytes = 1_048_576;

/** Maximum bytes buffered per stream. Messages above the limit are dropped; the replicated log retransmits them. */
const maxBufferedBytes = 67_108_864;

type Frame = peerProtocol.PeerFrame;
type Stream = {readonly call: ClientWritableStream<Frame>; bufferedBytes: number};

export type GrpcPeerTransportOptions = {readonly keys?: KeyMaterial};

/** Connect timeout. A lost SYN packet can otherwise delay the first connection by seconds. */
const connectTimeoutMs = 1000;

/** Keepalive pings detect a dead connection within one or two election timeouts. */
const peerChannelOptions = {'grpc.keepalive_time_ms': 1000, 'grpc.keepalive_timeout_ms': 1000};

/** Opens the stream of a lane to a peer on first use, and a new one after a failure. */
export class GrpcPeerTransport extends PeerTransport {
	readonly #clients: Readonly<Record<MessageLane, GrpcClientPool<peerProtocol.PeerClient>>>;
	/** Streams by address and lane. */
	readonly #streams = new Map<string, Stream>();
	#isClosed = false;

	constructor(options: GrpcPeerTransportOptions) {
		super();
		const createPool = (): GrpcClientPool<peerProtocol.PeerClient> => new GrpcClientPool({clientClass: peerProtocol.PeerClient, keys: options.keys, channel: peerChannelOptions});
		this.#clients = {bulk: createPool(), prompt: createPool()};
	}

	send(envelope: Envelope, toAddress: string, fromAddress: string): void {
		if (this.#isClosed) {
			return;
		}

		const lane = laneOf(envelope.message);
		const stream = this.#streams.get(streamName(toAddress, lane)) ?? this.#open(toAddress, lane);
		if (stream.bufferedBytes > maxBufferedBytes) {
			return;
		}

		for (const frame of splitIntoFrames(envelope, fromAddress)) {
			const {byteLength} = frame.message;
			stream.bufferedBytes += byteLength;
			stream.call.write(frame, () => {
				stream.bufferedBytes -= byteLength;
			});
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const {call} of this.#streams.values()) {
			call.end();
		}

		this.#clients.bulk.close();
		this.#clients.prompt.close();
	}

	#open(address: string, lane: MessageLane): Stream {
		const clients = this.#clients[lane];
		const client = clients.clientFor(address);
		const name = streamName(address, lane);
		const call = client.exchange(() => {
			this.#removeStream(name, call);
		});
		call.on('error', () => {
			this.#removeStream(name, call);
		});
		const stream = {call, bufferedBytes: 0};
		this.#streams.set(name, stream);
		setTimeout(() => {
			if (this.#streams.get(name) === stream && client.getChannel().getConnectivityState(false) !== connectivityState.READY) {
				this.#removeStream(name, call);
				call.cancel();
				clients.discard(address, client);
			}
		}, connectTimeoutMs).unref();
		return stream;
	}

	#removeStream(name: string, call: Stream['call']): void {
		if (this.#streams.get(name)?.call === call) {
			this.#streams.delete(name);
		}
	}
}

/** Receives a message and the sender's address, which is empty if the sender does not know its own address. */
export type PeerListener = (envelope: Envelope, fromAddress: string) => void;

/** Reassembles the messages of a peer's stream and passes each one to the listener. */
export function receiveFrames(call: ServerReadableStream<Frame, peerProtocol.PeerClosed>, listener: PeerListener): void {
	let chunks: Uint8Array[] = [];
	call.on('data', (frame: Frame) => {
		chunks.push(frame.message);
		if (frame.continues) {
			return;
		}

		const message = decode(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)) as PeerMessage;
		chunks = [];
		listener({from: frame.from, to: frame.to, message}, frame.fromAddress);
	});
}

function streamName(address: string, lane: MessageLane): string {
	return `${lane} ${address}`;
}

function splitIntoFrames({from, to, message}: Envelope, fromAddress: string): Frame[] {
	const bytes = encode(message, {ignoreUndefined: true});
	const frames: Frame[] = [];
	for (let offset = 0; offset < bytes.byteLength; offset += maxFrameBytes) {
		const endOffset = offset + maxFrameBytes;
		frames.push({
			from, to, message: bytes.subarray(offset, endOffset), continues: endOffset < bytes.byteLength, fromAddress,
		});
	}

	return frames;
}
