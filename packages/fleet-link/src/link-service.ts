/**
The gRPC service between daemons. Messages are encoded as JSON; some may have an attachment of bytes, for content that is much shorter in an encoding
of its own.
*/

import {Buffer} from 'node:buffer';
import type {MethodDefinition} from '@grpc/grpc-js';
import {readAccountUses} from '@rattanspring/account-shares';
import {readEvidenceRecords} from '@rattanspring/crash-evidence';
import {
	type DomainOrder, type DomainRegister, readDomainOrder, readDomainRegister,
} from '@rattanspring/domain-drain';
import {readAccusations} from '@rattanspring/outlier-ejection';
import {
	type PermitDecision, type PermitRequest, readColdWord, readPermitDecision, readTargetLimit,
} from '@rattanspring/target-limits';
import {isReadableHeartbeat, isReadableReport, type TargetLoad} from '@rattanspring/target-table';
import {fromLoadRow, toLoadRow} from './load-rows.js';
import type {DownMessage, UpMessage} from './messages.js';
import {messageValues} from './message-values.js';
import {isReadableCard} from './node-card.js';

/** Bytes that are sent along with a message, without any encoding. */
export type Attachment = {readonly attachment?: Uint8Array};

/** Requests the next part of the document if it is newer than the version the daemon holds. */
export type DocumentRequest = {
	readonly heldVersion: number;
	/** Digest of the text that the daemon holds. */
	readonly heldId?: string;
	/** The transfer in progress, and how many of its bytes have arrived. */
	readonly transfer?: {readonly id: string; readonly offset: number};
};

/** The version that the answering process holds (-1 if none), and a part of a newer document than the requester's, whose bytes are attached. */
export type DocumentReply = Attachment & {
	readonly version: number;
	readonly part?: {
		/** Digest of all bytes of the transfer, so that its parts may come from several processes. */
		readonly transferId: string;
		readonly transferVersion: number;
		/** If present, the transfer carries changes to the text with this digest, otherwise the whole text. */
		readonly baseId?: string;
		readonly totalBytes: number;
		readonly offset: number;
	};
};

/** A command for the leader to commit. */
export type SubmitRequest = {readonly version: number; readonly text: string};

/** The outcome of a command; without `outcome` it is unknown whether the command was accepted. */
export type SubmitReply = {readonly outcome?: string};

/** The leader's register of failure domains, confirmed by a quorum; absent if it was not confirmed or the answering process does not lead. */
export type ReadDomainsReply = {readonly register?: DomainRegister};

/** A request by a process to join the control group; without a voter ID it only asks for the leader. */
export type JoinRequest = {readonly voterId?: string; readonly address: string};

/** Whether the requester is a voter, and the leader's address as far as the answering process knows it. */
export type JoinReply = {
	readonly isMember: boolean;
	readonly leaderAddress?: string;
	/** Whether the answering process has no disk and therefore never joins the group. */
	readonly isDiskless?: boolean;
};

/** A request that an agent passes on to other agents. */
export type RelayedRequest<Order = unknown> = {readonly kind: 'state'} | {readonly kind: 'order'; readonly order: Order};

/** An agent to which a request is passed on, and the target on its VM. */
export type RelayChild = {readonly linkAddress: string; readonly targetAddress: string};

/** An order for the engine on the agent's VM, or a query of its state. */
export type RankRequest<Order = unknown> = Attachment & {readonly targetAddress: string} & (
	| {readonly kind: 'state' | 'experts'}
	/** `base` asks for an attachment instead of a list: the differences to the sample with this number, if the agent still has it. No sample has the number 0. */
	| {readonly kind: 'counts'; readonly base?: number}
	| {readonly kind: 'order'; readonly order: Order}
	/** The answer is a list: this agent's answer and those of the children, with `null` for one that is missing. */
	| {readonly kind: 'relay'; readonly request: RelayedRequest<Order>; readonly children: readonly RelayChild[]}
);

/** The engine's answer; `answer` is absent if the engine did not answer. */
export type RankReply<Answer = unknown> = Attachment & {readonly answer?: Answer};

/** Asks the authority of a suspected component whether a request with it may be sent as a trial. */
export type TrialRequest = {readonly component: string};
export type TrialReply = {readonly isGranted: boolean};

