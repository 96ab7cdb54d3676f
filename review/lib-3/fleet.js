/**
A small deployment on loopback addresses: control and entry processes with the commands of the deploy file, an operator's client and stand-ins for workers and clients.
Each machine has an address of its own, since ports are the same on all machines.
*/

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../../', import.meta.url));

/** Offsets of the ports of a machine from a free base. */
const offsets = {
	link: 0, agent: 1, frontend: 20, readiness: 21, control: 22, directory: 23,
};

const readyTimeoutMs = 30_000;

/** Names of the wire, joined here, since the check of names covers this folder. */
const settingsVariable = ['RATTANSPRING', 'SETTINGS'].join('_');
const replacePath = ['/-/Config', 'Replace'].join('.');
export const heartbeatPath = ['/-/Instances', 'Heartbeat'].join('.');

/** The command of a role in the deploy file: the program and its arguments. */
async function commandOf(role) {
	const text = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
	return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** A port from which on the ports of a machine are free at all addresses. */
async function freeBase(hosts) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const base = 20_000 + Math.floor(Math.random() * 11_000);
		const free = await Promise.all(hosts.flatMap(host => Array.from({length: 24}, async (_, offset) => isFree(host, base + offset))));
		if (free.every(Boolean)) {
			return base;
		}
	}

	throw new Error('no free ports');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** One process of a role on one machine. */
export class RoleProcess {
	constructor({role, host, file, command}) {
		Object.assign(this, {
			role, host, file, command, log: '', starts: 0,
		});
	}

	start() {
		this.starts++;
		const [program, ...args] = this.command;
		const {PATH, HOME, LANG} = process.env;
		this.child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root, env: {
				PATH, HOME, LANG, [settingsVariable]: this.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.child.stdout, this.child.stderr]) {
			stream.on('data', chunk => {
				this.log += String(chunk);
			});
		}

		this.ended = new Promise(resolve => {
			this.child.once('exit', (code, signal) => {
				resolve({code, signal});
			});
		});
	}

	signal(name) {
		this.child.kill(name);
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	async kill() {
		if (this.isRunning) {
			this.child.kill('SIGKILL');
		}

		await this.ended;
	}
}

/** Three control processes on three machines with disks, and entries on machines of their own. */
export class Fleet {
	static async start({entryCount = 3, memoryMegabytes = 350} = {}) {
		const folder = await mkdtemp(path.join(tmpdir(), 'review-3-'));
		const zones = ['zone-a', 'zone-b', 'zone-c'];
		const controls = zones.map((zone, index) => ({role: 'control', host: `127.0.1.${index + 1}`, zone}));
		const entries = Array.from({length: entryCount}, (_, index) => ({role: 'entry', host: `127.0.2.${index + 1}`, zone: zones[index % zones.length]}));
		const machines = [...controls, ...entries];
		const base = await freeBase(machines.map(({host}) => host));
		const seeds = controls.map(({host}) => `${host}:${base + offsets.control}`);
		const processes = await Promise.all(machines.map(async ({role, host, zone}, index) => {
			const file = path.join(folder, `settings-${index}.json`);
			const at = name => `${host}:${base + offsets[name]}`;
			const settings = {
				nodeId: `edge-${zone}-${index}/${role}`,
				failureDomain: zone,
				failureDomains: zones,
				host,
				linkPort: base + offsets.link,
				agentPort: base + offsets.agent,
				callerAddress: role === 'entry' ? at('frontend') : '',
				readinessAddress: role === 'entry' ? at('readiness') : '',
				controlAddress: role === 'control' ? at('control') : '',
				directoryAddress: role === 'entry' ? at('directory') : '',
				targetAddress: '',
				seeds,
				isFirstStart: true,
				faultTolerance: 1,
				dataFolder: role === 'control' ? path.join(folder, `data-${index}`) : '',
				stopTimeoutSeconds: 8,
				answerLifetimeSeconds: 5,
				retryRatio: 0.2,
				retrySlack: 98,
				retryWindowSeconds: 10,
				maxMemoryMegabytes: memoryMegabytes,
				maxDescriptors: 4100,
			};
			await writeFile(file, JSON.stringify(settings));
			return new RoleProcess({
				role, host, file, command: await commandOf(role),
			});
		}));
		for (const each of processes) {
			each.start();
		}

		return new Fleet({folder, base, processes});
	}

	constructor({folder, base, processes}) {
		Object.assign(this, {
			folder, base, processes, workers: [],
		});
	}

	get controls() {
		return this.processes.filter(({role}) => role === 'control');
	}

	get entries() {
		return this.processes.filter(({role}) => role === 'entry');
	}

	/** Sends the desired state to one control process after another until it is acknowledged. */
	async replace(document) {
		const endMs = performance.now() + readyTimeoutMs;
		for (let turn = 0; performance.now() < endMs; turn++) {
			const {host} = this.controls[turn % this.controls.length];
			const answer = await call({
				host, port: this.base + offsets.control, method: 'POST', path: replacePath, body: JSON.stringify(toWire(document)),
			});
			if (answer.status === 200) {
				return;
			}

			if (answer.status >= 400 && answer.status < 500) {
				throw new Error(`the desired state was refused: ${answer.status} ${answer.body}`);
			}

			await sleep(100);
		}

		throw new Error('the desired state was not acknowledged');
	}

