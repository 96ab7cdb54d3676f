/** Orders and replies of ranks on the wire. What arrives is checked before a core sees it. */

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

/** Converts an order to its message. */
export function orderToMessage(order: Order): ordersProtocol.GiveOrderRequest {
	return ordersProtocol.GiveOrderRequest.create({...order, body: encode(order.body, encodeOptions)});
}

/** Converts a message to an order; undefined if it is not well-formed. */
export function orderFromMessage(message: ordersProtocol.GiveOrderRequest): Order | undefined {
	const {groupId, rank, fencing, rankIncarnation} = message;
	const parsed = parsePacked<OrderBody>(body, message.body);
	return parsed && {
		groupId, rank, fencing, rankIncarnation, body: parsed,
	};
}

/** Converts a reply to its message. */
export function replyToMessage(reply: RankReply): ordersProtocol.RankReport {
	return ordersProtocol.RankReport.create({...reply, status: encode(reply.status, encodeOptions), maps: encode(reply.maps)});
}

/** Converts a message to a reply; undefined if it is not well-formed. */
export function replyFromMessage(message: ordersProtocol.RankReport): RankReply | undefined {
	const parsedStatus = parsePacked<RankStatus>(status, message.status);
	const maps = parsePacked<ExpertMap[]>(z.array(map), message.maps);
	return parsedStatus && maps && {...message, status: parsedStatus, maps};
}

function parsePacked<Value>(schema: z.ZodType<Value>, bytes: Uint8Array): Value | undefined {
	try {
		const parsed = schema.safeParse(decode(bytes));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
