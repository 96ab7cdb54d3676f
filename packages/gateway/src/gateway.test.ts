import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ByteBudget, RequestMemory} from '@rattanspring/byte-collector';
import {type DesiredState, type Route, RouteTable} from '@rattanspring/desired-state';
import {SilentLogger} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import {
	AdmissionQueue, RetryBudget, StreamSilence, TargetSelector,
} from '@rattanspring/placement';
import {ConnectionPool, type ResponseHead} from '@rattanspring/target-connection';
import type {TargetReport} from '@rattanspring/target-table';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {AccountUsage} from './account-usage.js';
import type {BrokenRequest} from './crash-detector.js';
import {CrashWatch} from './crash-watch.js';
import {FirstAttemptEstimator} from './first-attempt-estimator.js';
import type {GatewayContext} from './gateway-context.js';
import {PlannedStop} from './planned-stop.js';
import {StallWatch} from './stall-watch.js';
import {TargetOutcomes} from './target-outcomes.js';
import {UnsentBudget} from './unsent-budget.js';
import {rejectRevoked} from './key-revocation.js';
import {serveRequest} from './request-flow.js';
import {TableWait} from './table-wait.js';
import {
	CallerServer, type ForwardingMetadata, HeaderCodec, type RequestMetadata, type ResponseMetadata,
} from './index.js';

/** Header names used by this test. */
class TestHeaderCodec extends HeaderCodec {
	readRequest(headers: http.IncomingHttpHeaders): RequestMetadata {
		return {
			requestId: headers['x-id'] as string, key: headers['x-key'] as string, lastEventId: headers['last-event-id'] as string, ...(headers['x-time-left'] && {timeLeftMs: Number(headers['x-time-left'])}), ...(headers['x-parts'] && {sharedParts: String(headers['x-parts']).split(',')}),
		};
	}

	targetHeaders(rawHeaders: readonly string[], metadata: ForwardingMetadata): string[] {
		const kept = rawHeaders.flatMap((name, index) => index % 2 === 0 && !/^(x-key|content-length|connection|transfer-encoding|last-event-id)$/i.test(name) ? [name, rawHeaders[index + 1]] : []);
		return [...kept, 'x-target', metadata.targetId, 'x-account', metadata.accountName ?? '', ...(metadata.lastEventId === undefined ? [] : ['last-event-id', metadata.lastEventId])];
	}

	readResponse({headers}: ResponseHead): ResponseMetadata {
		return {
			requestId: headers.get('x-id'), isNotExecuted: headers.has('x-not-run'), isSigned: headers.has('x-signed'), isLeaving: headers.has('x-leaving'), ...(headers.has('x-pause') && {pause: Number(headers.get('x-pause'))}),
		};
	}

	callerHeaders({rawHeaders}: ResponseHead): string[] {
		return rawHeaders.filter(([name]) => name.startsWith('x-')).flat();
	}

	refusalHeaders(retryAfterMs: number): Record<string, string> {
		return {'retry-after': String(retryAfterMs / 1000)};
	}
}

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A target whose responses the test defines. */
class Target {
	receivedRequests: Array<{readonly headers: http.IncomingHttpHeaders; readonly body: string}> = [];
	cancelledCount = 0;
	readonly #server = http.createServer((request, response) => {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		response.on('close', () => {
			this.cancelledCount += response.writableFinished ? 0 : 1;
		});
		request.on('end', () => {
			const body = Buffer.concat(chunks).toString();
			this.receivedRequests.push({headers: request.headers, body});
			this.handler(request, response, body);
		});
	});

	handler: Handler = (request, response) => {
		answer(request, response, 200, 'done');
	};

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

function answer(request: IncomingMessage, response: ServerResponse, status: number, body: string, headers: Record<string, string> = {}): void {
	response.writeHead(status, {
		'x-id': request.headers['x-id'], 'x-signed': 'yes', 'content-length': Buffer.byteLength(body), ...headers,
	});
	response.end(body);
}

