import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	ConnectionPool, EventSplitter, type ExchangeFailure, type ExchangeOptions,
} from './index.js';

/** A target that works on raw bytes: `script` is called for each chunk that a connection receives. */
class ScriptedTarget {
	connections = 0;
	requests: string[] = [];
	readonly #sockets = new Set<Socket>();
	readonly #server = net.createServer(socket => {
		this.connections++;
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			this.requests.push(chunk.toString());
			this.script(socket, chunk.toString(), this.requests.length);
		});
	});

	script: (socket: Socket, request: string, count: number) => void = () => undefined;

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

type Outcome = {readonly status?: number; readonly body: string; readonly failure?: ExchangeFailure; readonly isSent: boolean; readonly isFramed?: boolean};

async function exchange(pool: ConnectionPool, address: string, needsFreshConnection = false, extraHeaders: readonly string[] = []): Promise<Outcome> {
	return new Promise(resolve => {
		let isReturned = false;
		let status: number | undefined;
		let body = '';
		let isSent = false;
		pool.send({
			address,
			needsFreshConnection,
			request: {
				method: 'POST', path: '/a/b?c=1', headers: ['Host', 'x.example', 'X-Id', '7', ...extraHeaders], body: Buffer.from('hello'),
			},
			listener: {
				onSending() {
					isSent = true;
				},
				onHead(head) {
					status = head.status;
				},
				onData(chunk) {
					body += chunk.toString();
				},
				onEnd(isFramed) {
					resolve({
						status, body, isSent, isFramed,
					});
				},
				onFailed(failure) {
					expect(isReturned).toEqual(true);
					resolve({
						status, body, failure, isSent,
					});
				},
			},
		});
		isReturned = true;
	});
}

const completeResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

