/** The gRPC service of the link; messages are JSON. */

import {Buffer} from 'node:buffer';
import type {MethodDefinition} from '@grpc/grpc-js';
import type {DownMessage, UpMessage} from './messages.js';

/** The document that a daemon has, and asks to be brought up to date. */
export type DocumentRequest = {readonly heldVersion: number};

/** A newer document as it was sent by an operator; empty if there is none. */
export type DocumentReply = {readonly version?: number; readonly text?: string};

/** A command to be committed by the leader. */
export type SubmitRequest = {readonly version: number; readonly text: string};

/** What became of a command; without `outcome` it may or may not have been accepted. */
export type SubmitReply = {readonly outcome?: string};

/** A member that wants to join the control group. */
export type JoinRequest = {readonly voterId: string; readonly address: string};

/** Whether the leader took the request up, and who leads as far as the answering member knows. */
export type JoinReply = {readonly isMember: boolean; readonly leaderAddress?: string};

/** An order for the engine on the agent's VM, or a question to it. */
export type RankRequest<Order = unknown> = {readonly targetAddress: string} & (
	| {readonly kind: 'state' | 'counts' | 'experts'}
	| {readonly kind: 'order'; readonly order: Order}
);

/** What the engine answered; without `answer` there was none. */
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
		requestSerialize: toBytes,
		requestDeserialize: fromBytes as (bytes: Buffer) => Request,
		responseSerialize: toBytes,
		responseDeserialize: fromBytes as (bytes: Buffer) => Reply,
	};
}

function toBytes(message: unknown): Buffer {
	return Buffer.from(JSON.stringify(message));
}

function fromBytes(bytes: Buffer): unknown {
	return JSON.parse(bytes.toString());
}
