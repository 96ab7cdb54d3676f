import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import {describe, it} from 'node:test';
import {ByteBudget, RequestMemory} from '@rattanspring/byte-collector';
import {expect} from 'earl';
import {type BodyResult, readBody} from './read-body.js';

const bodyBytes = 4_190_000;
const maxBytes = 4_194_304;
const bytesPerWrite = 10_000;

/** What a body is read as that a caller sends in chunks of a size, how long that takes, and how much memory it takes at most. */
async function readChunks(chunkBytes: number): Promise<{result: BodyResult; tookMs: number; mostBytes: number}> {
	const results: BodyResult[] = [];
	const server = http.createServer((request, response) => {
		void (async () => {
			results.push(await readBody(request, {maxBytes, held: new RequestMemory({budget: new ByteBudget(100_000_000), nowMs: () => performance.now(), onStopped: () => undefined}).open(0)}));
			response.shouldKeepAlive = false;
			response.end();
		})();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const usedBytes = () => process.memoryUsage().heapUsed + process.memoryUsage().external;
	const beforeBytes = usedBytes();
	let mostBytes = 0;
	const sampling = setInterval(() => {
		mostBytes = Math.max(mostBytes, usedBytes() - beforeBytes);
	}, 5);
	const startedAtMs = performance.now();
	const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('error', () => undefined);
	const hasAnswer = Promise.race([once(socket, 'data'), once(socket, 'close')]);
	socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
	const pieces = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(bytesPerWrite / chunkBytes);
	for (let sent = 0; sent < bodyBytes && results.length === 0; sent += bytesPerWrite) {
		if (!socket.write(pieces)) {
			await Promise.race([once(socket, 'drain'), hasAnswer]);
		}
	}

	socket.write('0\r\n\r\n');
	await hasAnswer;
	clearInterval(sampling);
	socket.destroy();
	server.close();
	return {result: results[0], tookMs: performance.now() - startedAtMs, mostBytes};
}

describe('a body in chunks', {timeout: 60_000}, () => {
	it('of one byte takes neither memory nor time for its chunks', async () => {
		const {result, tookMs, mostBytes} = await readChunks(1);
		expect(result.kind).toEqual('tooLarge');
		expect(mostBytes).toBeLessThan(60_000_000);
		expect(tookMs).toBeLessThan(2000);
	});

	it('of a hundred bytes is read whole, in memory for its bytes', async () => {
		const {result, mostBytes} = await readChunks(100);
		expect(result.kind === 'whole' && result.body.byteLength).toEqual(bodyBytes);
		expect(mostBytes).toBeLessThan(100_000_000);
	});
});
