/** Another writer reports a service that isn't named in the desired state, at the addresses of sound workers. */

import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	call, desiredState, Fleet, heartbeatPath, route, Worker,
} from '../lib-3/fleet.js';

const isTroubled = process.env.TROUBLE !== '0';

const loadMs = 30_000;
const troubleAfterMs = 3000;
const timeLimitMs = 2500;

const record = [];
const startedAtMs = performance.now();
const note = text => {
	record.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
};

/** A sound application worker. */
async function answerCall({worker, request, response}) {
	const id = request.headers['attempt-id'];
	note(`worker ${worker.id} runs ${id}`);
	await sleep(20);
	const body = JSON.stringify({of: id});
	response.writeHead(200, {'attempt-id': id, 'instance-signature': `sig-${id}`, 'content-length': body.length});
	response.end(body);
}

const kinds = ['lookup', 'booking'];

const document = desiredState({
	version: 3,
	routes: kinds.map(kind => route({
		name: `r-${kind}`, pathPrefix: `/${kind}/`, type: 'idempotent', service: `${kind}-app`, timeoutMs: 1200, sloMs: 150, priority: 2,
	})),
	services: kinds.map(kind => ({name: `${kind}-app`})),
	tenants: [{name: 'tenant-a', apiKeys: ['key-a'], priority: 1}],
});

const results = [];

async function ask(fleet, entry, kind) {
	const id = `${kind}-${results.length + 1}`;
	const result = {kind, status: undefined};
	results.push(result);
	const {status, isWhole, error} = await call({
		...fleet.frontendOf(entry), method: 'GET', path: `/${kind}/x`, timeoutMs: timeLimitMs,
		headers: {
			'attempt-id': id, host: 'desk.example', authorization: 'Bearer key-a', 'deadline-ms': String(timeLimitMs),
		},
	});
	result.status = isWhole ? status : undefined;
	note(`client gets ${status ?? error ?? 'no answer'} for ${id} of ${entry.host}`);
}

/** The report of the other writer. */
async function misreport(fleet, worker) {
	const [control] = fleet.controls;
	const report = {
		service: 'archive-app', address: `${worker.host}:${worker.port}`, zone: worker.zone, version: 'v1', slots: 8, state: 'ready', sequence: 1, born: Date.now(),
	};
	const {status} = await call({
		host: control.host, port: fleet.controlPort, method: 'POST', path: `${heartbeatPath}/i-other-${worker.id}`, body: JSON.stringify(report),
	});
	note(`another writer reports archive-app, which no desired state names, at the address of ${worker.id}, once; it gets ${status}`);
}

async function run(fleet) {
	await fleet.replace(document);
	const workers = [];
	for (const [place, kind] of kinds.entries()) {
		for (const index of [1, 2, 3]) {
			workers.push(await fleet.addWorker(new Worker({
				id: `i-${kind}-${index}`, service: `${kind}-app`, host: `127.0.${4 + place}.${index}`, zone: `zone-${'abc'[index - 1]}`, answer: answerCall,
			})));
		}
	}

	await fleet.ready();
	await sleep(2000);
	note('load begins');
	const beganAtMs = performance.now();
	const running = [];
	let isReported = false;
	for (let turn = 0; performance.now() - beganAtMs < loadMs; turn++) {
		if (isTroubled && !isReported && performance.now() - beganAtMs > troubleAfterMs) {
			isReported = true;
			await Promise.all(workers.filter(({id}) => id.startsWith('i-lookup')).map(async worker => misreport(fleet, worker)));
		}

		for (const entry of fleet.entries) {
			running.push(ask(fleet, entry, kinds[turn % kinds.length]));
		}

		await sleep(100);
	}

	await Promise.all(running);
	const servedShare = asked => asked.filter(({status}) => status === 200).length / asked.length;
	const all = servedShare(results);
	const shares = kinds.map(kind => ({kind, share: servedShare(results.filter(result => result.kind === kind))}));
	note(`served of all ${results.length} requests: ${all.toFixed(3)}; ${shares.map(({kind, share}) => `${kind} ${share.toFixed(3)}`).join(', ')}`);
	return shares.some(({share}) => share < all / 4) ? 1 : 0;
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
process.stdout.write(`${record.slice(-2).join('\n')}\n`);
process.exit(exitCode);
