/** The gRPC service between daemons. Messages are encoded as JSON. */

import {Buffer} from 'node:buffer';
import type {MethodDefinition} from '@grpc/grpc-js';
import type {DownMessage, UpMessage} from './messages.js';

/** Requests the document if it is newer than the version the daemon holds. */
export type DocumentRequest = {readonly heldVersion: number};

/** The newer document as an operator submitted it; empty if there is none. */
export type DocumentReply = {readonly version?: number; readonly text?: string};

/** A command for the leader to commit. */
export type SubmitRequest = {readonly version: number; readonly text: string};

/** The outcome of a command; without `outcome` it is unknown whether the command was accepted. */
export type SubmitReply = {readonly outcome?: string};

/** A request by a process to join the control group. */
export type JoinRequest = {readonly voterId: string; readonly address: string};

/** Whether the requester is a member, and the leader's address as far as the answering member knows it. */
export type JoinReply = {readonly isMember: boolean; readonly leaderAddress?: string};

/** An order for the engine on the agent's VM, or a query of its state. */
export type RankRequest<Order = unknown> = {readonly targetAddress: string} & (
	| {readonly kind: 'state' | 'counts' | 'experts'}
	| {readonly kind: 'order'; readonly order: Order}
);

/** The engine's answer; `answer` is absent if the engine did not answer. */
export type RankReply<Answer = unknown> = {readonly answer?: Answer};

/** The methods of the service. */
export const linkService = {
	follow: method<UpMessage, DownMessage>('Follow', true),
	document: method<DocumentRequest, DocumentReply>('Document', false),
	submit: method<SubmitRequest, SubmitReply>('Submit', false),
	join: method<JoinRequest, JoinReply>('Join', false),
	rank: method<RankRequest, RankReply>('Rank', false),
};

function method<Request, Reply>(name: string, isStream: boolean): MethodDefinition<Request, Reply> {
	return {
		path: `/rattanspring.FleetLink/${name}`,
		requestStream: isStream,
		responseStream: isStream,
		requestSerialize: serializeJson,
		requestDeserialize: parseJson as (bytes: Buffer) => Request,
		responseSerialize: serializeJson,
		responseDeserialize: parseJson as (bytes: Buffer) => Reply,
	};
}

function serializeJson(message: unknown): Buffer {
	return Buffer.from(JSON.stringify(message));
}

function parseJson(bytes: Buffer): unknown {
	return JSON.parse(bytes.toString());
}
