import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type DesiredState, type Route, RouteTable} from '@rattanspring/desired-state';
import {SilentLogger} from '@rattanspring/logger';
import {DaemonMetrics} from '@rattanspring/metrics';
import {
	AdmissionQueue, type Crash, CrashGuard, RetryBudget, TargetSelector,
} from '@rattanspring/placement';
import {type AnswerHead, ConnectionPool} from '@rattanspring/target-connection';
import type {TargetReport} from '@rattanspring/target-table';
import {freePorts} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {FirstTries} from './first-tries.js';
import type {FlowContext} from './flow-context.js';
import {serveRequest} from './request-flow.js';
import {
	type AnswerFacts, CallDialect, CallerServer, type CallFacts, type TargetFacts,
} from './index.js';

/** Headers of a platform of our own. */
class TestDialect extends CallDialect {
	readCall(headers: http.IncomingHttpHeaders): CallFacts {
		return {
			requestId: headers['x-id'] as string, key: headers['x-key'] as string, lastEventId: headers['last-event-id'] as string, ...(headers['x-time-left'] && {timeLeftMs: Number(headers['x-time-left'])}),
		};
	}

	targetHeaders(rawHeaders: readonly string[], facts: TargetFacts): string[] {
		const kept = rawHeaders.flatMap((name, index) => index % 2 === 0 && !/^(x-key|content-length|connection|transfer-encoding|last-event-id)$/i.test(name) ? [name, rawHeaders[index + 1]] : []);
		return [...kept, 'x-target', facts.targetId, 'x-account', facts.accountName ?? '', ...(facts.lastEventId === undefined ? [] : ['last-event-id', facts.lastEventId])];
	}

	readAnswer({headers}: AnswerHead): AnswerFacts {
		return {requestId: headers.get('x-id'), isNotRun: headers.has('x-not-run'), isSigned: headers.has('x-signed')};
	}

	callerHeaders({rawHeaders}: AnswerHead): string[] {
		return rawHeaders.filter(([name]) => name.startsWith('x-')).flat();
	}

