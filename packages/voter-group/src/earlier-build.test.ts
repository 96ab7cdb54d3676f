/** Frames as the build of 33619ac sent them: voters of that build and of this one form one group while VMs are replaced in turn. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {
	type sendUnaryData, Server, ServerCredentials, type ServerReadableStream,
} from '@grpc/grpc-js';
import {peerProtocol} from '@rattanspring/protocol';
import type {Envelope, LogPayload, PeerMessage} from '@rattanspring/replicated-log';
import {expect} from 'earl';
import {GrpcPeerTransport, receiveFrames} from './grpc-peer-transport.js';
import {waitFor} from './wait-for.js';

const recorded = JSON.parse(readFileSync(new URL('../fixtures/frames-33619ac.json', import.meta.url), 'utf8')) as {
	/** Each of the samples below as the frame of a stream, in base64. */
	readonly samples: Readonly<Record<string, string>>;
	/** Frames that running control processes sent, in base64, by type of message. */
	readonly frames: Readonly<Record<string, string>>;
};

const sendTimeoutMs = 5000;
const round = {round: 7, sentAtMs: 1234.5};
const voters = [{voterId: 'v1', address: '10.0.0.1:7340'}, {voterId: 'v2', address: '10.0.0.2:7340'}];
const learners = [{voterId: 'v3', address: '10.0.0.3:7340', replaces: 'v2'}];
const payloads: {readonly [Kind in LogPayload['kind']]: Extract<LogPayload, {kind: Kind}>} = {
	command: {kind: 'command', command: Buffer.from([0, 123, 255])},
	membership: {kind: 'membership', voters, learners},
	noop: {kind: 'noop'},
};

/** A new type of message, which the build of 33619ac ignores, fails to compile, as does a field that is renamed or becomes required. */
const samples: {readonly [Type in PeerMessage['type']]: Extract<PeerMessage, {type: Type}>} = {
	preVote: {
		type: 'preVote', term: 3, lastIndex: 300, lastTerm: 2,
	},
	preVoteReply: {type: 'preVoteReply', term: 3, granted: true},
	vote: {
		type: 'vote', term: 3, lastIndex: 300, lastTerm: 2, isTransfer: true,
	},
	voteReply: {type: 'voteReply', term: 3, granted: false},
	append: {
		type: 'append', term: 3, ...round, prevIndex: 300, prevTerm: 2, commitIndex: 299, entries: Object.values(payloads).map((payload, offset) => ({index: 301 + offset, term: 3, payload})),
	},
	appendReply: {
		type: 'appendReply', term: 3, ...round, success: true, prevIndex: 300, matchIndex: 303,
	},
	snapshot: {
		type: 'snapshot', term: 3, ...round, snapshot: {
			lastIndex: 290, lastTerm: 2, voters, learners, state: Buffer.from([1, 2, 3]),
		},
	},
	contact: {type: 'contact', term: 3, ...round},
	contactReply: {type: 'contactReply', term: 3, ...round},
	timeoutNow: {type: 'timeoutNow', term: 3},
};

/** What a receiver of this build makes of the bytes of a frame. */
async function receive(base64: string): Promise<Envelope & {readonly fromAddress: string}> {
	const stream = Readable.from([peerProtocol.PeerService.exchange.requestDeserialize(Buffer.from(base64, 'base64'))]);
	const received: Array<Envelope & {readonly fromAddress: string}> = [];
	receiveFrames(stream as ServerReadableStream<peerProtocol.PeerFrame, peerProtocol.PeerClosed>, (envelope, fromAddress) => {
		received.push({...envelope, fromAddress});
	});
	await once(stream, 'end');
	return received[0];
}

/** The bytes of the frame that this build sends. */
async function send(message: PeerMessage): Promise<string> {
	const server = new Server();
	const transport = new GrpcPeerTransport({});
	const frames: Uint8Array[] = [];
	server.addService({exchange: {...peerProtocol.PeerService.exchange, requestDeserialize: (bytes: Uint8Array) => bytes}}, {
		exchange(call: ServerReadableStream<Uint8Array, peerProtocol.PeerClosed>, done: sendUnaryData<peerProtocol.PeerClosed>) {
			call.on('data', (frame: Uint8Array) => {
				frames.push(frame);
			});
			call.on('end', () => {
				done(null, {});
			});
			call.on('error', () => undefined);
		},
	});
	try {
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => {
				if (error) {
					reject(error);
				} else {
					resolve(bound);
				}
			});
		});
		transport.send({from: 'v1', to: 'v2', message}, `127.0.0.1:${port}`, '10.0.0.1:7340');
		await waitFor(() => frames.length > 0, sendTimeoutMs);
		return Buffer.concat(frames).toString('base64');
	} finally {
		transport.close();
		server.forceShutdown();
	}
}

describe('frames between this build and that of 33619ac', () => {
	for (const [type, message] of Object.entries(samples)) {
		it(`cannot be misread by this build: ${type}`, async () => {
			expect(await receive(recorded.samples[type])).toEqual({
				from: 'v1', to: 'v2', message, fromAddress: '10.0.0.1:7340',
			});
		});

		it(`cannot be written in a way that the earlier build does not read: ${type}`, async () => {
			expect(await send(message)).toEqual(recorded.samples[type]);
		});
	}

	it('cannot lack a field that running control processes of the earlier build send', async () => {
		expect(Object.keys(recorded.frames).toSorted()).toEqual(Object.keys(samples).toSorted());
		for (const [type, frame] of Object.entries(recorded.frames)) {
			const {message} = await receive(frame);
			expect(Object.keys(message).toSorted()).toEqual(Object.keys(samples[type as PeerMessage['type']]).toSorted());
		}
	});
});
