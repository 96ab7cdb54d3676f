/** Clients of three entries, while one answer of one model worker holds a long run of spaces. */

import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	call, desiredState, Fleet, route, Worker,
} from '../lib-3/fleet.js';

const isTroubled = process.env.TROUBLE !== '0';

/** Length of the run of spaces in the one spoiled event. */
const runLength = 160_000;

/** The spoiled answer is this one of its worker: one in fifty is spoiled. */
const spoiledAnswer = 50;

const loadMs = 34_000;
const timeoutMs = 1200;
const timeLimitMs = 2500;
const graceMs = 500;

const record = [];
const startedAtMs = performance.now();
const note = text => {
	record.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
};

const answers = new Map();

/** A sound model worker: a stream of events with increasing ids. One of them spoils one answer. */
async function answerStream({worker, request, response}) {
	const id = request.headers['attempt-id'];
	response.writeHead(200, {'attempt-id': id, 'instance-signature': `sig-${id}`, 'content-type': 'text/event-stream'});
	const count = (answers.get(worker.id) ?? 0) + 1;
	answers.set(worker.id, count);
	const isSpoiled = isTroubled && worker.id === 'i-llm-1' && count === spoiledAnswer;
	for (let event = 1; event <= 10 && !response.destroyed; event++) {
		const spoils = isSpoiled && event === 5;
		if (spoils) {
			note(`worker ${worker.id} spoils event ${event} of ${id}: a run of ${runLength} spaces`);
		}

		response.write(`id: ${event}\ndata: word${spoils ? ' '.repeat(runLength) : ''} ${event}\n\n`);
		await sleep(50);
	}

	response.end();
}

/** A sound application worker. */
async function answerPlace({worker, request, response}) {
	const id = request.headers['attempt-id'];
	note(`worker ${worker.id} runs ${id}`);
	await sleep(20);
	const body = JSON.stringify({placed: id});
	response.writeHead(200, {'attempt-id': id, 'instance-signature': `sig-${id}`, 'content-length': body.length});
	response.end(body);
}

const document = desiredState({
	version: 3,
	routes: [
		route({
			name: 'r-draft', pathPrefix: '/draft/', type: 'streaming', service: 'llm', resumable: true, gapSloMs: 120,
		}),
		route({
			name: 'r-place', pathPrefix: '/place/', type: 'non_idempotent', service: 'desk', timeoutMs, sloMs: 150, maxAttempts: 1, priority: 2,
		}),
	],
	services: [{name: 'llm'}, {name: 'desk'}],
	tenants: [{name: 'tenant-a', apiKeys: ['key-a'], priority: 1}],
});

const results = [];
let sent = 0;

async function place(fleet, entry) {
	const id = `place-${++sent}`;
	note(`client sends ${id} to ${entry.host}`);
	const answer = await call({
		...fleet.frontendOf(entry), method: 'POST', path: '/place/x', timeoutMs: timeLimitMs, body: '{"deposit": 1}',
		headers: {
			'attempt-id': id, host: 'desk.example', authorization: 'Bearer key-a', 'deadline-ms': String(timeLimitMs),
		},
	});
	note(`client gets ${answer.isTimedOut ? 'no answer within its time limit' : answer.status ?? answer.error} for ${id} after ${answer.tookMs} ms`);
	results.push({entry: entry.host, id, ...answer});
}

async function draft(fleet, entry) {
	const id = `draft-${++sent}`;
	const answer = await call({
		...fleet.frontendOf(entry), method: 'POST', path: '/draft/x', timeoutMs: 8000, body: 'prompt',
		headers: {
			'attempt-id': id, host: 'desk.example', authorization: 'Bearer key-a', 'deadline-ms': '8000', model: 'm', 'token-usage': '800,140',
		},
	});
	note(`client gets stream ${answer.status ?? answer.error ?? 'without an answer'}, ${answer.isWhole ? 'whole' : 'not whole'}, for ${id} of ${entry.host} after ${answer.tookMs} ms`);
}

async function run(fleet) {
	await fleet.replace(document);
	for (let index = 1; index <= 4; index++) {
		await fleet.addWorker(new Worker({
			id: `i-llm-${index}`, service: 'llm', host: `127.0.3.${index}`, zone: 'zone-a', answer: answerStream,
		}));
	}

	for (let index = 1; index <= 2; index++) {
		await fleet.addWorker(new Worker({
			id: `i-desk-${index}`, service: 'desk', host: `127.0.4.${index}`, zone: 'zone-b', answer: answerPlace,
		}));
	}

	await fleet.ready();
	await sleep(2000);
	note('load begins');
	const beganAtMs = performance.now();
	const running = [];
	let silent = 0;
	for (let turn = 0; performance.now() - beganAtMs < loadMs; turn++) {
		for (const entry of fleet.entries) {
			running.push(place(fleet, entry), draft(fleet, entry));
		}

		if (turn % 4 === 0) {
			running.push((async () => {
				const states = await Promise.all(fleet.entries.map(async entry => fleet.isReady(entry)));
				for (const [index, isReady] of states.entries()) {
					if (!isReady) {
						silent++;
						note(`${fleet.entries[index].host} does not say within a second that it is ready`);
					}
				}
			})());
		}

		await sleep(250);
	}

	await Promise.all(running);
	const pending = results.filter(({tookMs}) => tookMs > timeoutMs);
	const unanswered = results.filter(({tookMs, isTimedOut}) => isTimedOut || tookMs > timeoutMs + graceMs);
	const byEntry = fleet.entries.map(({host}) => `${host} ${unanswered.filter(({entry}) => entry === host).length}`).join(', ');
	note(`${results.length} requests of the route with a timeout of ${timeoutMs} ms; ${pending.length} lasted longer; ${unanswered.length} had no final answer ${graceMs} ms after it (${byEntry}); ${silent} readiness probes in a second each without a 200`);
	return unanswered.length >= 8 && unanswered.length > pending.length / 4 ? 1 : 0;
}

let exitCode = 2;
let fleet;
try {
	fleet = await Fleet.start();
	exitCode = await run(fleet);
} catch (error) {
	note(`the case could not run: ${error.stack}`);
} finally {
	await fleet?.close();
}

note(`exit ${exitCode}: ${['the rule held', 'the rule was broken', 'the case could not run'][exitCode]}`);
await writeFile(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
process.stdout.write(`${record.slice(-3).join('\n')}\n`);
process.exit(exitCode);
