/** A deregistration that a partition has held up arrives once its sender has started again under its id. */

import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, bounds, CannotRunError, desiredState, hasTrouble, runCase, shareOf, Worker,
} from '../lib/fleet.js';

/** Length of the cut between workers and one daemon. */
const cutMs = 3000;

/** Time from the end of a worker to its next start. */
const restartPauseMs = 500;

/** A worker serves on for a little longer than `drain_ms`. */
const lingerMs = 500;

const usualMs = 3000;
const observedMs = 15_000;
const requestIntervalMs = 100;

/** The path from workers to one daemon: what is sent while it is cut arrives when the cut has healed. */
class WorkerPath {
	#untilMs = 0;
	#server;

	constructor(host, port, to) {
		this.address = `${host}:${port}`;
		const [toHost, toPort] = to.split(':');
		this.#server = net.createServer({allowHalfOpen: true}, from => {
			const onward = net.connect({host: toHost, port: Number(toPort), allowHalfOpen: true});
			this.#pass(from, onward);
			this.#pass(onward, from);
		});
		this.#server.listen(port, host);
	}

	cut(forMs) {
		this.#untilMs = Math.max(this.#untilMs, performance.now() + forMs);
	}

	close() {
		this.#server.close();
	}

	#pass(from, to) {
		let turn = Promise.resolve();
		const whenHealed = action => {
			const earlier = turn;
			turn = (async () => {
				await earlier;
				await sleep(Math.max(0, this.#untilMs - performance.now()));
				action();
			})();
		};

		from.on('data', chunk => {
			whenHealed(() => to.write(chunk));
		});
		from.on('end', () => {
			whenHealed(() => to.end());
		});
		from.on('error', () => undefined);
	}
}

/** Sends requests on both routes to all entries in turn; resolves to which were served. */
async function sendRequests(fleet, durationMs) {
	const served = {first: [], later: []};
	const pending = [];
	const send = async (name, address, turn) => {
		const {status} = await ask(fleet, address, {path: `/${name}/x?n=${turn}`});
		served[name].push(status === 200);
	};

	const endMs = performance.now() + durationMs;
	for (let turn = 0; performance.now() < endMs; turn++) {
		const address = fleet.entryAddresses[turn % fleet.entryAddresses.length];
		pending.push(send('first', address, turn), send('later', address, turn));
		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	return served;
}

await runCase(import.meta.url, async (fleet, record) => {
	fleet.startCore();
	const routes = [{name: 'first', service: 'drafts'}, {name: 'later', service: 'orders'}];
	const first = {...desiredState(2, routes), version: 1, routes: desiredState(2, routes).routes.slice(0, 1)};
	if (!await fleet.configure(first)) {
		throw new CannotRunError('The first desired state is not acknowledged.');
	}

	const [cutOff, ...others] = fleet.controlAddresses;
	const way = new WorkerPath(fleet.addMachine('way', 'a').ip, fleet.ports.control, cutOff);
	fleet.closers.push(() => {
		way.close();
	});
	const machines = ['drafts-1', 'drafts-2', 'orders-1', 'orders-2'].map((name, index) => fleet.addMachine(name, 'abc'[index % 3]));
	const workers = machines.map(machine => new Worker(fleet, {machine, service: machine.name.split('-', 1)[0]}));
	for (const worker of workers) {
		worker.controls = others;
		await worker.start();
	}

	await fleet.waitForEntries();
	if (!await fleet.configure(desiredState(2, routes))) {
		throw new CannotRunError('The second desired state is not acknowledged.');
	}

	await sleep(bounds.configMs);
	const before = await sendRequests(fleet, usualMs);
	record.add(`before: share served on the first route ${shareOf(before.first)}, on the later one ${shareOf(before.later)}`);
	if (shareOf(before.first) < 0.9 || shareOf(before.later) < 0.9) {
		throw new CannotRunError('The routes are not served before.');
	}

	// Planned work: both workers of the later route's service start again, each under its id, after it has said that it drains.
	const restarting = workers.filter(({service}) => service === 'orders');
	for (const worker of restarting) {
		worker.state = 'draining';
		await worker.beat();
	}

	await sleep(bounds.drainMs + lingerMs);
	if (hasTrouble) {
		record.add(`cut between the workers and ${cutOff} for ${cutMs} ms`);
		way.cut(cutMs);
	}

	await Promise.all(restarting.map(async worker => {
		const {id, born} = worker;
		worker.sequence++;
		const acknowledgedBy = await worker.tell('Deregister', {born, sequence: worker.sequence}, [way.address, ...others]);
		record.add(`worker ${id} born=${born} deregistered, acknowledged by ${acknowledgedBy === way.address ? cutOff : acknowledgedBy}`);
		worker.stop();
		await sleep(restartPauseMs);
		await worker.start();
	}));

	await sleep(cutMs + bounds.stabilityMs);
	const after = await sendRequests(fleet, observedMs);
	record.add(`after: ${after.first.length} requests on the first route, share served ${shareOf(after.first)}; ${after.later.length} on the later one, share served ${shareOf(after.later)}`);
	return after.later.length >= 20 && shareOf(after.later) < shareOf(after.first) / 4;
});
