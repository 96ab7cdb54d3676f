/** One request that crashes workers comes again and again, on a route that has just been added; others on this route share the first part of its prompt. */

import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, bounds, CannotRunError, desiredState, hasTrouble, isReadWhole, runCase, shareOf, Worker,
} from '../lib/fleet.js';

const workerCount = 6;
const eventCount = 6;
const eventIntervalMs = 50;

/** Time until a worker that has crashed is back. */
const backAfterMs = 2500;

/** The crashing request comes this often, this long after its last end. */
const crashingTries = 6;
const crashingPauseMs = 1500;

const settleMs = 5000;
const observedMs = 15_000;
const requestIntervalMs = 200;
const deadlineMs = 8000;
const crashingBody = 'the prompt that crashes workers';

/** A model worker: streams a few events, and crashes as it begins to run the crashing request. */
class ModelWorker extends Worker {
	async serve(request, response) {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		if (!await isReadWhole(request)) {
			return;
		}

		const id = request.headers['attempt-id'] ?? '';
		this.fleet.record.add(`run ${id} ${request.url} at ${this.id}`);
		if (chunks.join('') === crashingBody) {
			this.fleet.record.add(`worker ${this.id} born=${this.born} crashes`);
			this.stop();
			await sleep(backAfterMs);
			await this.start();
			return;
		}

		response.writeHead(200, {'attempt-id': id, 'instance-signature': `${this.id}.${id}`, 'content-type': 'text/event-stream'});
		for (let event = 1; event <= eventCount; event++) {
			response.write(`id: ${event}\ndata: x\n\n`);
			await sleep(eventIntervalMs);
		}

		response.end();
	}
}

let promptCount = 0;

/** One request of a route: the first part of its prompt is that of all requests on the route, the last one its own. */
async function send(fleet, turn, name, body) {
	promptCount++;
	const address = fleet.entryAddresses[turn % fleet.entryAddresses.length];
	const own = body === crashingBody ? 'c0ffee' : promptCount.toString(16);
	return ask(fleet, address, {
		method: 'POST',
		path: `/${name}/x`,
		body,
		deadlineMs,
		headers: {'prefix-hash': `${name === 'first' ? 'f1' : 'a7'}:40,${own}:600`, 'token-usage': '640,30', model: 'm'},
	});
}

/** Sends requests on both routes to all entries in turn; resolves to which were served. */
async function sendRequests(fleet, durationMs) {
	const served = {first: [], later: []};
	const pending = [];
	const sendOne = async (name, turn) => {
		const {status} = await send(fleet, turn, name, `prompt ${name} ${turn} ${performance.now()}`);
		served[name].push(status === 200);
	};

	const endMs = performance.now() + durationMs;
	for (let turn = 0; performance.now() < endMs; turn++) {
		pending.push(sendOne('first', turn), sendOne('later', turn));
		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	return served;
}

await runCase(import.meta.url, async (fleet, record) => {
	fleet.startCore();
	const routes = [{name: 'first', service: 'drafts', type: 'streaming'}, {name: 'later', service: 'drafts', type: 'streaming'}];
	if (!await fleet.configure(desiredState(1, routes.slice(0, 1)))) {
		throw new CannotRunError('The first desired state is not acknowledged.');
	}

	for (let index = 0; index < workerCount; index++) {
		await new ModelWorker(fleet, {machine: fleet.addMachine(`drafts-${index}`, 'abc'[index % 3]), service: 'drafts'}).start();
	}

	await fleet.waitForEntries();
	if (!await fleet.configure(desiredState(2, routes))) {
		throw new CannotRunError('The second desired state is not acknowledged.');
	}

	await sleep(bounds.configMs);
	const tries = hasTrouble ? crashingTries : 0;
	for (let turn = 0; turn < tries; turn++) {
		const {status} = await send(fleet, turn, 'later', crashingBody);
		record.add(`the crashing request, try ${turn + 1}: ${status}`);
		await sleep(crashingPauseMs);
	}

	await sleep(settleMs);
	const after = await sendRequests(fleet, observedMs);
	record.add(`after: ${after.first.length} requests on the first route, share served ${shareOf(after.first)}; ${after.later.length} on the later one, share served ${shareOf(after.later)}`);
	return after.later.length >= 20 && shareOf(after.later) < shareOf(after.first) / 4;
});
