import {once} from 'node:events';
import net from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePorts} from '@rattanspring/test-kit';
import {expect} from 'earl';
import {CallerServer} from './index.js';

const idleTimeoutMs = 100;

/** Time that the server and Node.js add to it. */
const idleMarginMs = 2000;

describe('the server for callers', () => {
	let server: CallerServer;
	let port: number;

	beforeEach(async () => {
		[port] = await freePorts(1);
		server = new CallerServer({
			host: '127.0.0.1', port, onRequest(_request, response) {
				response.end('answer');
			},
		});
		await server.start();
		server.setLimits({
			maxHeaderBytes: 4096, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs,
		});
	});
	afterEach(() => {
		server.close();
	});

	it('answers a request that came on an idle connection before it timed out, if the process was held up since', async () => {
		const socket = net.connect({host: '127.0.0.1', port});
		let received = '';
		socket.on('data', chunk => {
			received += String(chunk);
		}).on('error', () => undefined);
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
		await once(socket, 'data');
		await sleep(idleTimeoutMs + idleMarginMs - 100);
		// After this phase of the event loop timers come before reads.
		setImmediate(() => {
			socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 500);
		});
		await sleep(700);
		socket.destroy();
		expect(received.split('HTTP/1.1 200').length - 1).toEqual(2);
	});
});
