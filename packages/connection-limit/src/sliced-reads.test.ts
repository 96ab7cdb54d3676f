import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {fragmentedReads} from '@rattanspring/byte-collector';
import {expect} from 'earl';
import {limitHttpConnections} from './http-connections.js';

const pieceCount = 10_000;

describe('a connection with a body in chunks of one byte', () => {
	let server: http.Server;
	let maxPiecesInTurn: number;
	let bodies: string[];

	beforeEach(async () => {
		maxPiecesInTurn = 0;
		bodies = [];
		server = http.createServer((request, response) => {
			let piecesInTurn = 0;
			let body = '';
			request.setEncoding('latin1');
			request.on('data', (piece: string) => {
				body += piece;
				if (piecesInTurn++ === 0) {
					setImmediate(() => {
						piecesInTurn = 0;
					});
				}

				maxPiecesInTurn = Math.max(maxPiecesInTurn, piecesInTurn);
			});
			request.on('end', () => {
				bodies.push(body);
				response.end(`${body.length}`);
			});
		});
		limitHttpConnections(server, {maxConnections: 10});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	afterEach(() => {
		fragmentedReads.lastAtMs = Number.NEGATIVE_INFINITY;
		server.close();
		server.closeAllConnections();
	});

	/** Sends requests behind each other; resolves to all that came back. */
	async function answersTo(requests: string): Promise<string> {
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		socket.write(requests);
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (text: string) => {
			received += text;
		});
		await once(socket, 'end');
		return received;
	}

	const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n';
	const body = `${'1\r\np\r\n'.repeat(pieceCount)}0\r\n\r\n`;

	it('takes a small part of each turn of the event loop while such bodies come, and is answered like any other', async () => {
		fragmentedReads.note();
		const received = await answersTo(`${head}\r\n${body}${head}Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n`);
		expect(received.match(/HTTP\/1\.1 200/g)?.length).toEqual(2);
		expect(bodies).toEqual(['p'.repeat(pieceCount), 'abc']);
		expect(maxPiecesInTurn).toBeLessThan(400);
	});

	it('is read at once in calm', async () => {
		await answersTo(`${head}Connection: close\r\n\r\n${body}`);
		expect(bodies).toEqual(['p'.repeat(pieceCount)]);
		expect(maxPiecesInTurn).toBeGreaterThan(1000);
	});
});