describe('ConnectionPool', () => {
	const target = new ScriptedTarget();
	let pool = new ConnectionPool();
	before(async () => target.start());
	after(() => {
		target.stop();
	});
	afterEach(() => {
		pool.close();
		pool = new ConnectionPool();
		target.connections = 0;
		target.requests = [];
	});

	async function exchangeAt(field: 'body' | 'status'): Promise<string | number | undefined> {
		const outcome = await exchange(pool, target.address);
		return outcome[field];
	}

	async function failureType(): Promise<string | undefined> {
		const outcome = await exchange(pool, target.address);
		return outcome.failure?.type;
	}

	async function expectUnsendable(headers: readonly string[]): Promise<void> {
		const {failure, isSent} = await exchange(pool, target.address, false, headers);
		expect({type: failure?.type, isSent}).toEqual({type: 'unsendable', isSent: false});
		expect(target.connections).toEqual(0);
	}

	describe('with a request that can be sent to no target', () => {
		for (const [name, headers] of [['a value above U+00FF', ['X-Name', 'ж']], ['a line end in a value', ['X-Name', 'a\nb']], ['two hosts', ['Host', 'y.example']]] as const) {
			it(`says so after the call has returned: ${name}`, async () => expectUnsendable(headers));
		}
	});

	describe('with as many connections as it may have', () => {
		const silent: ExchangeOptions = {
			address: '', needsFreshConnection: false, request: {method: 'GET', path: '/', headers: ['Host', 'x']}, listener: {
				onSending: () => undefined, onHead: () => undefined, onData: () => undefined, onEnd: () => undefined, onFailed: () => undefined,
			},
		};

		it('closes an idle one for another target, and sends nothing if all are in use', async () => {
			let exceededCount = 0;
			const other = new ScriptedTarget();
			await other.start();
			pool = new ConnectionPool({
				maxConnections: 1, onExceeded() {
					exceededCount++;
				},
			});
			for (const one of [target, other]) {
				one.script = socket => {
					socket.write(completeResponse);
				};
			}

			expect(await exchangeAt('status')).toEqual(200);
			const atOther = await exchange(pool, other.address);
			expect([atOther.status, pool.hasIdle(target.address), exceededCount]).toEqual([200, false, 0]);
			other.script = () => undefined;
			const running = pool.send({...silent, address: other.address});
			const refused = await exchange(pool, target.address);
			expect([refused.failure?.type, refused.isSent, exceededCount]).toEqual(['unsendable', false, 1]);
			running.abandon();
			expect(await exchangeAt('status')).toEqual(200);
			other.stop();
		});
	});

	describe('with a healthy target', () => {
		it('sends method, path, headers and body unchanged, and reuses the connection', async () => {
			target.script = socket => {
				socket.write(completeResponse);
			};

			expect(await exchangeAt('body')).toEqual('ok');
			expect(await exchangeAt('status')).toEqual(200);
			expect(target.connections).toEqual(1);
			const [first] = target.requests;
			expect(first.startsWith('POST /a/b?c=1 HTTP/1.1\r\n')).toEqual(true);
			expect(first.toLowerCase()).toInclude('host: x.example\r\n');
			expect(first).toInclude('X-Id: 7\r\n');
			expect(first.endsWith('\r\n\r\nhello')).toEqual(true);
		});

		it('opens a new connection for a request that must not be hit by an idle timeout', async () => {
			target.script = socket => {
				socket.write(completeResponse);
			};

			await exchange(pool, target.address);
			await exchange(pool, target.address, true);
			expect(target.connections).toEqual(2);
		});

		it('keeps a connection that was opened for such a request, for others', async () => {
			target.script = socket => {
				socket.write(completeResponse);
			};

			expect(pool.hasIdle(target.address)).toEqual(false);
			await exchange(pool, target.address, true);
			expect(pool.hasIdle(target.address)).toEqual(true);
			await exchange(pool, target.address);
			expect(target.connections).toEqual(1);
		});

		const idleTimes: Array<[string, string, number]> = [
			['as long as the target announces, less a margin', 'Keep-Alive: timeout=4\r\n', 1],
			['no longer than its limit', 'Keep-Alive: timeout=600\r\n', 2],
			['for a time of its own if the target announces none', '', 2],
		];
		for (const [how, header, connections] of idleTimes) {
			it(`keeps an idle connection ${how}`, async () => {
				const ownPool = new ConnectionPool({idleTimeoutMs: 200, maxIdleTimeoutMs: header.includes('600') ? 200 : 30_000});
				target.script = socket => {
					socket.write(completeResponse.replace('\r\n\r\n', `\r\n${header}\r\n`));
				};

				await exchange(ownPool, target.address);
				await sleep(1800);
				await exchange(ownPool, target.address);
				expect(target.connections).toEqual(connections);
				ownPool.close();
			});
		}
	});

	describe('with a target that sends invalid responses', () => {
		const broken: Array<[string, string]> = [
			['closes the connection within the body', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'],
			['closes the connection within a chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok'],
			['closes the connection before the last chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'],
			['sends bytes that are not an HTTP response', 'hello\r\n\r\n'],
			['closes the connection without a response', ''],
		];
		for (const [what, bytes] of broken) {
			it(`reports a failure if the target ${what}`, async () => {
				target.script = socket => {
					socket.end(bytes);
				};

				expect(await failureType()).toEqual('broken');
			});
		}

		it('reports a failure if the connection is reset during a response without a length', async () => {
			target.script = socket => {
				socket.write('HTTP/1.1 200 OK\r\n\r\npart');
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			};

			expect(await failureType()).toEqual('broken');
		});

		it('reports a failure if the reset immediately follows the data', async () => {
			target.script = socket => {
				socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
					socket.resetAndDestroy();
				});
			};

			expect(await failureType()).toEqual('broken');
		});

		it('reports a response without a length as unframed', async () => {
			target.script = socket => {
				socket.end('HTTP/1.1 200 OK\r\n\r\nok');
			};

			const outcome = await exchange(pool, target.address);
			expect([outcome.body, outcome.isFramed]).toEqual(['ok', false]);
		});

		it('does not reuse a connection on which bytes followed a complete response', async () => {
			target.script = (socket, _request, count) => {
				socket.write(count === 1 ? completeResponse + 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong' : completeResponse);
			};

			await exchange(pool, target.address);
			await sleep(30);
			const second = await exchange(pool, target.address);
			expect(second.body).toEqual('ok');
			expect(target.connections).toEqual(2);
		});

		it('does not reuse a connection on which a second response arrived later', async () => {
			target.script = (socket, _request, count) => {
				socket.write(completeResponse);
				if (count === 1) {
					setTimeout(() => {
						socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong');
					}, 20);
				}
			};

			await exchange(pool, target.address);
			await sleep(60);
			expect(await exchangeAt('body')).toEqual('ok');
			expect(target.connections).toEqual(2);
		});
	});

	describe('with an unreachable target', () => {
		it('reports that not one byte was sent', async () => {
			const outcome = await exchange(pool, '127.0.0.1:1');
			expect(outcome.failure?.type).toEqual('notSent');
			expect(outcome.isSent).toEqual(false);
		});
	});

	describe('with a target that closes an idle connection', () => {
		it('opens a new one for the next request', async () => {
			target.script = socket => {
				socket.write(completeResponse);
				setTimeout(() => {
					socket.end();
				}, 20);
			};

			await exchange(pool, target.address);
			await sleep(60);
			expect(await exchangeAt('body')).toEqual('ok');
		});
	});
});

describe('EventSplitter', () => {
	it('takes an event in pieces of one byte in a time that grows with its size', () => {
		const splitter = new EventSplitter();
		const piece = Buffer.from('x');
		const startedAtMs = performance.now();
		for (let index = 0; index < 300_000; index++) {
			splitter.push(piece);
		}

		expect(performance.now() - startedAtMs).toBeLessThan(2000);
		expect(splitter.push(Buffer.from('\n')).bytes.byteLength).toEqual(0);
		expect(splitter.push(Buffer.from('\r')).bytes.byteLength).toEqual(0);
		expect(splitter.push(Buffer.from('\nid: 2')).bytes.byteLength).toEqual(300_003);
		expect(splitter.push(Buffer.from('\n\n')).bytes.toString()).toEqual('id: 2\n\n');
		expect(splitter.heldBytes).toEqual(0);
	});

	it('returns only complete events, wherever the stream is split', () => {
		const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n');
		for (let cut = 1; cut < stream.byteLength; cut++) {
			const splitter = new EventSplitter();
			const first = splitter.push(stream.subarray(0, cut));
			const second = splitter.push(stream.subarray(cut));
			expect(first.bytes.toString() + second.bytes.toString()).toEqual(stream.toString());
			expect(first.bytes.byteLength === 0 || first.bytes.toString().endsWith('\n\n')).toEqual(true);
			expect(second.lastId ?? first.lastId).toEqual('3');
			expect(splitter.isAtEventBoundary).toEqual(true);
		}
	});

	it('detects a stream that ends within an event', () => {
		const splitter = new EventSplitter();
		expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).lastId).toEqual('1');
		expect(splitter.isAtEventBoundary).toEqual(false);
	});
});
