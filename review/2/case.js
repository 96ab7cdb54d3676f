/** A desired state adds a tenant whose name is not written in Latin letters, and a route that it uses. */

import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, bounds, CannotRunError, desiredState, hasTrouble, runCase, shareOf, Worker,
} from '../lib/fleet.js';

/** "Restaurant of the island" in Arabic, and the same in Latin letters. */
const addedName = hasTrouble ? 'مطعم الجزيرة' : 'Mataam al Jazira';

const keys = {first: 'n2ctnfzs989anu6wsjnb', later: 'anfqasnmgkcuyj8pjbvk'};
const observedMs = 15_000;
const requestIntervalMs = 200;

/** Sends requests on both routes, each with the key of its tenant, to all entries in turn; resolves to which were served. */
async function sendRequests(fleet, durationMs) {
	const served = {first: [], later: []};
	const pending = [];
	const send = async (name, address) => {
		const {status} = await ask(fleet, address, {path: `/${name}/x`, headers: {authorization: `Bearer ${keys[name]}`}});
		served[name].push(status === 200);
	};

	const endMs = performance.now() + durationMs;
	for (let turn = 0; performance.now() < endMs; turn++) {
		const address = fleet.entryAddresses[turn % fleet.entryAddresses.length];
		pending.push(send('first', address), send('later', address));
		await sleep(requestIntervalMs);
	}

	await Promise.all(pending);
	return served;
}

await runCase(import.meta.url, async (fleet, record) => {
	fleet.startCore();
	const routes = [{name: 'first', service: 'orders'}, {name: 'later', service: 'orders'}];
	const state = (version, names, tenants) => {
		const whole = desiredState(version, names);
		const closed = whole.routes.map(route => ({...route, public: false}));
		return {...whole, routes: closed, tenants: tenants.map(([name, key]) => Object.fromEntries([['name', name], ['api_keys', [key]]]))};
	};

	if (!await fleet.configure(state(1, routes.slice(0, 1), [['Dar Ahlam', keys.first]]))) {
		throw new CannotRunError('The first desired state is not acknowledged.');
	}

	for (let index = 0; index < 2; index++) {
		await new Worker(fleet, {machine: fleet.addMachine(`orders-${index}`, 'abc'[index]), service: 'orders'}).start();
	}

	await fleet.waitForEntries();
	if (!await fleet.configure(state(2, routes, [['Dar Ahlam', keys.first], [addedName, keys.later]]))) {
		throw new CannotRunError('The second desired state is not acknowledged.');
	}

	await sleep(bounds.configMs + bounds.stabilityMs);
	const after = await sendRequests(fleet, observedMs);
	record.add(`after: ${after.first.length} requests on the first route, share served ${shareOf(after.first)}; ${after.later.length} on the later one, share served ${shareOf(after.later)}`);
	return after.later.length >= 20 && shareOf(after.later) < shareOf(after.first) / 4;
});
