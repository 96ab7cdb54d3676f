/* eslint-disable camelcase, no-void, @stylistic/object-curly-newline -- the names of the platform; results that nobody waits for */
/** Starts the programs of the deploy file as processes on loopback addresses, with settings rendered from the project's own template. Uses nothing of the project's code. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import fs from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {replacePath, settingsVariable} from './names.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
export const hasTrouble = process.env.TROUBLE !== '0';
const startedAtMs = performance.now();

/** Milliseconds since the start of the script. */
export const nowMs = () => Math.round(performance.now() - startedAtMs);

/** Writes what was sent, answered and run. */
class Record {
	#lines = [];
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		this.add(`TROUBLE=${hasTrouble ? 1 : 0}`);
	}

	add(text) {
		this.#lines.push(`${String(nowMs()).padStart(7)} ms  ${text}`);
	}

	write() {
		fs.writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

function valueOf(scopes, name) {
	if (name === '.') {
		return scopes.at(-1).value;
	}

	if (name === '@') {
		return scopes.at(-1).key;
	}

	for (const {value} of scopes.toReversed()) {
		let found = value;
		for (const key of name.split('.')) {
			found = found?.[key];
		}

		if (found !== undefined) {
			return found;
		}
	}

	return undefined;
}

function textOf(value) {
	if (value === undefined || value === null) {
		return '';
	}

	if (Array.isArray(value)) {
		return value.join(',');
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills in a template as DEPLOY.md says: values, `|json`, sections and the comma between entries. */
function render(template, scopes, isLast = true) {
	const match = /{{#([^}]+)}}([\S\s]*?){{\/\1}}/.exec(template);
	if (match) {
		const value = valueOf(scopes, match[1]);
		const entries = Object.entries(value ?? {});
		const inner = entries.map(([key, entry], index) => render(match[2], [...scopes, {key, value: entry}], index === entries.length - 1)).join('');
		const rest = template.slice(match.index + match[0].length);
		return render(template.slice(0, match.index), scopes, isLast) + inner + render(rest, scopes, isLast);
	}

	return template.replaceAll(/{{([^}]+)}}/g, (_, name) => {
		if (name === ',') {
			return isLast ? '' : ',';
		}

		const [key, filter] = name.split('|');
		const value = valueOf(scopes, key);
		return filter === 'json' ? JSON.stringify(value ?? null) : textOf(value);
	});
}

async function isFree(host, port) {
	const server = net.createServer();
	try {
		server.listen(port, host);
		await once(server, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
}

const running = new Set();
process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => {
		process.exit(2);
	});
}

/** One process of a role. */
class RoleProcess {
	lives = 0;
	hasEndedByItself = false;
	child;

	constructor(fleet, options) {
		this.fleet = fleet;
		this.options = options;
		this.host = options.host;
	}

	get name() {
		return `${this.options.name}/${this.options.role}`;
	}

	get logFile() {
		return path.join(this.fleet.folder, `${this.options.name}-${this.options.role}.log`);
	}

	/** What the process has written in all its lives. */
	get log() {
		return fs.readFileSync(this.logFile, 'utf8');
	}

	async start() {
		const {fleet, host} = this;
		const {role, name} = this.options;
		const {ports} = fleet;
		const file = path.join(fleet.folder, `${name}-${role}.json`);
		await writeFile(file, render(fleet.template, [{value: this.#settings()}]));
		this.lives++;
		const [program, ...words] = fleet.commands[role].split(' ');
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, [settingsVariable]: file},
		});
		const log = fs.createWriteStream(this.logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		running.add(child);
		this.child = child;
		this.isExpectedToEnd = false;
		fleet.record.add(`process ${this.name} is started at ${host}, ports ${ports.frontend} to ${ports.range + 15}`);
		child.on('exit', (code, signal) => {
			running.delete(child);
			if (this.child === child) {
				this.child = undefined;
			}

			fleet.record.add(`process ${this.name} has ended: code ${code}, signal ${signal}`);
			this.hasEndedByItself ||= !this.isExpectedToEnd;
		});
	}

	signal(signal) {
		this.isExpectedToEnd ||= signal === 'SIGTERM' || signal === 'SIGKILL';
		this.fleet.record.add(`process ${this.name} gets ${signal}`);
		this.child?.kill(signal);
	}

	async kill() {
		const {child} = this;
		if (child) {
			this.isExpectedToEnd = true;
			const ended = once(child, 'exit');
			child.kill('SIGKILL');
			await ended;
		}
	}

	#settings() {
		const {fleet, host, lives} = this;
		const {name, role, zone, app} = this.options;
		const {ports, bounds, zones, seeds, folder} = fleet;
		return {
			node_name: name,
			role,
			machine_class: role === 'agent' ? 'side' : 'edge',
			ip: host,
			zone,
			zones: Object.fromEntries(zones.map(each => [each, 'region'])),
			listen: {
				...(role === 'entry' && {frontend: `${host}:${ports.frontend}`, readiness: `${host}:${ports.readiness}`, directory: `${host}:${ports.directory}`}),
				...(role === 'control' && {control: `${host}:${ports.control}`}),
			},
			port_range: [ports.range, ports.range + 15],
			seeds: seeds.map(seed => `${seed}:${ports.control}`),
			bootstrap: lives === 0,
			...(app && {app}),
			limits: {memory_mb: 350, max_fds: 4100},
			...(role === 'control' && {data_dir: path.join(folder, `${name}.disk`)}),
			fault_tolerance: {machines: 1, zones: 0, regions: 0},
			bounds,
		};
	}
}

/** A small deployment: control processes, entries and agents. Each machine has an address of its own, and the ports are the same on all. The first entry is on the machine `firstEntry`. */
class Fleet {
	zones = ['zone-a', 'zone-b', 'zone-c'];
	agents = [];

	static async create({record, controls = 3, entries = 1, firstEntry = 0, bounds = {}}) {
		const fleet = new Fleet();
		fleet.record = record;
		fleet.folder = await mkdtemp(path.join(tmpdir(), 'review-'));
		fleet.bounds = {grace_s: 8, ttl_max_s: 5, retry_ratio: 0.2, retry_slack: 98, retry_window_s: 10, ...bounds};
		fleet.template = fs.readFileSync(path.join(root, 'deploy/settings.json.template'), 'utf8');
		const deploy = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
		fleet.commands = Object.fromEntries([...deploy.matchAll(/\[roles\.(\w+)]\s+run = "([^"]+)"/g)].map(([, role, run]) => [role, run]));
		await fleet.#choosePorts();
		const machine = (index, role) => new RoleProcess(fleet, {name: `edge-${index + 1}`, role, host: fleet.hostOf(10 + index), zone: fleet.zones[index % 3]});
		fleet.controls = Array.from({length: controls}, (_, index) => machine(index, 'control'));
		fleet.entries = Array.from({length: entries}, (_, index) => machine(firstEntry + index, 'entry'));
		fleet.seeds = fleet.controls.slice(0, 3).map(({host}) => host);
		return fleet;
	}

	get processes() {
		return [...this.controls, ...this.entries, ...this.agents];
	}

	hostOf(last) {
		return `${this.network}.${last}`;
	}

	/** An agent beside each of these workers. */
	addAgents(workers) {
		this.agents = workers.map(({host, zone}, index) => new RoleProcess(this, {name: `side-${index + 1}`, role: 'agent', host, zone, app: `${host}:${this.ports.app}`}));
	}

	async start(processes = this.processes) {
		await Promise.all(processes.map(async each => each.start()));
	}

	/** Sends a desired state until it is acknowledged, as the operator does. */
	async replace(document) {
		const body = JSON.stringify(document);
		for (let turn = 0; turn < 200; turn++) {
			const {host} = this.controls[turn % this.controls.length];
			const answer = await call({host, port: this.ports.control, method: 'POST', path: replacePath, body, headers: {'Content-Type': 'application/json'}, timeoutMs: 1500});
			if (answer.status === 200) {
				this.record.add(`desired state ${document.version} is acknowledged by ${host}`);
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	/** Waits until these entries, or all, answer their readiness probe with 200. */
	async ready(timeoutMs = 15_000, entries = this.entries) {
		const untilMs = nowMs() + timeoutMs;
		while (nowMs() < untilMs) {
			const answers = await Promise.all(entries.map(async ({host}) => call({host, port: this.ports.readiness, path: '/-/readyz', timeoutMs: 500})));
			if (answers.every(({status}) => status === 200)) {
				this.record.add('the entries are ready');
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	async close() {
		await Promise.all(this.processes.map(async each => each.kill()));
		if (process.env.KEEP === '1') {
			console.log(`logs and disks: ${this.folder}`);
		} else {
			await rm(this.folder, {recursive: true, force: true});
		}
	}

	async #choosePorts() {
		for (;;) {
			const base = 21_000 + (Math.floor(Math.random() * 380) * 30);
			this.network = `127.${60 + Math.floor(Math.random() * 60)}.${Math.floor(Math.random() * 250)}`;
			this.ports = {frontend: base, readiness: base + 1, control: base + 2, directory: base + 3, app: base + 4, range: base + 10};
			const checks = await Promise.all(Array.from({length: 20}, async (_, index) => isFree(`${this.network}.10`, base + index)));
			if (checks.every(Boolean)) {
				return;
			}
		}
	}
}

/** One call on a channel of its own; status 0 if no whole answer came. */
export async function call({host, port, method = 'GET', path: target, body, headers = {}, timeoutMs = 2000, onHead}) {
	return new Promise(resolve => {
		const length = body === undefined ? {} : {'Content-Length': String(new TextEncoder().encode(body).byteLength)};
		const request = http.request({host, port, method, path: target, agent: false, headers: {...headers, ...length}}, response => {
			onHead?.(response);
			let text = '';
			response.setEncoding('utf8');
			response.on('data', part => {
				text += part;
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				resolve(response.complete ? {status: response.statusCode, text, headers: response.headers} : {status: 0, text, begun: response.statusCode, error: 'broken off'});
			});
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('given up'));
		}, timeoutMs);
		request.on('close', () => {
			clearTimeout(timer);
		});
		request.on('error', error => {
			resolve({status: 0, text: '', error: error.message});
		});
		request.end(body);
	});
}

/** A worker's calls to the control processes: a status report about every 1.2 s, to the next daemon if one doesn't acknowledge it within a second. */
export class Reports {
	#sequence = 0;
	#turn = 0;
	#timer;

	/** With `picksAnew` each call goes to the next daemon, else only a call after one that was not acknowledged. The first one is that at `firstPick` in the list. */
	constructor(fleet, {id, describe, picksAnew = false, firstPick = 0}) {
		this.fleet = fleet;
		this.id = id;
		this.describe = describe;
		this.picksAnew = picksAnew;
		this.#turn = firstPick;
	}

	start() {
		this.stop();
		this.#timer = setInterval(() => {
			void this.send();
		}, 1200);
		void this.send();
	}

	stop() {
		clearInterval(this.#timer);
	}

	/** Sends a status report; returns the daemon that has acknowledged it. */
	async send() {
		return this.#call('Heartbeat', () => JSON.stringify({...this.describe(), sequence: ++this.#sequence}));
	}

	/** Says that the worker is gone; returns the daemon that has acknowledged it. */
	async deregister() {
		this.stop();
		const {born} = this.describe();
		return this.#call('Deregister', () => JSON.stringify({born, sequence: ++this.#sequence}));
	}

	async #call(name, bodyOf) {
		const {fleet, id, picksAnew} = this;
		this.#turn += picksAnew ? 1 : 0;
		for (let tries = 0; tries < fleet.controls.length; tries++) {
			const {host} = fleet.controls[this.#turn % fleet.controls.length];
			const answer = await call({host, port: fleet.ports.control, method: 'POST', path: `/-/Instances.${name}/${id}`, body: bodyOf(), headers: {'Content-Type': 'application/json'}, timeoutMs: 1000});
			if (answer.status === 200) {
				return host;
			}

			this.#turn++;
		}

		return undefined;
	}
}

const meanings = ['the rule held', 'the rule was broken', 'the case could not run'];

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Ends all processes. */
export async function runCase(folderUrl, body) {
	const record = new Record(fileURLToPath(new URL('.', folderUrl)));
	let code = 2;
	let fleet;
	const timer = setTimeout(() => {
		record.add('the case took too long');
		record.write();
		process.exit(2);
	}, 118_000);
	try {
		code = await body({
			record, async open(options) {
				fleet = await Fleet.create({record, ...options});
				return fleet;
			},
		});
	} catch (error) {
		record.add(`could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	await fleet?.close();
	record.add(`exit code ${code}: ${meanings[code]}`);
	record.write();
	console.log(`exit code ${code}: ${meanings[code]}, ${nowMs()} ms`);
	process.exit(code);
}
