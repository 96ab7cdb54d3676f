/** The gRPC service between daemons. Messages are encoded as JSON, or as MessagePack where they carry bytes. */

import {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import type {MethodDefinition} from '@grpc/grpc-js';
import type {DownMessage, UpMessage} from './messages.js';

/** Requests the next part of the document if it is newer than the version the daemon holds. */
export type DocumentRequest = {
	readonly heldVersion: number;
	/** The transfer in progress, and how many of its bytes have arrived. */
	readonly transfer?: {readonly id: string; readonly offset: number};
};

/** The version that the answering process holds (-1 if none), and a part of a newer document than the requester's. */
export type DocumentReply = {
	readonly version: number;
	readonly part?: {
		/** Digest of all bytes of the transfer, so that its parts may come from several processes. */
		readonly transferId: string;
		readonly transferVersion: number;
		readonly totalBytes: number;
		readonly offset: number;
		readonly bytes: Uint8Array;
	};
};

/** A command for the leader to commit. */
export type SubmitRequest = {readonly version: number; readonly text: string};

/** The outcome of a command; without `outcome` it is unknown whether the command was accepted. */
export type SubmitReply = {readonly outcome?: string};

/** A request by a process to join the control group; without a voter ID it only asks for the leader. */
export type JoinRequest = {readonly voterId?: string; readonly address: string};

/** Whether the requester is a voter, and the leader's address as far as the answering process knows it. */
export type JoinReply = {
	readonly isMember: boolean;
	readonly leaderAddress?: string;
	/** Whether the answering process has no disk and therefore never joins the group. */
	readonly isDiskless?: boolean;
};

/** An order for the engine on the agent's VM, or a query of its state. */
export type RankRequest<Order = unknown> = {readonly targetAddress: string} & (
	| {readonly kind: 'state' | 'counts' | 'experts'}
	| {readonly kind: 'order'; readonly order: Order}
);

/** The engine's answer; `answer` is absent if the engine did not answer. */
export type RankReply<Answer = unknown> = {readonly answer?: Answer};

type Format = {readonly serialize: (message: unknown) => Buffer; readonly parse: (bytes: Buffer) => unknown};

const json: Format = {
	serialize: message => Buffer.from(JSON.stringify(message)),
	parse: bytes => JSON.parse(bytes.toString()) as unknown,
};

const messagePack: Format = {
	serialize: message => Buffer.from(encode(message, {ignoreUndefined: true})),
	parse: bytes => decode(bytes),
};

/** The methods of the service. */
export const linkService = {
	follow: method<UpMessage, DownMessage>('Follow', true),
	document: method<DocumentRequest, DocumentReply>('Document', false, messagePack),
	submit: method<SubmitRequest, SubmitReply>('Submit', false),
	join: method<JoinRequest, JoinReply>('Join', false),
	rank: method<RankRequest, RankReply>('Rank', false),
};

function method<Request, Reply>(name: string, isStream: boolean, {serialize, parse} = json): MethodDefinition<Request, Reply> {
	return {
		path: `/rattanspring.FleetLink/${name}`,
		requestStream: isStream,
		responseStream: isStream,
		requestSerialize: serialize,
		requestDeserialize: parse as (bytes: Buffer) => Request,
		responseSerialize: serialize,
		responseDeserialize: parse as (bytes: Buffer) => Reply,
	};
}
