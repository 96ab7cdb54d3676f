/* eslint-disable @stylistic/object-curly-newline -- the names of the platform */
/** A worker of a plain service as PROTOCOL.md describes it. It can crash and start again in a new lifetime. */

import http from 'node:http';
import {Reports} from './fleet.js';
import {coldLeft} from './names.js';

export class Worker {
	bornMs = 0;
	lives = 0;
	#server;
	#sockets = new Set();

	/** `handle` answers a request that is for this worker: it gets the request, its body, the response and the headers that each answer has. */
	constructor({fleet, record, id, host, zone, service, slots = 8, picksAnew = false, firstPick = 0, handle}) {
		Object.assign(this, {fleet, record, id, host, zone, service, slots, handle});
		this.state = 'ready';
		this.reports = new Reports(fleet, {
			id, picksAnew, firstPick, describe: () => ({
				service, address: `${host}:${fleet.ports.app}`, zone, version: 'v1', slots, state: this.state, [coldLeft]: 0, born: this.bornMs,
			}),
		});
	}

	get isRunning() {
		return this.#server !== undefined;
	}

	async start() {
		this.bornMs = Date.now();
		this.lives++;
		const server = http.createServer((request, response) => {
			this.#serve(request, response);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			server.listen(this.fleet.ports.app, this.host, resolve);
		});
		this.#server = server;
		this.reports.start();
	}

	/** Ends at once, as a process that is killed: its channels are reset. */
	crash() {
		this.reports.stop();
		this.#server?.close();
		this.#server = undefined;
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	#serve(request, response) {
		const parts = [];
		request.on('data', part => {
			parts.push(part);
		});
		request.on('end', () => {
			const id = request.headers['attempt-id'];
			const expected = request.headers['expect-instance'];
			if (request.url === '/healthz') {
				response.writeHead(this.state === 'ready' ? 200 : 503, {'Instance-Id': this.id});
				response.end();
			} else if (expected !== undefined && expected !== this.id) {
				response.writeHead(421, {'attempt-id': id, 'not-executed': '1'});
				response.end();
			} else {
				this.handle({worker: this, request, response, id, body: new TextDecoder().decode(Uint8Array.from(parts.flatMap(part => [...part]))), headers: {'attempt-id': id, 'instance-signature': `s-${this.id}`}});
			}
		});
	}
}
