/** Conversion of orders and rank replies to and from wire messages. Received messages are validated before use. */

import {decode, encode} from '@msgpack/msgpack';
import type {
	ExpertMap, Order, OrderBody, RankReply, RankStatus,
} from '@rattanspring/expert-map';
import {ordersProtocol} from '@rattanspring/protocol';
import * as z from 'zod';

const count = z.int().min(0);
const replica = z.object({expert: count, rank: count, share: z.number().min(0).max(1 + Number.EPSILON)});
const map = z.object({groupId: z.string(), version: count, layers: z.array(z.object({replicas: z.array(replica)}))});

const body = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('poll')}),
	z.object({kind: z.literal('form'), formation: count, map}),
	z.object({kind: z.literal('prepare'), formation: count, map}),
	z.object({
		kind: z.literal('arm'), formation: count, version: count, atStep: count,
	}),
	z.object({
		kind: z.literal('activate'), formation: count, version: count, atStep: count,
	}),
	z.object({kind: z.literal('abort'), formation: count, version: count}),
	z.object({
		kind: z.literal('engine'), orderNumber: count, action: z.enum(['loadModel', 'unloadModel', 'loadAdapter', 'loadVersion', 'setRole']), name: z.string().min(1),
	}),
]);

const pending = z.object({version: count, phase: z.enum(['loading', 'prepared', 'failed', 'armed']), atStep: count.optional()});
const status = z.object({
	formation: count, isReady: z.boolean(), version: count, fromStep: count, pending: pending.optional(), begunStep: z.int().min(-1), engineOrderNumber: count,
});

const encodeOptions = {ignoreUndefined: true};

/** Converts an order to a wire message. */
export function orderToMessage(order: Order): ordersProtocol.GiveOrderRequest {
	return ordersProtocol.GiveOrderRequest.create({...order, body: encode(order.body, encodeOptions)});
}

/** Converts a wire message to an order. Returns undefined if the message is malformed. */
export function orderFromMessage(message: ordersProtocol.GiveOrderRequest): Order | undefined {
	const {groupId, rank, fencing, rankIncarnation} = message;
	const parsed = parseMessagePack<OrderBody>(body, message.body);
	return parsed && {
		groupId, rank, fencing, rankIncarnation, body: parsed,
	};
}

/** Converts a rank's reply to a wire message. */
export function replyToMessage(reply: RankReply): ordersProtocol.RankReport {
	return ordersProtocol.RankReport.create({...reply, status: encode(reply.status, encodeOptions), maps: encode(reply.maps)});
}

/** Converts a wire message to a rank's reply. Returns undefined if the message is malformed. */
export function replyFromMessage(message: ordersProtocol.RankReport): RankReply | undefined {
	const parsedStatus = parseMessagePack<RankStatus>(status, message.status);
	const maps = parseMessagePack<ExpertMap[]>(z.array(map), message.maps);
	return parsedStatus && maps && {...message, status: parsedStatus, maps};
}

function parseMessagePack<Value>(schema: z.ZodType<Value>, bytes: Uint8Array): Value | undefined {
	try {
		const parsed = schema.safeParse(decode(bytes));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
