/** A small deployment for a case: the project's programs as separate processes on loopback addresses, and stand-ins for the platform, the operator, workers and clients. */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** The variable that holds the path of a settings file. */
const settingsVariable = ['RATTANSPRING', 'SETTINGS'].join('_');

/** Messages of the pages; the words of a name are joined by underscores. */
const messages = JSON.parse(fs.readFileSync(new URL('messages.json', import.meta.url), 'utf8'), (key, value) => {
	const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
	return isObject ? Object.fromEntries(Object.entries(value).map(([name, item]) => [name.replaceAll(' ', '_'), item])) : value;
});

/** Bounds of the pages for a small site (vfrc-reel). */
export const bounds = {
	stabilityMs: 3000,
	configMs: 2000,
	drainMs: 2000,
	memoryMb: 350,
};

/** Interval of status reports, and the time after which a caller goes on to the next daemon. */
const reportIntervalMs = 1200;
const callTimeoutMs = 1000;

const caseLimitMs = 115_000;

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** What a case writes to `record.txt`. */
class CaseRecord {
	#lines = [];
	#startedAtMs = performance.now();
	#file;

	constructor(caseUrl) {
		this.#file = fileURLToPath(new URL('record.txt', caseUrl));
	}

	add(text) {
		this.#lines.push(`${((performance.now() - this.#startedAtMs) / 1000).toFixed(3)} ${text}`);
	}

