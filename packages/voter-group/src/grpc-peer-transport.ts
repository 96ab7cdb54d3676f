/** Sends messages of the replicated log over one gRPC stream for each peer address. */

import {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import {
	type ClientWritableStream, connectivityState, type ServerReadableStream,
} from '@grpc/grpc-js';
import {GrpcClients} from '@rattanspring/control-client';
import {peerProtocol, type KeyMaterial} from '@rattanspring/protocol';
import {type Envelope, type PeerMessage, PeerTransport} from '@rattanspring/replicated-log';

/** Largest piece of a message in one frame. */
const maxFrameBytes = 1_048_576;

/** Bytes that may wait for one peer; messages beyond are dropped, and the log sends them again. */
const maxWaitingBytes = 67_108_864;

type Frame = peerProtocol.PeerFrame;
type Stream = {readonly call: ClientWritableStream<Frame>; waitingBytes: number};

/** Options of the transport. */
export type GrpcPeerTransportOptions = {readonly keys?: KeyMaterial};

/** Time for a connection to a peer; a lost opening packet may hold the first one up for seconds. */
const connectTimeoutMs = 1000;

/** A connection may stay open without carrying anything; probes find that out within an election timeout or two. */
const peerChannel = {'grpc.keepalive_time_ms': 1000, 'grpc.keepalive_timeout_ms': 1000};

/** Streams to peers, opened on first use and again after a failure. */
export class GrpcPeerTransport extends PeerTransport {
	readonly #clients: GrpcClients<peerProtocol.PeerClient>;
	readonly #streams = new Map<string, Stream>();
	#isClosed = false;

	constructor(options: GrpcPeerTransportOptions) {
		super();
		this.#clients = new GrpcClients({clientClass: peerProtocol.PeerClient, keys: options.keys, channel: peerChannel});
	}

	send(envelope: Envelope, toAddress: string, fromAddress: string): void {
		if (this.#isClosed) {
			return;
		}

		const stream = this.#streams.get(toAddress) ?? this.#open(toAddress);
		if (stream.waitingBytes > maxWaitingBytes) {
			return;
		}

		for (const frame of framesOf(envelope, fromAddress)) {
			const {byteLength} = frame.message;
			stream.waitingBytes += byteLength;
			stream.call.write(frame, () => {
				stream.waitingBytes -= byteLength;
			});
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const {call} of this.#streams.values()) {
			call.end();
		}

		this.#clients.close();
	}

	#open(address: string): Stream {
		const client = this.#clients.at(address);
		const call = client.exchange(() => {
			this.#forget(address, call);
		});
		call.on('error', () => {
			this.#forget(address, call);
		});
		const stream = {call, waitingBytes: 0};
		this.#streams.set(address, stream);
		setTimeout(() => {
			if (this.#streams.get(address) === stream && client.getChannel().getConnectivityState(false) !== connectivityState.READY) {
				this.#forget(address, call);
				call.cancel();
				this.#clients.drop(address);
			}
		}, connectTimeoutMs).unref();
		return stream;
	}

	#forget(address: string, call: Stream['call']): void {
		if (this.#streams.get(address)?.call === call) {
			this.#streams.delete(address);
		}
	}
}

/** Takes a message and the address of its sender, which is empty if the sender does not know it. */
export type PeerListener = (envelope: Envelope, fromAddress: string) => void;

/** Hands each whole message of a peer's stream to a listener. */
export function receiveFrames(call: ServerReadableStream<Frame, peerProtocol.PeerClosed>, listener: PeerListener): void {
	let pieces: Uint8Array[] = [];
	call.on('data', (frame: Frame) => {
		pieces.push(frame.message);
		if (frame.continues) {
			return;
		}

		const message = decode(pieces.length === 1 ? pieces[0] : Buffer.concat(pieces)) as PeerMessage;
		pieces = [];
		listener({from: frame.from, to: frame.to, message}, frame.fromAddress);
	});
}

function framesOf({from, to, message}: Envelope, fromAddress: string): Frame[] {
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