const base: Route = {
	name: 'plain', host: 'a.example', pathPrefix: '/plain/', kind: 'nonIdempotent', timeoutMs: 600, objectiveMs: 200, priority: 1, split: [{service: 's', weight: 1}], maxAttempts: 2, isPublic: false, isResumable: false,
};

const state: DesiredState = {
	version: 1,
	routes: [base, {
		...base, name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent',
	}, {
		...base, name: 'draft', pathPrefix: '/draft/', kind: 'streaming', isResumable: true, timeoutMs: 3000,
	}],
	services: [{name: 's', healthPath: '/healthz', maxConnections: 10}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
	clientAccounts: [{name: 'nadi', keys: ['secret']}],
};

/** Keeps the process from doing anything, as a frozen VM does. */
function holdUp(forMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}

describe('an entry', () => {
	const targets = [new Target(), new Target()];
	const crashes: BrokenRequest[] = [];

	class RecordingWatch extends CrashWatch {
		override async onConnectionBroken(request: BrokenRequest, address: string): Promise<boolean> {
			crashes.push(request);
			return super.onConnectionBroken(request, address);
		}
	}

	const leaving: string[] = [];
	let server: CallerServer;
	let port: number;
	let table: RouteTable | undefined;
	let tableWait: TableWait;
	let newestVersion: number;
	let context: GatewayContext;
	let isTrialGranted: boolean;
	let areTargetsCrashing: boolean;

	before(async () => {
		await Promise.all(targets.map(async target => target.start()));
		[port] = await freePorts(1);
		server = new CallerServer({
			host: '127.0.0.1', port, onRequest(request, response) {
				void serveRequest(context, request, response);
			},
		});
		await server.start();
		server.setLimits(state.limits);
		setUp();
	});
	afterEach(async () => {
		await sleep(40);
		setUp();
	});
	after(() => {
		server.close();
		context.exchange.close();
		for (const target of targets) {
			target.stop();
		}
	});

	function setUp(): void {
		context?.exchange.close();
		table = new RouteTable(state);
		tableWait = new TableWait(() => table);
		newestVersion = state.version;
		crashes.length = 0;
		leaving.length = 0;
		for (const target of targets) {
			target.receivedRequests = [];
			target.cancelledCount = 0;
			target.handler = (request, response) => {
				answer(request, response, 200, 'done');
			};
		}

		const selector = new TargetSelector({failureDomain: 'a'});
		selector.setTargets(targets.map((target, index): TargetReport => ({
			targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `127.0.0.1:${target.port}`, failureDomain: 'a', slots: 4, state: 'ready', coldLeftMs: 0,
		})), 0);
		isTrialGranted = false;
		areTargetsCrashing = false;
		context = {
			headerCodec: new TestHeaderCodec(),
			exchange: new ConnectionPool(),
			selector,
			admission: new AdmissionQueue({
				selector, random: Math.random, onWaiting: () => undefined,
			}),
			retryBudget: new RetryBudget({ratio: 0.2, slack: 100, windowMs: 10_000}),
			streamSilence: new StreamSilence(),
			crashWatch: new RecordingWatch({
				isReachable: async () => !areTargetsCrashing,
				probeDelayMs: 1,
				onNewEvidence: () => undefined,
				requestTrial: async () => isTrialGranted,
				random: Math.random,
				nowMs: () => performance.now(),
				logger: new SilentLogger(),
				metrics: new DaemonMetrics(),
			}),
			responseBytes: new ByteBudget(50_000_000),
			requestMemory: new RequestMemory({budget: new ByteBudget(50_000_000), nowMs: () => performance.now(), onStopped: () => undefined}),
			unsentBytes: new UnsentBudget({maxBytes: 50_000_000, nowMs: () => performance.now()}),
			firstAttempts: new FirstAttemptEstimator(),
			logger: new SilentLogger(),
			metrics: new DaemonMetrics(),
			accountUsage: new AccountUsage({failureDomain: 'a', metrics: new DaemonMetrics(), nowMs: () => performance.now()}),
			nowMs: () => performance.now(),
			random: Math.random,
			table: () => table,
			tableWait,
			newestVersion: () => newestVersion,
			entryCount: () => 1,
			onTargetLimit: limit => selector.setLimit(limit),
			onTargetCold: () => undefined,
			stallWatch: new StallWatch(() => performance.now()),
			outcomes: new TargetOutcomes({
				nodeId: 'e1', onAccusation: () => undefined, logger: new SilentLogger(), metrics: new DaemonMetrics(), nowMs: () => performance.now(),
			}),
			permitRequests: {ask: () => undefined},
			plannedStop: new PlannedStop(),
			onTargetLeaving({targetId}) {
				leaving.push(targetId);
				return true;
			},
		};
	}

	function setHandlers(handler: Handler): void {
		for (const target of targets) {
			target.handler = handler;
		}
	}

	const sent = () => targets.reduce((sum, target) => sum + target.receivedRequests.length, 0);

	type CallResult = {readonly status: number; readonly body: string; readonly headers: http.IncomingHttpHeaders; readonly isWhole: boolean};

	async function call(path: string, headers: Record<string, string> = {}, body = 'order'): Promise<CallResult> {
		return new Promise((resolve, reject) => {
			const request = http.request({
				port, path, method: 'POST', agent: false, headers: {
					host: 'a.example', 'x-id': 'r1', 'x-key': 'secret', ...headers,
				},
			}, response => {
				let text = '';
				response.on('data', (chunk: Buffer) => {
					text += chunk.toString();
				});
				response.on('close', () => {
					resolve({
						status: response.statusCode!, body: text, headers: response.headers, isWhole: response.complete,
					});
				});
			});
			request.on('error', reject);
			request.end(body);
		});
	}

	async function statusOf(path: string, headers: Record<string, string> = {}, body = 'order'): Promise<number> {
		const result = await call(path, headers, body);
		return result.status;
	}

	async function raw(bytes: string): Promise<string> {
		return new Promise(resolve => {
			const socket = net.connect(port, '127.0.0.1');
			socket.write(bytes);
			let text = '';
			socket.on('data', (chunk: Buffer) => {
				text += chunk.toString();
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve(text);
			});
			setTimeout(() => {
				socket.destroy();
			}, 1500);
		});
	}

	describe('with targets that say something of themselves', () => {
		it('reports a leaving target from any answer, and answers the caller as usual', async () => {
			setHandlers((request, response) => {
				response.setHeader('x-leaving', '1');
				answer(request, response, 200, 'done');
			});
			expect(await statusOf('/plain/x')).toEqual(200);
			setHandlers((request, response) => {
				response.setHeader('x-leaving', '1');
				answer(request, response, 500, 'sorry');
			});
			expect(await statusOf('/plain/x')).toEqual(500);
			expect(leaving.length >= 2).toEqual(true);
		});

		it('sends nothing more to targets that ask for a pause, and tells callers at once when to come back', async () => {
			setHandlers((request, response) => {
				response.setHeader('x-not-run', '1');
				response.setHeader('x-pause', '1500');
				answer(request, response, 503, 'busy');
			});
			await call('/plain/x');
			await call('/plain/x');
			await call('/plain/x');
			const sentBefore = sent();
			expect(sentBefore).toEqual(targets.length);
			const startedAtMs = performance.now();
			const refused = await call('/plain/x');
			expect(performance.now() - startedAtMs).toBeLessThan(100);
			expect([refused.status, sent()]).toEqual([503, sentBefore]);
			const retryAfterMs = Number(refused.headers['retry-after']) * 1000;
			expect(retryAfterMs > 1000 && retryAfterMs < 2200).toEqual(true);
			setHandlers((request, response) => {
				answer(request, response, 200, 'done');
			});
			await sleep(1550);
			expect(await statusOf('/plain/x')).toEqual(200);
		});
	});

	describe('with a healthy target', () => {
		it('forwards the response unchanged, and sends the target the account but not the key', async () => {
			const result = await call('/plain/x');
			expect([result.status, result.body]).toEqual([200, 'done']);
			const [{headers, body}] = [...targets[0].receivedRequests, ...targets[1].receivedRequests];
			expect(headers['x-account']).toEqual('nadi');
			expect(headers['x-key']).toEqual(undefined);
			expect(body).toEqual('order');
		});

		it('forwards a failure response to a request that may not be repeated', async () => {
			setHandlers((request, response) => {
				answer(request, response, 500, 'sorry');
			});
			const result = await call('/plain/x');
			expect([result.status, result.body, result.headers['x-signed']]).toEqual([500, 'sorry', 'yes']);
			expect(sent()).toEqual(1);
		});
	});

	describe('that has just started and has no desired state yet', () => {
		beforeEach(() => {
			table = undefined;
		});

		function learnTable(): void {
			table = new RouteTable(state);
			tableWait.release();
		}

		it('serves a request once it has one, in the time that the caller waits for', async () => {
			const results = Promise.all([call('/plain/x'), call('/plain/x'), call('/other/x')]);
			await sleep(300);
			expect(sent()).toEqual(0);
			learnTable();
			const answered = await results;
			expect(answered.map(({status}) => status)).toEqual([200, 200, 404]);
			expect(sent()).toEqual(2);
		});

		it('refuses the request before its caller leaves, with a time to come back', async () => {
			const startedAtMs = performance.now();
			const {status, headers} = await call('/plain/x');
			expect([status, headers['retry-after'] !== undefined]).toEqual([503, true]);
			// Callers give up on a stream that is silent for two seconds.
			expect(performance.now() - startedAtMs).toBeLessThan(1900);
			learnTable();
			await sleep(50);
			expect(sent()).toEqual(0);
		});

		it('sends nothing for a caller that has left meanwhile', async () => {
			const request = http.request({
				port, path: '/plain/x', method: 'POST', agent: false, headers: {host: 'a.example', 'x-id': 'r1', 'x-key': 'secret'},
			});
			request.on('error', () => undefined);
			request.end('order');
			await sleep(100);
			request.destroy();
			await sleep(100);
			learnTable();
			await sleep(100);
			expect(sent()).toEqual(0);
		});
	});

	describe('with requests that are malformed or not allowed', () => {
		it('responds with 503 before it has a desired state, 404 without a route, 401 without a known key', async () => {
			table = undefined;
			expect(await statusOf('/plain/x')).toEqual(503);
			table = new RouteTable(state);
			expect(await statusOf('/other/x')).toEqual(404);
			expect(await statusOf('/plain/x', {'x-key': 'other'})).toEqual(401);
			expect(sent()).toEqual(0);
		});

		it('rejects a request that waits for a slot once its key is revoked, and sends it to no target', async () => {
			for (const targetId of ['t0', 't0', 't0', 't0', 't1', 't1', 't1', 't1']) {
				context.selector.sent(targetId, performance.now());
			}

			table = new RouteTable({...state, clientAccounts: [{name: 'nadi', keys: ['secret']}, {name: 'open', keys: ['other']}]});
			const results = [call('/lookup/a'), call('/lookup/b', {'x-key': 'other'})];
			await waitUntil(() => context.admission.waitingCount === 2);
			rejectRevoked(context.crashWatch.forwarding, new RouteTable({...state, version: 2, clientAccounts: [{name: 'nadi', keys: ['new']}, {name: 'open', keys: ['other']}]}));
			const revoked = await results[0];
			expect(revoked.status).toEqual(401);
			expect(context.admission.waitingCount).toEqual(1);
			for (const targetId of ['t0', 't1']) {
				context.selector.ended({targetId, bornMs: 1}, 'answered', performance.now());
			}

			context.admission.processQueue(performance.now());
			const allowed = await results[1];
			expect(allowed.status).toEqual(200);
			expect(sent()).toEqual(1);
		});

		it('does not reject by a desired state while a newer one is announced, but tells the caller when to retry', async () => {
			newestVersion = state.version + 1;
			const results = [await call('/other/x'), await call('/plain/x', {'x-key': 'other'}), await call('/plain/x', {'x-pad': 'p'.repeat(5000)}), await call('/plain/x', {}, 'x'.repeat(2000))];
			for (const result of results) {
				expect(result.status).toEqual(503);
				expect(Number(result.headers['retry-after'])).toBeGreaterThan(0);
				expect(JSON.parse(result.body)).toEqual({type: 'urn:rattanspring:documentOutdated', status: 503, execution: 'didNotRun'});
			}

			expect(await statusOf('/plain/x')).toEqual(200);
		});

		it('rejects bodies and headers that are too large', async () => {
			expect(await statusOf('/plain/x', {}, 'x'.repeat(2000))).toEqual(413);
			expect(await statusOf('/plain/x', {'x-more': 'x'.repeat(5000)})).toEqual(431);
			expect(sent()).toEqual(0);
		});

		const malformedRequests: Array<[string, string]> = [
			['two Content-Length headers', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello'],
			['both Content-Length and chunked encoding', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
			['bare line feeds', 'POST /plain/x HTTP/1.1\nHost: a.example\nX-Key: secret\nContent-Length: 0\n\n'],
			['no Host header', 'POST /plain/x HTTP/1.1\r\nX-Key: secret\r\nContent-Length: 0\r\n\r\n'],
			['a space in a header name', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key : secret\r\nContent-Length: 0\r\n\r\n'],
		];
		for (const [what, bytes] of malformedRequests) {
			it(`does not forward a request with ${what}`, async () => {
				const text = await raw(bytes);
				expect(text.startsWith('HTTP/1.1 400')).toEqual(true);
				expect(sent()).toEqual(0);
			});
		}
	});

	describe('that is being stopped', () => {
		it('refuses a request that waits for a target, and that it would not answer in time, without waiting for a slot', async () => {
			for (const targetId of ['t0', 't0', 't0', 't0', 't1', 't1', 't1', 't1']) {
				context.selector.sent(targetId, performance.now());
			}

			const result = call('/draft/a');
			await waitUntil(() => context.admission.waitingCount === 1);
			context.plannedStop.begin({addressLifetimeMs: 3000, limitMs: 1000}, performance.now() - 900);
			for (const request of context.crashWatch.forwarding) {
				request.refuseUnsent();
			}

			const {status, body} = await result;
			expect([status, JSON.parse(body)]).toEqual([503, {type: 'urn:rattanspring:stopping', status: 503, execution: 'didNotRun'}]);
			expect([context.admission.waitingCount, sent()]).toEqual([0, 0]);
		});
	});

	describe('with a target that breaks the connection', () => {
		it('sends a non-repeatable request once, and does not report it as not executed', async () => {
			setHandlers((_request, response) => {
				response.destroy();
			});
			const result = await call('/plain/x');
			expect(result.status).toEqual(502);
			expect(sent()).toEqual(1);
			expect(crashes.length).toEqual(1);
		});

		it('retries an idempotent request at another target', async () => {
			targets[0].handler = (_request, response) => {
				response.destroy();
			};

			for (let index = 0; index < 4; index++) {
				const result = await call('/lookup/x', {'x-id': `r${index}`});
				expect([result.status, result.body]).toEqual([200, 'done']);
			}
		});

		/** Answers without a length, and ends the connection in order or with a reset. */
		function unframed(body: string, isReset: boolean): Handler {
			return (request, response) => {
				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
				response.writeHead(200, {'x-id': request.headers['x-id'], 'x-signed': 'yes', ...(request.url!.startsWith('/draft/') && {'content-type': 'text/event-stream'})});
				if (isReset) {
					response.write(body);
					setTimeout(() => {
						response.socket!.resetAndDestroy();
					}, 20);
				} else {
					response.end(body);
				}
			};
		}

		it('takes a response without a length for whole if its connection was closed in order', async () => {
			setHandlers(unframed('all', false));
			const lookup = await call('/lookup/x');
			expect([lookup.status, lookup.body, sent()]).toEqual([200, 'all', 1]);
			const order = await call('/plain/x');
			expect([order.status, order.body, sent()]).toEqual([200, 'all', 2]);
		});

		it('takes it for broken off if its connection was reset', async () => {
			targets[0].handler = unframed('par', true);
			for (let index = 0; index < 4; index++) {
				const result = await call('/lookup/x', {'x-id': `r${index}`});
				expect([result.status, result.body]).toEqual([200, 'done']);
			}

			setHandlers(unframed('par', true));
			const order = await call('/plain/x');
			expect(order.status).toEqual(502);
		});

		it('takes a stream without a length for whole after a whole event, and resumes it elsewhere if it ends inside one', async () => {
			setHandlers(unframed('id: 1\ndata: x\n\nid: 2\ndata: x\n\n', false));
			const whole = await call('/draft/x');
			expect([whole.isWhole, whole.body, sent()]).toEqual([true, 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n', 1]);
			setHandlers((request, response, body) => {
				const isResumed = request.headers['last-event-id'] === '1';
				unframed(isResumed ? 'id: 2\ndata: x\n\n' : 'id: 1\ndata: x\n\nid: 2\nda', false)(request, response, body);
			});
			const resumed = await call('/draft/x');
			expect([resumed.isWhole, resumed.body, sent()]).toEqual([true, 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n', 3]);
		});

		it('does not forward a response to another request', async () => {
			setHandlers((_request, response) => {
				response.writeHead(200, {'x-id': 'other', 'x-signed': 'yes', 'content-length': 6});
				response.end('theirs');
			});
			const result = await call('/plain/x');
			expect(result.status).toEqual(502);
			expect(result.body.includes('theirs')).toEqual(false);
		});
	});

	describe('with a target that did not run the request', () => {
		it('tries another target, and then refuses the request with a Retry-After header', async () => {
			setHandlers((request, response) => {
				answer(request, response, 503, '', {'x-not-run': '1'});
			});
			const result = await call('/plain/x');
			expect(result.status).toEqual(503);
			expect(Number(result.headers['retry-after']) > 0).toEqual(true);
			expect(sent()).toEqual(2);
		});
	});

	describe('with a target that does not respond', () => {
		it('responds at the timeout of the route, and cancels the request at the target', async () => {
			setHandlers(() => undefined);
			const startMs = performance.now();
			const result = await call('/plain/x');
			const tookMs = performance.now() - startMs;
			expect(result.status).toEqual(504);
			expect(tookMs > 500 && tookMs < 800).toEqual(true);
			await sleep(30);
			expect(targets.reduce((sum, target) => sum + target.cancelledCount, 0)).toEqual(1);
		});

		it('responds at the caller\'s deadline', async () => {
			setHandlers(() => undefined);
			const startMs = performance.now();
			expect(await statusOf('/plain/x', {'x-time-left': '200'})).toEqual(504);
			expect(performance.now() - startMs < 350).toEqual(true);
		});
	});

	describe('with a caller that disconnects', () => {
		it('sends it to no other target if its end at one target and the close are read together', async () => {
			const callers: net.Socket[] = [];
			setHandlers((request, response) => {
				// The response and the close are both sent before the entry reads either, as after a stall of its process.
				response.setHeader('x-not-run', '1');
				answer(request, response, 503, 'busy');
				for (const caller of callers) {
					caller.destroy();
				}
			});
			const rounds = 8;
			for (let round = 0; round < rounds; round++) {
				const caller = net.connect(port, '127.0.0.1');
				callers.push(caller);
				caller.on('error', () => undefined);
				caller.write(`POST /lookup/x HTTP/1.1\r\nhost: a.example\r\nx-id: r${round}\r\nx-key: secret\r\ncontent-length: 0\r\n\r\n`);
				// A target that has refused a request gets none for a short time.
				await sleep(120);
			}

			expect(sent()).toEqual(rounds);
		});

		it('sends nothing for it if its request and its close are read together after the process was held up', async () => {
			setHandlers((request, response) => {
				answer(request, response, 200, 'done');
			});
			const callers = await Promise.all(Array.from({length: 4}, async () => {
				const caller = net.connect(port, '127.0.0.1');
				await once(caller, 'connect');
				return caller;
			}));
			await call('/lookup/x');
			const sentBefore = sent();
			for (const [index, caller] of callers.entries()) {
				caller.write(`POST /lookup/x HTTP/1.1\r\nhost: a.example\r\nx-id: r${index}\r\nx-key: secret\r\ncontent-length: 0\r\n\r\n`);
				caller.destroy();
			}

			holdUp(1000);
			await sleep(100);
			const later = await call('/lookup/x');
			expect([sent() - sentBefore, later.status]).toEqual([1, 200]);
		});

		it('cancels the request at the target immediately', async () => {
			setHandlers(() => undefined);
			const request = http.request({
				port, path: '/lookup/x', method: 'POST', headers: {host: 'a.example', 'x-id': 'r1', 'x-key': 'secret'},
			});
			request.on('error', () => undefined);
			request.end();
			await sleep(100);
			request.destroy();
			await sleep(100);
			expect(targets.reduce((sum, target) => sum + target.cancelledCount, 0)).toEqual(1);
			expect(sent()).toEqual(1);
		});
	});

	describe('with a stream', () => {
		const events = (from: number, to: number) => Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: ${from + index}\n\n`).join('');
		const head = (request: IncomingMessage) => ({'x-id': request.headers['x-id'], 'x-signed': 'yes', 'content-type': 'text/event-stream'});

		it('resumes it at another target with no event lost, duplicated or merged', async () => {
			setHandlers((request, response) => {
				const last = Number(request.headers['last-event-id'] ?? 0);
				response.writeHead(200, head(request));
				if (last === 0) {
					response.write(events(1, 3) + 'id: 4\nda');
					setTimeout(() => {
						response.destroy();
					}, 30);
				} else {
					response.end(events(last + 1, 6));
				}
			});
			const result = await call('/draft/x');
			expect(result.body).toEqual(events(1, 6));
			expect(result.isWhole).toEqual(true);
			expect(sent()).toEqual(2);
		});

		it('does not cut a slow but sound one', async () => {
			setHandlers((request, response) => {
				response.writeHead(200, head(request));
				let next = 1;
				const timer = setInterval(() => {
					response.write(events(next, next));
					if (++next > 4) {
						clearInterval(timer);
						response.end();
					}
				}, 600);
			});
			const result = await call('/draft/x');
			expect([result.body, result.isWhole, sent()]).toEqual([events(1, 4), true, 1]);
		});

		it('resumes a stalled one at another target, although it goes on sending a byte now and then', async () => {
			setHandlers((request, response) => {
				const last = Number(request.headers['last-event-id'] ?? 0);
				response.writeHead(200, head(request));
				if (last > 0) {
					response.end(events(last + 1, 4));
					return;
				}

				response.write(events(1, 2));
				const timer = setInterval(() => {
					response.write(':');
				}, 100);
				response.on('close', () => {
					clearInterval(timer);
				});
			});
			const startedAtMs = performance.now();
			const result = await call('/draft/x');
			expect([result.body, result.isWhole, sent()]).toEqual([events(1, 4), true, 2]);
			expect(performance.now() - startedAtMs).toBeLessThan(2000);
		});

		it('passes on a first answer of another type whole, whatever blank lines it has', async () => {
			const body = '{"reason": 1}\n\n{}';
			setHandlers((request, response) => {
				answer(request, response, 200, body, {'content-type': 'application/json'});
			});
			const result = await call('/draft/x');
			expect([result.isWhole, result.body, result.headers['content-length'], sent()]).toEqual([true, body, String(body.length), 1]);
		});

		it('closes the connection if the next target begins it again, so that it does not look complete, and passes on no event twice', async () => {
			setHandlers((request, response) => {
				response.writeHead(200, head(request));
				response.write(events(1, 2));
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
			const result = await call('/draft/x');
			expect([result.isWhole, result.body, sent()]).toEqual([false, events(1, 2), 2]);
		});

		it('closes the connection if every target breaks it off, so that it does not look complete', async () => {
			setHandlers((request, response) => {
				const last = Number(request.headers['last-event-id'] ?? 0);
				response.writeHead(200, head(request));
				response.write(events(last + 1, last + 2));
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
			const result = await call('/draft/x');
			expect([result.isWhole, result.body, sent()]).toEqual([false, events(1, 4), 2]);
		});

		it('does not resume it after an event without an id, whose place can\'t be told', async () => {
			setHandlers((request, response) => {
				response.writeHead(200, head(request));
				response.write(`${events(1, 2)}data: without\n\n`);
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
			const result = await call('/draft/x');
			expect([result.isWhole, result.body, sent()]).toEqual([false, `${events(1, 2)}data: without\n\n`, 1]);
		});
	});

	describe('with a request that crashes its targets', () => {
		const crashed = (index: number) => ({targetId: `other${index}`, bornMs: 1});

		beforeEach(() => {
			areTargetsCrashing = true;
			setHandlers((_request, response) => {
				response.destroy();
			});
		});

		/** Has the request crash one target itself, and as many others as given. */
		async function crash(otherCount: number): Promise<void> {
			await call('/plain/x');
			for (let index = 0; index < otherCount; index++) {
				context.crashWatch.guard.recordCrash(crashed(index), crashes);
			}
		}

		it('refuses it after the second crash, except as a trial, and after the crash in that trial altogether', async () => {
			for (let index = 0; index < 3; index++) {
				context.crashWatch.guard.recordCrash({targetId: `t${index}`, bornMs: 1}, [{components: ['request:unrelated']}]);
			}

			await crash(1);
			const before = sent();
			expect(await statusOf('/plain/x')).toEqual(503);
			expect(sent()).toEqual(before);
			isTrialGranted = true;
			expect(await statusOf('/plain/x')).toEqual(502);
			expect(sent()).toEqual(before + 1);
			expect(await statusOf('/plain/x')).toEqual(503);
			expect(sent()).toEqual(before + 1);
		});

		it('serves other requests meanwhile', async () => {
			await crash(2);
			setHandlers((request, response) => {
				answer(request, response, 200, 'done');
			});
			expect(await statusOf('/plain/other')).toEqual(200);
		});

		it('repeats a request at another target only if it knows that no part of it has crashed the first one', async () => {
			expect(await statusOf('/lookup/x')).toEqual(502);
			expect(sent()).toEqual(1);
			areTargetsCrashing = false;
			expect(await statusOf('/lookup/y')).toEqual(502);
			expect(sent()).toEqual(3);
		});

		it('does not repeat a trial at another target', async () => {
			await call('/lookup/x');
			context.crashWatch.guard.recordCrash(crashed(1), crashes);
			isTrialGranted = true;
			const before = sent();
			expect(await statusOf('/lookup/x')).toEqual(502);
			expect(sent()).toEqual(before + 1);
		});

		it('serves it again after a trial with a complete answer', async () => {
			await crash(1);
			setHandlers((request, response) => {
				answer(request, response, 200, 'done');
			});
			isTrialGranted = true;
			expect(await statusOf('/plain/x')).toEqual(200);
			isTrialGranted = false;
			expect(await statusOf('/plain/x')).toEqual(200);
		});

		it('withdraws it from a target that has not begun its answer when it becomes suspected', async () => {
			setHandlers(() => undefined);
			const result = call('/draft/x', {'x-parts': 'bad'});
			await sleep(50);
			for (const index of [1, 2]) {
				context.crashWatch.guard.recordCrash(crashed(index), [{components: ['part:bad']}]);
			}

			const {status} = await result;
			expect(status).toEqual(502);
			await sleep(50);
			expect(targets.reduce((sum, target) => sum + target.cancelledCount, 0)).toEqual(1);
		});
	});
});