	refusalHeaders(retryAfterMs: number): Record<string, string> {
		return {'retry-after': String(retryAfterMs / 1000)};
	}
}

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A target that answers as the test says. */
class Target {
	seen: Array<{readonly headers: http.IncomingHttpHeaders; readonly body: string}> = [];
	closedEarly = 0;
	readonly #server = http.createServer((request, response) => {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		response.on('close', () => {
			this.closedEarly += response.writableFinished ? 0 : 1;
		});
		request.on('end', () => {
			const body = Buffer.concat(chunks).toString();
			this.seen.push({headers: request.headers, body});
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

describe('an entry', () => {
	const targets = [new Target(), new Target()];
	const crashes: Crash[] = [];
	let server: CallerServer;
	let port: number;
	let table: RouteTable | undefined;
	let context: FlowContext;

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
		crashes.length = 0;
		for (const target of targets) {
			target.seen = [];
			target.closedEarly = 0;
			target.handler = (request, response) => {
				answer(request, response, 200, 'done');
			};
		}

		const board = new TargetSelector({failureDomain: 'a'});
		board.setTargets(targets.map((target, index): TargetReport => ({
			targetId: `t${index}`, bornMs: 1, sequence: 1, service: 's', address: `127.0.0.1:${target.port}`, failureDomain: 'a', slots: 4, state: 'ready', coldLeftMs: 0,
		})));
		const inProgress = new Map<string, number>();
		context = {
			dialect: new TestDialect(),
			exchange: new ConnectionPool(),
			board,
			admission: new AdmissionQueue({
				selector: board, random: Math.random, inProgressOf: () => 0, onWaiting: () => undefined,
			}),
			budget: new RetryBudget({ratio: 0.2, slack: 100, windowMs: 10_000}),
			guard: new CrashGuard(),
			firstTries: new FirstTries(),
			logger: new SilentLogger(),
			metrics: new DaemonMetrics(),
			inProgress,
			nowMs: () => performance.now(),
			random: Math.random,
			table: () => table,
			entryCount: () => 1,
			onBroken(crash) {
				crashes.push(crash);
				context.guard.recordCrash(crash);
			},
		};
	}

	function setHandlers(handler: Handler): void {
		for (const target of targets) {
			target.handler = handler;
		}
	}

	const sent = () => targets.reduce((sum, target) => sum + target.seen.length, 0);

	type Got = {readonly status: number; readonly body: string; readonly headers: http.IncomingHttpHeaders; readonly isWhole: boolean};

	async function call(path: string, headers: Record<string, string> = {}, body = 'order'): Promise<Got> {
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
		const got = await call(path, headers, body);
		return got.status;
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

	describe('with a sound target', () => {
		it('passes the answer on unchanged; the target gets the account, not the key', async () => {
			const got = await call('/plain/x');
			expect([got.status, got.body]).toEqual([200, 'done']);
			const [{headers, body}] = [...targets[0].seen, ...targets[1].seen];
			expect(headers['x-account']).toEqual('nadi');
			expect(headers['x-key']).toEqual(undefined);
			expect(body).toEqual('order');
		});

		it('passes on what a target answers with a failure that may not be repeated', async () => {
			setHandlers((request, response) => {
				answer(request, response, 500, 'sorry');
			});
			const got = await call('/plain/x');
			expect([got.status, got.body, got.headers['x-signed']]).toEqual([500, 'sorry', 'yes']);
			expect(sent()).toEqual(1);
		});
	});

	describe('with requests that are not allowed or cannot be read', () => {
		it('says 503 before it knows a desired state, 404 without a route, 401 without a known key', async () => {
			table = undefined;
			expect(await statusOf('/plain/x')).toEqual(503);
			table = new RouteTable(state);
			expect(await statusOf('/other/x')).toEqual(404);
			expect(await statusOf('/plain/x', {'x-key': 'other'})).toEqual(401);
			expect(sent()).toEqual(0);
		});

		it('turns down what is too large', async () => {
			expect(await statusOf('/plain/x', {}, 'x'.repeat(2000))).toEqual(413);
			expect(await statusOf('/plain/x', {'x-more': 'x'.repeat(5000)})).toEqual(431);
			expect(sent()).toEqual(0);
		});

		const hostile: Array<[string, string]> = [
			['two lengths', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello'],
			['a length and chunks', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
			['bare line feeds', 'POST /plain/x HTTP/1.1\nHost: a.example\nX-Key: secret\nContent-Length: 0\n\n'],
			['no host', 'POST /plain/x HTTP/1.1\r\nX-Key: secret\r\nContent-Length: 0\r\n\r\n'],
			['a space in a header name', 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Key : secret\r\nContent-Length: 0\r\n\r\n'],
		];
		for (const [what, bytes] of hostile) {
			it(`does not pass on a request with ${what}`, async () => {
				const text = await raw(bytes);
				expect(text.startsWith('HTTP/1.1 400')).toEqual(true);
				expect(sent()).toEqual(0);
			});
		}
	});

	describe('with a target that breaks off', () => {
		it('sends a request that may not be repeated once, and does not say that it did not run', async () => {
			setHandlers((_request, response) => {
				response.destroy();
			});
			const got = await call('/plain/x');
			expect(got.status).toEqual(502);
			expect(sent()).toEqual(1);
			expect(crashes.length).toEqual(1);
		});

		it('repeats an idempotent one at another target', async () => {
			targets[0].handler = (_request, response) => {
				response.destroy();
			};

			for (let index = 0; index < 4; index++) {
				const got = await call('/lookup/x', {'x-id': `r${index}`});
				expect([got.status, got.body]).toEqual([200, 'done']);
			}
		});

		it('repeats what may be repeated rather than to trust an answer that only the end of its connection ends', async () => {
			targets[0].handler = (request, response) => {
				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
				response.writeHead(200, {'x-id': request.headers['x-id'], 'x-signed': 'yes'});
				response.end('par');
			};

			for (let index = 0; index < 4; index++) {
				const got = await call('/lookup/x', {'x-id': `r${index}`});
				expect([got.status, got.body]).toEqual([200, 'done']);
			}
		});

		it('never passes on an answer to another request', async () => {
			setHandlers((_request, response) => {
				response.writeHead(200, {'x-id': 'other', 'x-signed': 'yes', 'content-length': 6});
				response.end('theirs');
			});
			const got = await call('/plain/x');
			expect(got.status).toEqual(502);
			expect(got.body.includes('theirs')).toEqual(false);
		});
	});

	describe('with a target that did not run the request', () => {
		it('tries another one, and then says truly that it did not run, with a time to come back', async () => {
			setHandlers((request, response) => {
				answer(request, response, 503, '', {'x-not-run': '1'});
			});
			const got = await call('/plain/x');
			expect(got.status).toEqual(503);
			expect(Number(got.headers['retry-after']) > 0).toEqual(true);
			expect(sent()).toEqual(2);
		});
	});

	describe('with a target that says nothing', () => {
		it('gives the final answer at the timeout of the route, and stops the target', async () => {
			setHandlers(() => undefined);
			const startMs = performance.now();
			const got = await call('/plain/x');
			const tookMs = performance.now() - startMs;
			expect(got.status).toEqual(504);
			expect(tookMs > 500 && tookMs < 800).toEqual(true);
			await sleep(30);
			expect(targets.reduce((sum, target) => sum + target.closedEarly, 0)).toEqual(1);
		});

		it('gives the final answer at the end of the time that the caller has', async () => {
			setHandlers(() => undefined);
			const startMs = performance.now();
			expect(await statusOf('/plain/x', {'x-time-left': '200'})).toEqual(504);
			expect(performance.now() - startMs < 350).toEqual(true);
		});
	});

	describe('with a caller that leaves', () => {
		it('stops the target at once', async () => {
			setHandlers(() => undefined);
			const request = http.request({
				port, path: '/lookup/x', method: 'POST', headers: {host: 'a.example', 'x-id': 'r1', 'x-key': 'secret'},
			});
			request.on('error', () => undefined);
			request.end();
			await sleep(100);
			request.destroy();
			await sleep(100);
			expect(targets.reduce((sum, target) => sum + target.closedEarly, 0)).toEqual(1);
			expect(sent()).toEqual(1);
		});
	});

	describe('with a stream', () => {
		const events = (from: number, to: number) => Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: ${from + index}\n\n`).join('');
		const head = (request: IncomingMessage) => ({'x-id': request.headers['x-id'], 'x-signed': 'yes', 'content-type': 'text/event-stream'});

		it('resumes it at another target with no event lost, doubled or joined', async () => {
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
			const got = await call('/draft/x');
			expect(got.body).toEqual(events(1, 6));
			expect(got.isWhole).toEqual(true);
			expect(sent()).toEqual(2);
		});

		it('ends the connection where it cannot be resumed, so that it does not look complete', async () => {
			setHandlers((request, response) => {
				response.writeHead(200, head(request));
				response.write(events(1, 2));
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
			const got = await call('/draft/x');
			expect(got.isWhole).toEqual(false);
			expect(got.body).toEqual(events(1, 2) + events(1, 2));
		});
	});

	describe('with a request that kills its targets', () => {
		it('refuses it after the third', async () => {
			setHandlers((_request, response) => {
				response.destroy();
			});
			for (let index = 0; index < 3; index++) {
				context.guard.recordCrash({fingerprint: 'unrelated', targetId: `t${index}`, bornMs: 1});
			}

			await call('/plain/x');
			const [{fingerprint}] = crashes;
			context.guard.recordCrash({fingerprint, targetId: 'other', bornMs: 1});
			context.guard.recordCrash({fingerprint, targetId: 'another', bornMs: 1});
			const before = sent();
			expect(await statusOf('/plain/x')).toEqual(503);
			expect(sent()).toEqual(before);
		});
	});
});
