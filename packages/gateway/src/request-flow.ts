/** One request of a caller, from its head to the choice of a service: route, key and body. */

import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Buffer} from 'node:buffer';
import {
	type ClientAccount, selectWeightedService, type Route, type RouteTable,
} from '@rattanspring/desired-state';
import type {AllowedCall} from './allowed-call.js';
import type {CallFacts} from './call-dialect.js';
import {CallerAnswer} from './caller-answer.js';
import type {FlowContext} from './flow-context.js';
import {ForwardFlow} from './forward-flow.js';
import {readBody} from './read-body.js';

/** Pause told to callers while no desired state is known. */
const startingPauseMs = 1200;
const startingSpreadMs = 1400;

/** Serves one request. */
export async function serveRequest(context: FlowContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const arrivedAtMs = context.nowMs();
	const answer = new CallerAnswer(response, context.dialect);
	const table = context.table();
	if (!table) {
		answer.refuse('starting', startingPauseMs + (context.random() * startingSpreadMs));
		return;
	}

	const facts = context.dialect.readCall(request.headers);
	const found = allow(table, request, facts);
	if (typeof found === 'number') {
		context.logger.log('info', 'requestRejected', {requestId: facts.requestId, status: found, documentVersion: table.state.version});
		context.metrics.requests.inc({service: 'none', outcome: 'rejected'});
		answer.reject(found, rejections[found]);
		return;
	}

	const {route, account} = found;
	const deadlineAtMs = arrivedAtMs + Math.min(facts.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
	const body = await bodyInTime(request, table.state.limits.maxBodyBytes, deadlineAtMs - arrivedAtMs);
	if (body.kind === 'whole') {
		const path = request.url!;
		const call: AllowedCall = {
			facts, route, service: selectWeightedService(route.split, context.random()), account, method: request.method!, path, rawHeaders: request.rawHeaders, body: body.body,
			fingerprint: fingerprintOf(path, account?.name, body.body), arrivedAtMs, deadlineAtMs,
		};
		new ForwardFlow(context, answer, call).start(response);
		return;
	}

	if (body.kind === 'tooLarge') {
		response.shouldKeepAlive = false;
		answer.reject(413, rejections[413]);
	} else {
		answer.breakOff();
	}
}

const rejections: Readonly<Record<number, string>> = {
	400: 'malformedRequest', 401: 'unknownKey', 404: 'noRoute', 413: 'bodyTooLarge', 431: 'headTooLarge',
};

function allow(table: RouteTable, request: IncomingMessage, facts: CallFacts): {route: Route; account?: ClientAccount} | number {
	const {host} = request.headers;
	const path = request.url ?? '';
	if (host === undefined || !path.startsWith('/')) {
		return 400;
	}

	if (headBytes(request.rawHeaders) > table.state.limits.maxHeaderBytes) {
		return 431;
	}

	const route = table.findRoute(host.toLowerCase(), path.split('?', 1)[0]);
	if (!route) {
		return 404;
	}

	const account = facts.key === undefined ? undefined : table.findAccount(facts.key);
	if (table.requiresKeys && !route.isPublic && !account) {
		return 401;
	}

	return {route, account};
}

function headBytes(rawHeaders: readonly string[]): number {
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

async function bodyInTime(request: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<Awaited<ReturnType<typeof readBody>>> {
	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<{readonly kind: 'broken'}>(resolve => {
		timer = setTimeout(resolve, timeoutMs, {kind: 'broken'});
	});
	const result = await Promise.race([readBody(request, maxBytes), late]);
	clearTimeout(timer);
	return result;
}

function fingerprintOf(path: string, accountName: string | undefined, body: Buffer): string {
	return createHash('sha256').update(path).update('\0').update(accountName ?? '').update('\0').update(body).digest('base64url').slice(0, 22);
}
