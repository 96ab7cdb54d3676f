/* eslint-disable camelcase, @stylistic/object-curly-newline -- the names of the platform */
/** A voter that is killed while it takes over a snapshot that conflicts with its log: what it acknowledges afterwards is gone after its next start. */

import fs from 'node:fs';
import {mkdir, rm} from 'node:fs/promises';
import http from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, hasTrouble, nowMs, runCase} from '../lib-2/fleet.js';
import {objective, readPath, replacePath} from '../lib-2/names.js';

const service = 'orders-app';
const stabilityMs = 3000;
const catchUpMs = 4000;

/** Time for which the first two processes are away; the pages say within a second. */
const backWithinMs = 700;

/** Size of a large desired state, 2.2 MB; the site's `body_bytes` allow 4 MiB. */
const routeCount = 270;
const prefixCharacters = 8000;

function documentOf(version) {
	const isLarge = version > 1 && version < 8;
	return {
		version,
		routes: Array.from({length: isLarge ? routeCount : 1}, (_, index) => ({
			name: `r-${index}`, host: 'a.example', path_prefix: `/${index}-${version}-${'x'.repeat(isLarge ? prefixCharacters : 1)}/`, type: 'idempotent', timeout_ms: 1200, [objective]: 200, priority: 1, service, max_attempts: 1,
			public: true,
		})),
		services: [{name: service, health_path: '/healthz', max_conns: 130, protocol: 'h1', tls: false}],
		limits: {max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000},
	};
}

/** The control process that became the leader last, by the logs. */
function leaderOf(fleet) {
	const terms = fleet.controls.map(control => Math.max(0, ...[...control.log.matchAll(/event=replicaRoleChanged .*role=leader term=(\d+)/g)].map(([, term]) => Number(term))));
	return fleet.controls[terms.indexOf(Math.max(...terms))];
}

/** Begins an order of the operator, whose last byte is sent by `finish`. */
function beginOrder(host, port, body) {
	const request = http.request({host, port, method: 'POST', path: replacePath, agent: false, headers: {'Content-Type': 'application/json', 'Content-Length': String(body.length)}});
	request.write(body.slice(0, -1));
	const answer = new Promise(resolve => {
		request.on('response', response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('error', error => {
			resolve(error.message);
		});
	});
	return {
		answer, finish() {
			request.end(body.slice(-1));
		},
	};
}

/** What the operator reads back: the newest version that any daemon answers with, asked for some seconds. */
async function readBack(fleet, record) {
	let newest;
	for (const untilMs = nowMs() + stabilityMs + 12_000; nowMs() < untilMs;) {
		for (const {host} of fleet.controls) {
			const answer = await call({host, port: fleet.ports.control, path: readPath, timeoutMs: 2000});
			if (answer.status === 200) {
				const {version} = JSON.parse(answer.text);
				newest = Math.max(newest ?? 0, version);
			}
		}

		await sleep(500);
	}

	record.add(`the operator reads back version ${newest}`);
	return newest;
}

/** Starts a control process, and kills it as soon as it has replaced its snapshot: it looks for that without a pause, as the next step follows in a millisecond or so. */
async function killAtSnapshot(fleet, control, record) {
	const folder = path.join(fleet.folder, `${control.options.name}.disk`, 'log');
	const file = path.join(folder, 'snapshot');
	const {ino} = fs.statSync(file);
	const replaced = new Promise(resolve => {
		const watcher = fs.watch(folder, (_, name) => {
			if (name !== 'snapshot.new') {
				return;
			}

			watcher.close();
			for (const untilMs = nowMs() + 2000; fs.statSync(file).ino === ino && nowMs() < untilMs;) {
				// The file is the old one.
			}

			control.signal('SIGKILL');
			resolve(true);
		});
	});
	await control.start();
	const isReplaced = await Promise.race([replaced, sleep(15_000, false)]);
	await sleep(500);
	const segments = fs.readdirSync(folder).filter(name => name.startsWith('segment'));
	record.add(`${control.name} has taken over a snapshot: ${isReplaced}; its log has ${segments.length} files`);
	return isReplaced;
}

await runCase(import.meta.url, async ({record, open}) => {
	const fleet = await open({controls: 3, entries: 0});
	await fleet.start();
	if (!await fleet.replace(documentOf(1))) {
		return 2;
	}

	await sleep(stabilityMs);
	const first = leaderOf(fleet);
	const others = fleet.controls.filter(control => control !== first);
	record.add(`the leader is ${first.name}`);
	if (hasTrouble) {
		// All processes of the core are killed, the leader last, while six orders are in progress.
		const orders = [2, 3, 4, 5, 6, 7].map(version => beginOrder(first.host, fleet.ports.control, JSON.stringify(documentOf(version))));
		await sleep(1000);
		for (const control of others) {
			control.signal('SIGKILL');
		}

		for (const order of orders) {
			order.finish();
		}

		await sleep(backWithinMs);
		await first.kill();
		const answers = await Promise.all(orders.map(async ({answer}) => answer));
		record.add(`six orders have no clear response: ${answers.join(', ')}`);
		await fleet.start(others);
	}

	for (const version of [2, 3, 4, 5, 6, 7]) {
		if (!await fleet.replace(documentOf(version))) {
			return 2;
		}
	}

	if (hasTrouble) {
		if (!await killAtSnapshot(fleet, first, record)) {
			return 2;
		}

		await first.start();
		await sleep(catchUpMs + 1000);
	}

	await fleet.replace(documentOf(8));
	const [staying, down] = others;
	if (hasTrouble) {
		await sleep(stabilityMs);
		down.signal('SIGKILL');
	}

	if (!await fleet.replace(documentOf(9))) {
		return 2;
	}

	if (hasTrouble) {
		// The final fault: one disk is lost, and all others are without power for a moment.
		await Promise.all(fleet.controls.map(async control => control.kill()));
		const disk = `${fleet.folder}/${staying.options.name}.disk`;
		await rm(disk, {recursive: true});
		await mkdir(disk);
		record.add(`all are down; the disk of ${staying.name} is lost`);
		await sleep(1200);
		await fleet.start();
	}

	const version = await readBack(fleet, record);
	if (version === undefined) {
		return hasTrouble ? 1 : 2;
	}

	return version < 9 ? 1 : 0;
});