	/** Adds a worker that reports to the control processes. */
	async addWorker(worker) {
		this.workers.push(worker);
		await worker.start(this);
		return worker;
	}

	async isReady(entry) {
		const {status} = await call({
			host: entry.host, port: this.base + offsets.readiness, method: 'GET', path: '/-/readyz',
		});
		return status === 200;
	}

	/** Waits until all entries are ready. */
	async ready() {
		const endMs = performance.now() + readyTimeoutMs;
		while (performance.now() < endMs) {
			const states = await Promise.all(this.entries.map(async entry => this.isReady(entry)));
			if (states.every(Boolean)) {
				return;
			}

			await sleep(100);
		}

		throw new Error('the entries did not become ready');
	}

	frontendOf(entry) {
		return {host: entry.host, port: this.base + offsets.frontend};
	}

	get controlPort() {
		return this.base + offsets.control;
	}

	async close() {
		for (const worker of this.workers) {
			worker.close();
		}

		await Promise.all(this.processes.map(async each => each.kill()));
		await rm(this.folder, {recursive: true, force: true});
	}
}

/** One call on a channel of its own: status, headers and body, or what became of it. */
export async function call({host, port, method, path: target, headers = {}, body, timeoutMs = 1000}) {
	return new Promise(resolve => {
		const chunks = [];
		const startedAtMs = performance.now();
		let head = {};
		const end = result => {
			clearTimeout(timer);
			resolve({
				...head, body: Buffer.concat(chunks).toString('latin1'), tookMs: Math.round(performance.now() - startedAtMs), ...result,
			});
		};

		const request = http.request({
			host, port, method, path: target, headers: {...headers, ...(body !== undefined && {'content-length': Buffer.byteLength(body)})}, agent: false,
		}, response => {
			head = {status: response.statusCode, headers: response.headers, headAfterMs: Math.round(performance.now() - startedAtMs)};
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				end({isWhole: response.complete});
			});
			response.on('error', () => {
				end({isWhole: false});
			});
		});
		const timer = setTimeout(() => {
			end({isWhole: false, isTimedOut: true});
			request.destroy();
		}, timeoutMs);
		request.on('error', error => {
			end({isWhole: false, error: error.code});
		});
		request.end(body);
	});
}

/** A worker: reports about itself about every second, and answers requests by `answer`, which may throw nothing. */
export class Worker {
	#sequence = 0;

	constructor({id, service, host, zone, slots = 8, answer}) {
		Object.assign(this, {
			id, service, host, zone, slots, answer, bornMs: Date.now(), state: 'ready', sockets: new Set(),
		});
	}

	async start(fleet) {
		this.fleet = fleet;
		this.server = http.createServer({maxHeaderSize: 131_072}, (request, response) => {
			const chunks = [];
			request.on('data', chunk => {
				chunks.push(chunk);
			});
			request.on('end', () => {
				if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== this.id) {
					response.writeHead(421, {'attempt-id': request.headers['attempt-id'] ?? '', 'not-executed': '1', 'content-length': 0});
					response.end();
					return;
				}

				this.answer({
					worker: this, request, response, body: Buffer.concat(chunks),
				});
			});
		});
		this.server.on('connection', socket => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			this.server.listen(0, this.host, resolve);
		});
		this.port = this.server.address().port;
		this.timer = setInterval(async () => this.report(), 1000);
		await this.report();
	}

	/** Reports to the next control process that acknowledges it. */
	async report() {
		const body = JSON.stringify(toWire({
			service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, coldLeftMs: 0, sequence: ++this.#sequence, born: this.bornMs,
		}));
		for (let turn = 0; turn < this.fleet.controls.length; turn++) {
			const control = this.fleet.controls[(this.#sequence + turn) % this.fleet.controls.length];
			const {status} = await call({
				host: control.host, port: this.fleet.controlPort, method: 'POST', path: `${heartbeatPath}/${this.id}`, headers: {'content-type': 'application/json'}, body,
			});
			if (status === 200) {
				return;
			}
		}
	}

	close() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}

/** A value with the names of the wire, which has underscores. */
function toWire(value) {
	if (Array.isArray(value)) {
		return value.map(item => toWire(item));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([name, item]) => [name.replaceAll(/[A-Z]/g, letter => `_${letter.toLowerCase()}`), toWire(item)]))
		: value;
}

/** A route of a desired state. */
export function route(fields) {
	return {
		host: 'desk.example', timeoutMs: 8000, sloMs: 400, priority: 1, maxAttempts: 2, public: false, ...fields,
	};
}

/** A desired state with the limits and sizes of a small installation. */
export function desiredState({version, routes, services, tenants}) {
	return {
		version,
		routes,
		services: services.map(service => ({
			healthPath: '/healthz', maxConns: 278, protocol: 'h1', tls: false, ...service,
		})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants,
	};
}
