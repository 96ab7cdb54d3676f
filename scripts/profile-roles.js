/**
Measures what each role costs in processor time. Control processes, one entry and three agents run as real processes of the bundled program
(`node scripts/bundle.js` first); the other agents of a group and the engines of all ranks run in this process. Expert demand moves to other experts every few seconds,
and streams are sent through the entry.

`node scripts/profile-roles.js [--seconds 15] [--ranks 63] [--seed 1] [--profiles FOLDER]` prints a line for each process: processor time at start-up,
and in the measured time. With a folder each process writes a `.cpuprofile` there.
*/

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {SilentLogger} from '@rattanspring/logger';
import {SystemClock} from '@rattanspring/voter-group';
import {FakeRankGroup} from '../packages/rank-agent/dist/fake-rank-group.js';
import {RankAgent} from '../packages/rank-agent/dist/rank-agent.js';

const {values: options} = parseArgs({options: {
	seconds: {type: 'string', default: '15'}, ranks: {type: 'string', default: '63'}, seed: {type: 'string', default: '1'}, profiles: {type: 'string'},
}});
const measuredMs = Number(options.seconds) * 1000;
const rankCount = Number(options.ranks);

/** The coordinator, the holding rank and one that does neither are processes of their own. */
const processRanks = [0, 1, 5];
const controlCount = 5;
const sets = 8;
const experts = 252;
const placesPerRank = 6;
const demandMovesEveryMs = 4000;
const requestsPerSecond = 6;
const eventsPerStream = 20;
const [linkPort, agentPort, targetPort, operatorPort, callerPort, readinessPort, directoryPort] = [7471, 7485, 7476, 7477, 7478, 7479, 7480];
const warmUpMs = 8000;
const ticksPerSecond = 100;

let randomState = Number(options.seed);

/** Linear congruential generator, so that a seed repeats the demand. */
function random() {
	randomState = ((randomState * 1_664_525) + 1_013_904_223) % (2 ** 32);
	return randomState / (2 ** 32);
}

const hostOfRank = rank => `127.1.0.${rank + 1}`;
const targetOfRank = rank => `${hostOfRank(rank)}:${targetPort}`;
const rankOfHost = host => Number(host.split('.').at(-1)) - 1;
const controlHosts = Array.from({length: controlCount}, (_, index) => `127.0.1.${index + 1}`);
const entryHost = '127.0.2.1';
const startedAtMs = performance.now();
const activeStreams = Array.from({length: rankCount}, () => 0);
let connectionCount = 0;
let requestCount = 0;

const group = new FakeRankGroup({
	ranks: rankCount,
	lists: Array.from({length: sets}, () => Array.from({length: rankCount}, (_, rank) => Array.from({length: placesPerRank}, (_, place) => ((rank * placesPerRank) + place) % experts))),
	copyMs: 15,
	stepMs: 5,
	orderDelayMs: () => 0,
	nextDelivery: () => 'prompt',
	nowMs: () => performance.now(),
});
const counts = Array.from({length: rankCount}, () => Array.from({length: sets * experts}, () => 0));

/** Adds selections: some experts of each set are hot, and others after each move. */
function addSelections() {
	const move = Math.floor((performance.now() - startedAtMs) / demandMovesEveryMs);
	for (const [rank, total] of counts.entries()) {
		for (let index = 0; index < total.length; index++) {
			const isHot = ((index * 31) + (move * 97)) % 12 === 0;
			total[index] += Math.floor(random() * (isHot ? 24 : 4));
		}

		group.setCounts(rank, [...total]);
	}
}

function stateOf(rank) {
	return {...group.state(rank), active: 2 + activeStreams[rank] + Math.floor(random() * 3), memoryShare: 0.3};
}

class LocalEngine {
	constructor(rank) {
		this.rank = rank;
	}

	async state() {
		return stateOf(this.rank);
	}

	async counts() {
		return group.counts(this.rank);
	}

	async experts() {
		return group.experts(this.rank);
	}

	async order(order) {
		return group.unfencedEngines[this.rank].order(order);
	}

	close() {
		// There is nothing to close.
	}
}

function reportOf(rank) {
	const {bornMs, active, queued, memoryShare, pace, step, rankPlace, mapVersion, preparedVersion, armed, heldStep} = stateOf(rank);
	return {
		born: bornMs, active, queued, kv_used: memoryShare * 1000, kv_total: 1000, pace, sequence: 1, step, group: {name: rankPlace.group, epoch: rankPlace.epoch, rank, state: 'open'}, size: rankCount, map: mapVersion, prepared: preparedVersion ?? null, armed: armed ?? null, held: heldStep ?? null,
	};
}

async function answerEngine(rank, request, body, response) {
	if (request.url === '/-/report') {
		sendJson(response, 200, reportOf(rank));
	} else if (request.url === '/-/picked') {
		sendJson(response, 200, group.counts(rank));
	} else if (request.url.startsWith('/-/picked')) {
		sendJson(response, 200, {map: group.experts(rank)});
	} else if (request.url === '/-/order') {
		const {operation, fencing_token: fencing, ...rest} = JSON.parse(body);
		const outcome = group.unfencedEngines[rank].order({kind: operation, fencing, ...rest});
		sendJson(response, {begun: 202, done: 200}[await outcome] ?? 409, {});
	} else {
		await answerCaller(rank, request, response);
	}
}