/** The methods of the service. */
export const linkService = {
	follow: {
		...method<UpMessage, DownMessage>('Follow', true),
		requestSerialize: serializeUp,
		requestDeserialize: parseUp,
		responseSerialize: serializeShared,
		responseDeserialize: parseDown,
	},
	document: {...method<DocumentRequest, DocumentReply>('Document', false), responseSerialize: serializeWithAttachment, responseDeserialize: parseDocumentReply},
	submit: method<SubmitRequest, SubmitReply>('Submit', false),
	readDomains: {...method<Readonly<Record<string, never>>, ReadDomainsReply>('ReadDomains', false), responseDeserialize: parseReadDomainsReply},
	orderDomain: {...method<DomainOrder, SubmitReply>('OrderDomain', false), requestDeserialize: (bytes: Buffer) => readDomainOrder(parseRequest(bytes))},
	join: method<JoinRequest, JoinReply>('Join', false),
	trial: {...method<TrialRequest, TrialReply>('Trial', false), requestDeserialize: parseTrialRequest},
	/** The request is checked where it is handled, so that a malformed one is logged. */
	permit: {...method<PermitRequest, PermitDecision>('Permit', false), responseDeserialize: (bytes: Buffer) => readPermitDecision(parseJson(bytes))},
	rank: rankMethod(),
};

function method<Request, Reply>(name: string, isStream: boolean): MethodDefinition<Request, Reply> {
	return {
		path: `/rattanspring.FleetLink/${name}`,
		requestStream: isStream,
		responseStream: isStream,
		requestSerialize: serializeJson,
		requestDeserialize: parseRequest as (bytes: Buffer) => Request,
		responseSerialize: serializeJson,
		responseDeserialize: parseJson as (bytes: Buffer) => Reply,
	};
}

function rankMethod(): MethodDefinition<RankRequest, RankReply> {
	return {
		...method<RankRequest, RankReply>('Rank', false),
		requestSerialize: serializeWithAttachment,
		requestDeserialize: parseRankRequest,
		responseSerialize: serializeWithAttachment,
		responseDeserialize: parseWithAttachment,
	};
}

function serializeJson(message: unknown): Buffer {
	return Buffer.from(JSON.stringify(message));
}

/** The encoding of messages that go to many followers. */
const sharedEncodings = new WeakMap<object, Buffer>();

/** Encodes a message at most once, however many followers it goes to. */
export function serializeShared(message: DownMessage): Buffer {
	const known = sharedEncodings.get(message);
	if (known) {
		return known;
	}

	const bytes = serializeJson(message.type === 'loads' ? {type: 'loads', rows: message.loads.map(load => toLoadRow(load))} : message);
	sharedEncodings.set(message, bytes);
	return bytes;
}

/** Throws if the bytes are not a message; the library then ends the stream. */
function parseDown(bytes: Buffer): DownMessage {
	const message = withCheckedLists(parseObject(bytes) as DownMessage & {readonly rows?: unknown});
	return message.type === 'loads' ? {type: 'loads', loads: rowsOf(message.rows).flatMap(row => readableLoad(row))} : message;
}

function serializeUp(message: UpMessage): Buffer {
	return serializeJson(message.type === 'load' ? {type: 'load', row: toLoadRow(message.load)} : message);
}

/** Throws if the bytes are not a message; the library then ends the stream. */
function parseUp(bytes: Buffer): UpMessage {
	messageValues.check(bytes);
	const message = withCheckedLists(parseObject(bytes) as UpMessage & {readonly row?: unknown});
	return message.type === 'load' ? {type: 'load', load: fromLoadRow(message.row)} : message;
}

/** Messages whose lists daemons merge are checked before, so that a malformed one ends its stream and does no harm. */
function withCheckedLists<Message extends UpMessage | DownMessage>(message: Message): Message {
	if (message.type === 'evidence') {
		return {...message, records: readEvidenceRecords(message.records)};
	}

	if (message.type === 'use' || message.type === 'useTotals') {
		return {...message, uses: readAccountUses(message.uses)};
	}

	if (message.type === 'accusations') {
		return {...message, accusations: readAccusations(message.accusations)};
	}

	if (message.type === 'domains') {
		return {...message, register: readDomainRegister(message.register)};
	}

	if (message.type === 'nodes' || message.type === 'nodesChanged') {
		return {...message, cards: message.cards.filter(card => isReadableCard(card))};
	}

	// What targets say reaches every daemon, so that a report out of bounds is left out and the others hold.
	if (message.type === 'targets') {
		return {...message, reports: message.reports.filter(report => isReadableReport(report))};
	}

	if (message.type === 'heartbeats') {
		return {...message, targets: message.targets.filter(target => isReadableHeartbeat(target))};
	}

	return message.type === 'limits'
		? {...message, limits: message.limits.map(limit => readTargetLimit(limit)), ...(message.cold && {cold: message.cold.map(word => readColdWord(word))})}
		: message;
}

