/** Handles a caller's request up to the choice of a service: matches the route, checks the key and reads the body. */

import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Buffer} from 'node:buffer';
import {dropRest} from '@rattanspring/byte-collector';
import {
	type ClientAccount, selectWeightedService, type Route, type RouteTable,
} from '@rattanspring/desired-state';
import {isHeaderName, isRequestTarget} from '@rattanspring/types';
import {CallerResponse} from './caller-response.js';
import type {GatewayContext} from './gateway-context.js';
import type {RequestMetadata} from './header-codec.js';
import {type BodyOptions, type BodyResult, readBody} from './read-body.js';
import {RequestForwarder} from './request-forwarder.js';
import {stoppingRetryAfterMs} from './planned-stop.js';
import type {RoutedRequest} from './routed-request.js';

/** `Retry-After` while no desired state is known: a fixed part from the arrival of the request, the least that is left of it after the wait, and a random part. */
const startingRetryAfterMs = 1200;
const minStartingRetryAfterMs = 100;
const startingRetryJitterMs = 1400;

/** `Retry-After` while the bodies of requests leave no memory for another one: a fixed part and a random part. */
const noMemoryRetryAfterMs = 300;
const noMemoryRetryJitterMs = 700;

/** `Retry-After` while a newer desired state is being fetched: a fixed part and a random part. */
const outdatedRetryAfterMs = 300;
const outdatedRetryJitterMs = 300;

/** Rejects the request, or forwards it to a target. */
export async function serveRequest(context: GatewayContext, request: IncomingMessage, response: ServerResponse, connectionRequest = 1): Promise<void> {
	const arrivedAtMs = context.nowMs();
	const answer = new CallerResponse(response, context.headerCodec);
	const metadata = context.headerCodec.readRequest(request.headers);
	context.stallWatch.touch();
	if (context.stallWatch.isSettling) {
		await context.stallWatch.pendingReads();
	}

	const table = context.table() ?? (context.plannedStop.isBegun ? undefined : await context.tableWait.wait(metadata.timeLeftMs));
	if (answer.hasCallerLeft) {
		logUnsent(context, metadata);
		return;
	}

	if (!table) {
		dropUnread(context, request);
		const refuse = context.plannedStop.isBegun ? refuseWhileStopping : refuseWhileStarting;
		refuse(context, metadata, {answer, arrivedAtMs});
		return;
	}

	const match = matchRoute(table, request, metadata);
	if (typeof match === 'number') {
		dropUnread(context, request);
		rejectRequest(context, table, metadata, {answer, status: match});
		return;
	}

	const {route, account} = match;
	const deadlineAtMs = arrivedAtMs + Math.min(metadata.timeLeftMs ?? route.timeoutMs, route.timeoutMs);
	if (!context.plannedStop.mayTakeOn({nowMs: context.nowMs(), deadlineAtMs})) {
		dropUnread(context, request);
		refuseWhileStopping(context, metadata, {answer, arrivedAtMs});
		return;
	}

	const held = context.requestMemory.open(headerBytes(request.rawHeaders));
	response.on('close', () => {
		held.release();
	});
	const body = await readBodyBeforeDeadline(request, {
		maxBytes: table.state.limits.maxBodyBytes, held, timeoutMs: deadlineAtMs - arrivedAtMs, onDropExceeded: dropExceeded(context, request),
	});
	if (body.kind === 'whole' && !context.plannedStop.mayTakeOn({nowMs: context.nowMs(), deadlineAtMs})) {
		refuseWhileStopping(context, metadata, {answer, arrivedAtMs});
		return;
	}

	if (body.kind === 'whole') {
		const path = request.url!;
		const service = selectWeightedService(route.split, context.random());
		const routedRequest: RoutedRequest = {
			metadata, route, service, engine: table.engineOf(service), account, method: request.method!, path, rawHeaders: request.rawHeaders, body: body.body,
			components: componentsOf(fingerprintOf(path, account?.name, body.body), metadata), arrivedAtMs, deadlineAtMs, connectionRequest,
		};
		new RequestForwarder(context, answer, routedRequest).start(response);
		return;
	}

	if (body.kind === 'noMemory') {
		refuseForMemory(context, metadata, answer);
	} else if (body.kind === 'tooLarge') {
		response.shouldKeepAlive = false;
		rejectRequest(context, table, metadata, {answer, status: 413});
	} else {
		answer.closeConnection();
	}
}

/** Reads and drops the body of a request that is answered without it. */
function dropUnread(context: GatewayContext, request: IncomingMessage): void {
	if (!request.complete) {
		dropRest(request, {onExceeded: dropExceeded(context, request)});
	}
}

/** Logs that a caller has sent too much behind a refusal, so that its connection was closed. */
function dropExceeded({logger, metrics}: GatewayContext, {headers}: IncomingMessage): () => void {
	return () => {
		metrics.limitsMet.inc({limit: 'droppedBytes'});
		logger.log('warn', 'callersLimited', {reason: 'droppedBytes', statedLength: headers['content-length']});
	};
}

/** Logs that a caller had left before its request could be routed. */
function logUnsent({logger, metrics}: GatewayContext, {requestId}: RequestMetadata): void {
	logger.log('info', 'requestEnded', {requestId, outcome: 'callerLeft', sent: 0});
	metrics.requests.inc({service: 'none', outcome: 'callerLeft'});
}