async function answerCaller(rank, request, response) {
	requestCount++;
	activeStreams[rank]++;
	response.writeHead(200, {'attempt-id': request.headers['attempt-id'], 'instance-signature': 's', 'content-type': 'text/event-stream'});
	for (let id = 1; id <= eventsPerStream; id++) {
		response.write(`id: ${id}\ndata: {"token":"${id}"}\n\n`);
		await sleep(60);
	}

	response.end();
	activeStreams[rank]--;
}

function sendJson(response, status, value) {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

const targets = http.createServer((request, response) => {
	const chunks = [];
	const rank = rankOfHost(request.socket.localAddress);
	request.on('data', chunk => chunks.push(chunk));
	request.on('end', () => {
		void answerEngine(rank, request, Buffer.concat(chunks).toString(), response);
	});
	if (!request.url.startsWith('/-/') && !request.socket.isCounted) {
		request.socket.isCounted = true;
		connectionCount++;
	}
});

const desiredState = {
	version: 1,
	routes: [{
		name: 'streams', host: 'a.example', path_prefix: '/s/', type: 'streaming', timeout_ms: 8000, slo_ms: 800, priority: 1, service: 'llm', max_attempts: 2, public: true, resumable: true,
	}],
	services: [{
		name: 'llm', health_path: '/healthz', max_conns: 100, engine: {
			slots: 8, kv_capacity: 1000, step_ms: 5, per_seq_ms: 0.5, context_per_k: 0.05, read_per_s: 61_200, stride: 6, sets, experts, placements: placesPerRank, spare: 3, expert_mb: 580, link_mbps: 400_000, expert_share: 0.85,
		},
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};

/** Cumulative processor time of a process in milliseconds. */
function processorMs(pid) {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1000 / ticksPerSecond;
}

/** Reads and writes of a process so far, and how often it woke up. */
function callsOf(pid) {
	const number = (file, name) => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'mu').exec(readFileSync(`/proc/${pid}/${file}`, 'utf8'))[1]);
	return {calls: number('io', 'syscr') + number('io', 'syscw'), wakeUps: number('status', 'voluntary_ctxt_switches')};
}

const folder = await mkdtemp(path.join(tmpdir(), 'profile-roles-'));
const program = fileURLToPath(new URL('../target/rattanspringd.js', import.meta.url));
const children = [];
process.on('exit', () => {
	for (const child of children) {
		child.process.kill('SIGKILL');
	}
});

/** Starts a role, and waits until it has logged that it started. */
async function start(role, name, settings) {
	const file = path.join(folder, `${name}.json`);
	await writeFile(file, JSON.stringify({
		nodeId: name, failureDomain: 'a', linkPort, agentPort, seeds: controlHosts.map(host => `${host}:${linkPort}`), isFirstStart: true, faultTolerance: 1, stopTimeoutMs: 8000, answerLifetimeMs: 5000, retryRatio: 0.2, retrySlack: 98, retryWindowMs: 10_000, maxMemoryMegabytes: 300, ...settings,
	}));
	const profiling = options.profiles ? ['--cpu-prof', '--cpu-prof-interval', '500', `--cpu-prof-dir=${options.profiles}`, `--cpu-prof-name=${name}.cpuprofile`] : [];
	const process_ = spawn(process.execPath, [...profiling, program, role], {stdio: ['ignore', 'pipe', 'inherit'], env: {...process.env, RATTANSPRING_SETTINGS: file}});
	const child = {name, process: process_, lines: 0, startMs: undefined, switches: []};
	children.push(child);
	await new Promise(resolve => {
		process_.stdout.on('data', chunk => {
			const text = chunk.toString();
			child.lines += text.split('\n').length - 1;
			child.switches.push(...[...text.matchAll(/event=mapSwitch .*?outcome=(\w+)(?:.*sinceChangeMs=(\d+))?/gu)].map(([, outcome, sinceChangeMs]) => ({outcome, sinceChangeMs: Number(sinceChangeMs)})));
			if (child.startMs === undefined && text.includes('event=started')) {
				child.startMs = processorMs(process_.pid);
				resolve();
			}
		});
	});
}

async function post(url, body) {
	try {
		return await fetch(url, {method: 'POST', body: JSON.stringify(body)});
	} catch {
		return undefined;
	}
}

const caller = new http.Agent({keepAlive: true});
let answeredCount = 0;

function sendStream(id) {
	const request = http.request({
		host: entryHost, port: callerPort, path: '/s/x', method: 'POST', agent: caller, headers: {
			host: 'a.example', 'attempt-id': String(id).padStart(16, '0'), 'deadline-ms': '8000', 'prefix-hash': `p${id}:40`,
		},
	}, response => {
		response.resume();
		response.on('end', () => {
			answeredCount += response.statusCode === 200 ? 1 : 0;
		});
	});
	request.on('error', () => undefined);
	request.end(`prompt ${id}`);
}

if (options.profiles) {
	await mkdir(options.profiles, {recursive: true});
}

targets.listen(targetPort, '0.0.0.0');
const timers = [setInterval(addSelections, 100), setInterval(() => {
	group.advance();
}, 2)];

for (const [index, host] of controlHosts.entries()) {
	await start('control', `control-${index}`, {host, controlAddress: `${host}:${operatorPort}`, dataFolder: path.join(folder, `data-${index}`)});
}

const operator = `http://${controlHosts[0]}:${operatorPort}`;
for (let status; status !== 200; await sleep(300)) {
	status = (await post(`${operator}/-/Config.Replace`, desiredState))?.status;
}

let sequence = 0;
const heartbeat = () => {
	sequence++;
	for (let rank = 0; rank < rankCount; rank++) {
		const {group: place, size} = reportOf(rank);
		void post(`http://${controlHosts[rank % controlCount]}:${operatorPort}/-/Instances.Heartbeat/t${rank}`, {
			service: 'llm', address: targetOfRank(rank), zone: 'a', slots: 8, state: 'ready', cold_left_ms: 0, sequence, born: 1, group: place, size,
		});
	}
};
heartbeat();
timers.push(setInterval(heartbeat, 1000));

const agents = [];
for (let rank = 0; rank < rankCount; rank++) {
	const settings = {targetAddress: targetOfRank(rank), host: hostOfRank(rank)};
	if (processRanks.includes(rank)) {
		await start('agent', `agent-${rank}`, settings);
	} else {
		const agent = new RankAgent({
			nodeId: `agent-${rank}`, failureDomain: 'a', linkAddress: `${settings.host}:${agentPort}`, targetAddress: settings.targetAddress, seeds: () => controlHosts.map(host => `${host}:${linkPort}`), engineClient: new LocalEngine(rank), createEngineClient: address => new LocalEngine(rankOfHost(address.split(':')[0])), engine: () => undefined, onVersion() {}, clock: new SystemClock(), logger: new SilentLogger(),
		});
		agents.push(agent);
		await agent.start();
	}
}

await start('entry', 'entry', {
	host: entryHost, callerAddress: `${entryHost}:${callerPort}`, readinessAddress: `${entryHost}:${readinessPort}`, directoryAddress: `${entryHost}:${directoryPort}`, dataFolder: '',
});
for (let isReady = false; !isReady; await sleep(100)) {
	isReady = (await fetch(`http://${entryHost}:${readinessPort}/-/readyz`).catch(() => undefined))?.status === 200;
}

let sentCount = 0;
timers.push(setInterval(() => {
	sendStream(++sentCount);
}, 1000 / requestsPerSecond));
await sleep(warmUpMs);

for (const child of children) {
	child.beforeMs = processorMs(child.process.pid);
	child.before = callsOf(child.process.pid);
	child.lines = 0;
	child.switches = [];
}

const beforeMs = performance.now();
const before = {requestCount, connectionCount};
await sleep(measuredMs);
const elapsedMs = performance.now() - beforeMs;
for (const child of children) {
	const share = (processorMs(child.process.pid) - child.beforeMs) / elapsedMs;
	const {calls, wakeUps} = callsOf(child.process.pid);
	const perSecond = (after, before) => ((after - before) * 1000 / elapsedMs).toFixed(0);
	console.log(`process=${child.name} startProcessorMs=${child.startMs} corePercent=${(share * 100).toFixed(2)} logLines=${child.lines} callsPerSecond=${perSecond(calls, child.before.calls)} wakeUpsPerSecond=${perSecond(wakeUps, child.before.wakeUps)}`);
}

const {switches} = children.find(({name}) => name === 'agent-0');
const sinceChange = switches.map(({sinceChangeMs}) => sinceChangeMs).filter(ms => Number.isFinite(ms)).toSorted((left, right) => left - right);
console.log(`seed=${options.seed} ranks=${rankCount} seconds=${(elapsedMs / 1000).toFixed(1)} requests=${requestCount - before.requestCount} newConnections=${connectionCount - before.connectionCount} answered=${answeredCount} switches=${switches.filter(({outcome}) => outcome === 'switched').length} medianSinceChangeMs=${sinceChange[Math.floor(sinceChange.length / 2)]}`);
for (const timer of timers) {
	clearInterval(timer);
}

for (const agent of agents) {
	agent.close();
}

// The program ends with its handler of SIGTERM, which lets it write its profile.
await Promise.all(children.map(async ({process: process_}) => {
	const hasEnded = once(process_, 'exit');
	process_.kill('SIGTERM');
	await Promise.race([hasEnded, sleep(12_000, undefined, {ref: false})]);
	process_.kill('SIGKILL');
}));
await rm(folder, {recursive: true, force: true});
process.exit(0);