function parseReadDomainsReply(bytes: Buffer): ReadDomainsReply {
	const {register} = parseObject(bytes) as ReadDomainsReply;
	return register === undefined ? {} : {register: readDomainRegister(register)};
}

function parseTrialRequest(bytes: Buffer): TrialRequest {
	messageValues.check(bytes);
	const {component} = parseObject(bytes) as Partial<TrialRequest>;
	if (typeof component !== 'string') {
		throw new TypeError('The request names no component.');
	}

	return {component};
}

/** The figures of a row; none if they are not those of a target. */
function readableLoad(row: unknown): TargetLoad[] {
	try {
		return [fromLoadRow(row)];
	} catch {
		return [];
	}
}

function rowsOf(value: unknown): unknown[] {
	if (!Array.isArray(value)) {
		throw new TypeError('The message has no load figures.');
	}

	return value;
}

/** A request may come from anybody who reaches the port. */
function parseRequest(bytes: Buffer): unknown {
	messageValues.check(bytes);
	return parseJson(bytes);
}

function parseJson(bytes: Buffer): unknown {
	return JSON.parse(bytes.toString());
}

/** First byte of a message with an attachment, which no JSON text begins with. The length of the JSON text follows in four bytes, then the text, then the attachment. */
const attachmentMarker = 1;
const attachmentHeadBytes = 5;

function serializeWithAttachment({attachment, ...message}: Attachment): Buffer {
	const text = serializeJson(message);
	if (!attachment) {
		return text;
	}

	const head = Buffer.alloc(attachmentHeadBytes);
	head.writeUInt8(attachmentMarker, 0);
	head.writeUInt32BE(text.length, 1);
	return Buffer.concat([head, text, attachment]);
}

/** Throws if the bytes are not a message; the library then fails the call. */
function parseWithAttachment(bytes: Buffer): Attachment {
	const text = textOf(bytes);
	return text === bytes ? parseObject(bytes) : {...parseObject(text), attachment: bytes.subarray(attachmentHeadBytes + text.byteLength)};
}

/** The JSON text of a message, without its attachment. */
function textOf(bytes: Buffer): Buffer {
	if (bytes[0] !== attachmentMarker) {
		return bytes;
	}

	const textEnd = attachmentHeadBytes + bytes.readUInt32BE(1);
	if (textEnd > bytes.length) {
		throw new RangeError('The message is shorter than its head says.');
	}

	return bytes.subarray(attachmentHeadBytes, textEnd);
}

function parseObject(bytes: Buffer): object {
	const message = parseJson(bytes);
	if (typeof message !== 'object' || message === null) {
		throw new TypeError('The message is not an object.');
	}

	return message;
}

function parseDocumentReply(bytes: Buffer): DocumentReply {
	const reply = parseWithAttachment(bytes) as Partial<DocumentReply>;
	if (typeof reply.version !== 'number') {
		throw new TypeError('The reply has no version.');
	}

	return reply as DocumentReply;
}

const rankRequestKinds: ReadonlySet<unknown> = new Set<RankRequest['kind']>(['state', 'counts', 'experts', 'order', 'relay']);

function parseRankRequest(bytes: Buffer): RankRequest {
	messageValues.check(textOf(bytes));
	const request = parseWithAttachment(bytes) as Partial<RankRequest>;
	if (typeof request.targetAddress !== 'string' || !rankRequestKinds.has(request.kind)) {
		throw new TypeError('The request names no target, or is of an unknown kind.');
	}

	if (request.kind === 'relay' && !isRelay(request)) {
		throw new TypeError('The request to pass on, or the list of those that it is for, is incomplete.');
	}

	return request as RankRequest;
}

/** Requests to pass on are not nested. */
function isRelay({request, children}: {readonly request?: Partial<RelayedRequest>; readonly children?: unknown}): boolean {
	const isKnown = request?.kind === 'state' || request?.kind === 'order';
	return isKnown && Array.isArray(children) && children.every((child: Partial<RelayChild> | null) => typeof child?.linkAddress === 'string' && typeof child.targetAddress === 'string');
}