	save() {
		fs.writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

async function freePorts(host, count) {
	const servers = [];
	for (let index = 0; index < count; index++) {
		const server = net.createServer();
		server.listen(0, host);
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** The command of a role, as the deploy file has it. */
function commandOf(role) {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
	return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** One process of a role on one machine, which can be ended and started again. */
class RoleProcess {
	constructor(fleet, role, machine) {
		this.fleet = fleet;
		this.role = role;
		this.machine = machine;
		this.name = `${machine.name}/${role}`;
		this.files = path.join(fleet.folder, `${machine.name}-${role}`);
	}

	start(settings = {}) {
		const {fleet, machine, role} = this;
		const settingsFile = `${this.files}.json`;
		fs.writeFileSync(settingsFile, JSON.stringify({...fleet.settingsOf(machine, role, `${this.files}-disk`), ...settings}));
		const words = commandOf(role).slice(1);
		const log = fs.openSync(`${this.files}.log`, 'a');
		const env = Object.fromEntries(Object.entries(process.env).filter(([name]) => ['PATH', 'HOME', 'LANG'].includes(name)));
		env[settingsVariable] = settingsFile;
		this.child = spawn(process.execPath, words, {cwd: root, stdio: ['ignore', log, log], env});
		fs.closeSync(log);
		this.child.once('exit', (code, signal) => {
			fleet.record.add(`process ${this.name} ended code=${code} signal=${signal}`);
		});
		fleet.record.add(`process ${this.name} started`);
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		this.fleet.record.add(`signal ${name} to ${this.name}`);
		this.child.kill(name);
	}

	async kill() {
		if (this.isRunning) {
			const ended = once(this.child, 'exit');
			this.child.kill('SIGKILL');
			await ended;
		}
	}

	get log() {
		return fs.readFileSync(`${this.files}.log`, 'utf8');
	}
}

/** The machines, with an address each and the same ports on all of them. */
class Fleet {
	static async open(record, options) {
		const fleet = new Fleet(record, options);
		const [caller, readiness, control, directory, target, link] = await freePorts('127.0.0.1', 6);
		fleet.ports = {
			caller,
			readiness,
			control,
			directory,
			target,
			link,
			agent: link + 15,
		};
		return fleet;
	}

	constructor(record, {faultTolerance = 1} = {}) {
		this.record = record;
		this.faultTolerance = faultTolerance;
		this.machines = [];
		this.processes = [];
		this.workers = [];
		this.closers = [];
		this.seeds = [];
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-case-'));
		this.network = `127.${64 + (process.pid % 150)}.${1 + (Math.floor(process.pid / 150) % 200)}`;
		process.once('exit', () => {
			for (const {child, isRunning} of this.processes) {
				if (isRunning) {
					child.kill('SIGKILL');
				}
			}
		});
	}

	addMachine(name, zone) {
		const machine = {name, zone, ip: `${this.network}.${10 + this.machines.length}`};
		this.machines.push(machine);
		return machine;
	}

	addProcess(role, machine) {
		const added = new RoleProcess(this, role, machine);
		this.processes.push(added);
		return added;
	}

	/** Starts three machines in three zones, each with a control process and an entry. */
	startCore(settings) {
		const machines = ['a', 'b', 'c'].map(zone => this.addMachine(`edge-${zone}-1`, zone));
		this.seeds = machines.map(machine => this.controlAddressOf(machine));
		for (const machine of machines) {
			this.addProcess('control', machine).start(settings);
			this.addProcess('entry', machine).start(settings);
		}

		return machines;
	}

	/** The settings of a process, as the template of the deploy file fills them in. */
	settingsOf(machine, role, disk) {
		const {ports} = this;
		const at = (owner, port) => role === owner ? `${machine.ip}:${port}` : '';
		return {
			nodeId: `${machine.name}/${role}`,
			failureDomain: machine.zone,
			failureDomains: [...new Set(this.machines.map(({zone}) => zone))],
			host: machine.ip,
			linkPort: ports.link,
			agentPort: ports.agent,
			callerAddress: at('entry', ports.caller),
			readinessAddress: at('entry', ports.readiness),
			controlAddress: at('control', ports.control),
			directoryAddress: at('entry', ports.directory),
			targetAddress: at('agent', ports.target),
			seeds: this.seeds,
			isFirstStart: true,
			faultTolerance: this.faultTolerance,
			dataFolder: role === 'control' ? disk : '',
			stopTimeoutMs: 8000,
			answerLifetimeMs: 5000,
			retryRatio: 0.2,
			retrySlack: 98,
			retryWindowMs: 10_000,
			maxMemoryMegabytes: bounds.memoryMb,
		};
	}

	processOf(role, machine) {
		return this.processes.find(candidate => candidate.role === role && candidate.machine === machine);
	}

	controlAddressOf({ip}) {
		return `${ip}:${this.ports.control}`;
	}

	/** Addresses at which the operator and workers call. */
	get controlAddresses() {
		return this.processes.filter(({role}) => role === 'control').map(({machine}) => this.controlAddressOf(machine));
	}

	/** Addresses at which clients call. */
	get entryAddresses() {
		return this.processes.filter(({role}) => role === 'entry').map(({machine}) => `${machine.ip}:${this.ports.caller}`);
	}

	async waitForEntries(timeoutMs = 15_000) {
		const endMs = performance.now() + timeoutMs;
		for (const {machine} of this.processes.filter(({role}) => role === 'entry')) {
			let status = 0;
			while (status !== 200) {
				if (performance.now() > endMs) {
					throw new CannotRunError(`The entry on ${machine.name} does not become ready.`);
				}

				({status} = await call(`${machine.ip}:${this.ports.readiness}`, {path: '/-/readyz'}));
				await sleep(100);
			}
		}
	}

	/** Sends a desired state as an operator does: the same again to the next daemon after no clear answer. Returns whether it was acknowledged in time. */
	async configure(state, timeoutMs = 15_000) {
		const endMs = performance.now() + timeoutMs;
		for (let turn = 0; performance.now() < endMs; turn++) {
			const addresses = this.controlAddresses;
			const address = addresses[turn % addresses.length];
			const {status, error} = await post(address, pathOf('Config', 'Replace'), state);
			this.record.add(`operator: version ${state.version} to ${address}: ${status || error}`);
			if (status === 200) {
				return true;
			}

			await sleep(300);
		}

		return false;
	}

	async close() {
		for (const close of this.closers) {
			await close();
		}

		for (const worker of this.workers) {
			worker.stop();
		}

		await Promise.all(this.processes.map(async started => started.kill()));
		if (process.env.KEEP !== '1') {
			fs.rmSync(this.folder, {recursive: true, force: true});
		}
	}
}

/** The case could not be run. */
export class CannotRunError extends Error {
	name = 'CannotRunError';
}

/** One HTTP call on a new channel; resolves to the status, headers and whole body, or to an error. */
export async function call(address, options) {
	const {method = 'GET', path: target, headers = {}, body = '', timeoutMs = callTimeoutMs} = options;
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			end({status: 0, error: 'noAnswerInTime'});
			request.destroy();
		}, timeoutMs);
		const end = result => {
			clearTimeout(timer);
			resolve(result);
		};

		const length = body.length > 0 ? {'content-length': Buffer.byteLength(body)} : {};
		const request = http.request({
			host,
			port: Number(port),
			method,
			path: target,
			agent: false,
			headers: {...headers, ...length},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				end(response.complete ? {status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString()} : {status: 0, error: 'brokenOff'});
			});
		});
		request.on('error', error => {
			end({status: 0, error: error.code ?? error.message});
		});
		request.end(body);
	});
}

/** The path of a call to the system. */
function pathOf(subject, verb) {
	return `/-/${subject}.${verb}`;
}

/** Calls one of the system's own interfaces with a JSON body. */
async function post(address, target, value) {
	return call(address, {
		method: 'POST',
		path: target,
		body: JSON.stringify(value),
		headers: {'content-type': 'application/json'},
	});
}

/** A worker: serves requests of its service, and reports itself. */
export class Worker {
	constructor(fleet, {machine, service, workMs = 20}) {
		this.fleet = fleet;
		this.id = `i-${machine.name}`;
		this.zone = machine.zone;
		this.ip = machine.ip;
		this.service = service;
		this.workMs = workMs;
		this.state = 'ready';
		this.sockets = new Set();
		/** The daemons that it calls, in this order. */
		this.controls = fleet.controlAddresses;
		fleet.workers.push(this);
	}

	get address() {
		return `${this.ip}:${this.fleet.ports.target}`;
	}

