/* eslint-disable camelcase, @stylistic/object-curly-newline -- the names of the platform */
/** A planned stop of an entry in a deployment whose `grace_s` is a fraction. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, hasTrouble, runCase} from '../lib-2/fleet.js';
import {objective} from '../lib-2/names.js';
import {Worker} from '../lib-2/worker.js';

const service = 'orders-app';
const graceSeconds = Number(process.env.GRACE ?? 7.5);
const workMs = 1500;
const requests = 6;
const minRunning = 3;

/** Time for which requests are handed to workers before the entry is stopped; less than a worker needs for one. */
const settleMs = 800;

await runCase(import.meta.url, async ({record, open}) => {
	const fleet = await open({controls: 3, entries: 2, bounds: {grace_s: graceSeconds}});
	const ran = new Set();
	const workers = Array.from({length: 3}, (_, index) => new Worker({
		fleet, record, id: `i-${index}`, host: fleet.hostOf(100 + index), zone: fleet.zones[index], service, async handle({worker, response, id, headers}) {
			ran.add(id);
			record.add(`${worker.id} runs ${id}`);
			await sleep(workMs);
			record.add(`${worker.id} answers ${id}${response.destroyed ? ', but the channel is closed' : ''}`);
			response.writeHead(200, headers);
			response.end('done');
		},
	}));
	await Promise.all(workers.map(async worker => worker.start()));
	await fleet.start();
	const isAcknowledged = await fleet.replace({
		version: 1,
		routes: [{name: 'r', host: 'a.example', path_prefix: '/order/', type: 'non_idempotent', timeout_ms: 5000, [objective]: 2000, priority: 1, service, max_attempts: 1, public: true}],
		services: [{name: service, health_path: '/healthz', max_conns: 130, protocol: 'h1', tls: false}],
		limits: {max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000},
	});
	if (!isAcknowledged || !await fleet.ready()) {
		return 2;
	}

	await sleep(4000);
	const [entry] = fleet.entries;
	const sending = Array.from({length: requests}, async (_, index) => {
		const id = `a-${index}`;
		const answer = await call({
			host: entry.host, port: fleet.ports.frontend, method: 'POST', path: '/order/x', body: 'order', timeoutMs: 5000, headers: {Host: 'a.example', 'attempt-id': id, 'deadline-ms': '5000'},
		});
		record.add(`client: ${id} got ${answer.status === 0 ? `no complete answer (${answer.error})` : answer.status}`);
		return {id, answer};
	});
	await sleep(settleMs);
	const runningCount = ran.size;
	record.add(`${runningCount} of ${requests} requests are being run`);
	if (hasTrouble) {
		entry.signal('SIGTERM');
	}

	const results = await Promise.all(sending);
	const lost = results.filter(({id, answer}) => ran.has(id) && answer.status === 0);
	record.add(`grace_s ${graceSeconds}: ${lost.length} requests that were passed on to a worker ended without a complete answer`);
	for (const worker of workers) {
		worker.crash();
	}

	if (runningCount < minRunning) {
		return 2;
	}

	return lost.length > 0 ? 1 : 0;
});