/** The caller may go to another entry at once. */
function refuseWhileStopping({logger, metrics, nowMs, plannedStop}: GatewayContext, {requestId}: RequestMetadata, {answer, arrivedAtMs}: {answer: CallerResponse; arrivedAtMs: number}): void {
	logger.log('info', 'requestRefused', {
		requestId, status: 503, reason: 'stopping', sinceStopMs: Math.round(plannedStop.sinceBegunMs(nowMs()) ?? 0), waitedMs: Math.round(nowMs() - arrivedAtMs),
	});
	metrics.requests.inc({service: 'none', outcome: 'refused'});
	answer.refuse('stopping', stoppingRetryAfterMs);
}

/** The bodies of other requests hold the memory that there is for bodies. */
function refuseForMemory({logger, metrics, random, requestMemory}: GatewayContext, {requestId}: RequestMetadata, answer: CallerResponse): void {
	const retryAfterMs = noMemoryRetryAfterMs + (random() * noMemoryRetryJitterMs);
	logger.log('warn', 'requestRefused', {
		requestId, status: 503, reason: 'noMemory', heldBytes: requestMemory.usedBytes, retryAfterMs: Math.round(retryAfterMs),
	});
	metrics.requests.inc({service: 'none', outcome: 'refused'});
	answer.refuse('noMemory', retryAfterMs);
}

function refuseWhileStarting({logger, metrics, random, nowMs}: GatewayContext, {requestId}: RequestMetadata, {answer, arrivedAtMs}: {answer: CallerResponse; arrivedAtMs: number}): void {
	const waitedMs = nowMs() - arrivedAtMs;
	const retryAfterMs = Math.max(minStartingRetryAfterMs, startingRetryAfterMs - waitedMs) + (random() * startingRetryJitterMs);
	logger.log('info', 'requestRefused', {
		requestId, status: 503, reason: 'starting', retryAfterMs: Math.round(retryAfterMs),
	});
	metrics.requests.inc({service: 'none', outcome: 'refused'});
	answer.refuse('starting', retryAfterMs);
}

/** A caller does not repeat a rejected request, so a request is refused for now instead if a newer desired state may allow it. */
function rejectRequest({logger, metrics, newestVersion, random}: GatewayContext, table: RouteTable, {requestId}: RequestMetadata, {answer, status}: {answer: CallerResponse; status: number}): void {
	const isOutdated = status !== 400 && newestVersion() > table.state.version;
	logger.log('info', isOutdated ? 'requestRefused' : 'requestRejected', {
		requestId, status: isOutdated ? 503 : status, reason: rejections[status], documentVersion: table.state.version, newestVersion: newestVersion(),
	});
	metrics.requests.inc({service: 'none', outcome: isOutdated ? 'refused' : 'rejected'});
	if (isOutdated) {
		answer.refuse('documentOutdated', outdatedRetryAfterMs + (random() * outdatedRetryJitterMs));
	} else {
		answer.reject(status, rejections[status]);
	}
}

const rejections: Readonly<Record<number, string>> = {
	400: 'malformedRequest', 401: 'unknownKey', 404: 'noRoute', 413: 'bodyTooLarge', 431: 'headTooLarge',
};

function matchRoute(table: RouteTable, request: IncomingMessage, metadata: RequestMetadata): {route: Route; account?: ClientAccount} | number {
	const {host} = request.headers;
	const path = request.url ?? '';
	if (host === undefined || !isRequestTarget(path) || !areNamesValid(request.rawHeaders) || countHosts(request.rawHeaders) > 1) {
		return 400;
	}

	if (headerBytes(request.rawHeaders) > table.state.limits.maxHeaderBytes) {
		return 431;
	}

	const route = table.findRoute(host.toLowerCase(), path.split('?', 1)[0]);
	if (!route) {
		return 404;
	}

	const account = metadata.key === undefined ? undefined : table.findAccount(metadata.key);
	if (table.requiresKeys && !route.isPublic && !account) {
		return 401;
	}

	return {route, account};
}

/** Whether the names of header fields are valid: some releases of Node.js 20 pass on names that end with a space, which others read differently. */
function areNamesValid(rawHeaders: readonly string[]): boolean {
	return rawHeaders.every((text, index) => index % 2 === 1 || isHeaderName(text));
}

/** Number of `Host` fields: with more than one, others may read another host than this entry (RFC 9112, 3.2). */
function countHosts(rawHeaders: readonly string[]): number {
	return rawHeaders.filter((text, index) => index % 2 === 0 && text.toLowerCase() === 'host').length;
}

function headerBytes(rawHeaders: readonly string[]): number {
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Options of reading a body, and the time left for it. */
type BodyLimits = BodyOptions & {readonly timeoutMs: number};

async function readBodyBeforeDeadline(request: IncomingMessage, {timeoutMs, ...options}: BodyLimits): Promise<BodyResult> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<{readonly kind: 'broken'}>(resolve => {
		timer = setTimeout(resolve, timeoutMs, {kind: 'broken'});
	});
	const result = await Promise.race([readBody(request, options), timeout]);
	clearTimeout(timer);
	return result;
}

function componentsOf(fingerprint: string, {sharedParts = []}: RequestMetadata): string[] {
	return [`request:${fingerprint}`, ...sharedParts.map(id => `part:${id}`)];
}

function fingerprintOf(path: string, accountName: string | undefined, body: Buffer): string {
	return createHash('sha256').update(path).update('\0').update(accountName ?? '').update('\0').update(body).digest('base64url').slice(0, 22);
}