	/** Starts a new lifetime. */
	async start() {
		this.born = Date.now();
		this.sequence = 0;
		this.state = 'ready';
		this.server = http.createServer(async (request, response) => {
			await this.serve(request, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
			socket.on('error', () => undefined);
		});
		this.server.listen(this.fleet.ports.target, this.ip);
		await once(this.server, 'listening');
		this.fleet.record.add(`worker ${this.id} born=${this.born} starts at ${this.address}`);
		this.timer = setInterval(async () => {
			await this.beat();
		}, reportIntervalMs);
		await this.beat();
	}

	/** Ends the lifetime. */
	stop() {
		clearInterval(this.timer);
		this.server?.close();
		this.server = undefined;
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	/** Its status report, with the next sequence. */
	get report() {
		const report = fill('report', {
			SERVICE: this.service,
			ADDRESS: this.address,
			ZONE: this.zone,
			STATE: this.state,
		});
		this.sequence++;
		return {...report, sequence: this.sequence, born: this.born};
	}

	async beat() {
		return this.tell('Heartbeat', this.report, this.controls);
	}

	/** Calls one daemon after the other until one acknowledges within a second; returns its address. */
	async tell(name, body, addresses) {
		for (const address of addresses) {
			const {status} = await post(address, `${pathOf('Instances', name)}/${this.id}`, body);
			if (status >= 200 && status < 300) {
				return address;
			}
		}

		return undefined;
	}

	async serve(request, response) {
		if (!await isReadWhole(request)) {
			return;
		}

		const id = request.headers['attempt-id'] ?? '';
		const headers = {'instance-id': this.id, 'attempt-id': id};
		const expected = request.headers['expect-instance'] ?? this.id;
		if (expected !== this.id) {
			response.writeHead(421, {...headers, 'not-executed': '1'});
			response.end();
			return;
		}

		this.fleet.record.add(`run ${id} ${request.method} ${request.url} at ${this.id}`);
		await sleep(this.workMs);
		const body = Buffer.alloc(800, 'x');
		response.writeHead(200, {...headers, 'instance-signature': `${this.id}.${id}`, 'content-length': body.byteLength});
		response.end(body);
	}
}

/** Reads a request; resolves to whether it came whole. */
export async function isReadWhole(request) {
	return new Promise(resolve => {
		request.resume();
		request.on('end', () => {
			resolve(true);
		});
		request.on('error', () => {
			resolve(false);
		});
		request.on('close', () => {
			resolve(false);
		});
	});
}

let requestCount = 0;

/** One request of a client, on a new channel. */
export async function ask(fleet, address, options) {
	const {method = 'GET', path: target, body, deadlineMs = 2500, headers: more} = options;
	requestCount++;
	const id = `${process.pid.toString(16)}${requestCount.toString(16).padStart(8, '0')}`;
	const startedAtMs = performance.now();
	const headers = {
		...more,
		host: 'a.example',
		'attempt-id': id,
		'deadline-ms': String(deadlineMs),
	};
	const reply = await call(address, {
		method,
		path: target,
		body,
		headers,
		timeoutMs: deadlineMs,
	});
	fleet.record.add(`answer ${id} ${method} ${target} by ${address}: ${reply.status || reply.error} after ${Math.round(performance.now() - startedAtMs)} ms`);
	return {...reply, id};
}

/** A message of the pages with its names filled in. */
function fill(kind, names) {
	let text = JSON.stringify(messages[kind]);
	for (const [name, value] of Object.entries(names)) {
		text = text.replaceAll(name, value);
	}

	return JSON.parse(text);
}

/** A desired state with routes, each to one service. */
export function desiredState(version, routes) {
	const services = [...new Set(routes.map(({service}) => service))];
	return {
		version,
		routes: routes.map(({name, service, type = 'idempotent'}) => fill(type === 'streaming' ? 'stream' : 'route', {NAME: name, SERVICE: service, TYPE: type})),
		services: services.map(name => fill('service', {NAME: name})),
		limits: messages.limits,
	};
}

/** The share of true values. */
export function shareOf(values) {
	return values.filter(Boolean).length / Math.max(1, values.length);
}

/** Runs a case; `body` resolves to whether the rule was broken. Exits with 1 if it was, 0 if it held, and 2 if the case could not run. */
export async function runCase(caseUrl, body, options) {
	const record = new CaseRecord(caseUrl);
	const fleet = await Fleet.open(record, options);
	const results = ['held', 'broken', 'could not run'];
	let code = 2;
	const timer = setTimeout(() => {
		record.add('the case took too long');
		record.save();
		process.exit(2);
	}, caseLimitMs);
	try {
		code = await body(fleet, record) ? 1 : 0;
	} catch (error) {
		record.add(`could not run: ${error.stack}`);
	}

	record.add(`trouble=${hasTrouble} result: ${results[code]}`);
	process.stdout.write(`trouble=${hasTrouble} result: ${results[code]}\n`);
	await fleet.close();
	clearTimeout(timer);
	record.save();
	process.exit(code);
}
