/* eslint-disable camelcase, @stylistic/object-curly-newline -- the names of the platform */
/** A hold step that is used twice: a late `go` of the first use releases the group while the second use has armed some ranks only. */

import {setTimeout as sleep} from 'node:timers/promises';
import {call, hasTrouble, nowMs, runCase} from '../lib-2/fleet.js';
import {objective, pauseObjective} from '../lib-2/names.js';
import {figures, RankGroup} from '../lib-2/rank-group.js';

const service = 'model-workers';
const rankCount = 8;
const burstRequests = 48;
const burstIntervalMs = 2200;
const maxBursts = 8;
const eventsPerStream = 9;

/** The rank whose orders are late for some seconds, the rank at which the group is held, and how late orders are; the pages allow 2 to 12 s. */
const lateRank = 3;
const holdingRank = 1;
const lateMs = {hold: 8000, go: 3000, arm: 2200, other: 6000};
const lateForMs = 5000;

/** From the first order to hold the group while it rests: that one and the first `go` are late, and all orders to one rank for some seconds. */
function latenessOf(group) {
	let sinceMs;
	let isGoLate = false;
	return (rank, {operation}) => {
		if (sinceMs === undefined) {
			sinceMs = operation === 'hold' && group.isIdle ? nowMs() : undefined;
			return sinceMs === undefined ? undefined : lateMs.hold;
		}

		if (nowMs() - sinceMs > lateForMs) {
			return undefined;
		}

		if (rank === holdingRank && operation === 'go' && !isGoLate) {
			isGoLate = true;
			return lateMs.go;
		}

		return rank === lateRank ? (lateMs[operation] ?? lateMs.other) : undefined;
	};
}

const documentOf = () => ({
	version: 1,
	routes: [{
		name: 'r', host: 'a.example', path_prefix: '/draft/', type: 'streaming', timeout_ms: 12_000, [objective]: 400, priority: 1, service, max_attempts: 2, public: true, sticky: true, resumable: true, [pauseObjective]: 5000,
	}],
	services: [{name: service, health_path: '/healthz', max_conns: 278, protocol: 'h1', tls: false, engine: figures}],
	limits: {max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000},
});

await runCase(import.meta.url, async ({record, open}) => {
	const fleet = await open({controls: 3, entries: 1});
	const members = Array.from({length: rankCount}, (_, index) => ({id: `i-${index}`, host: fleet.hostOf(100 + index), zone: fleet.zones[index % 3]}));
	fleet.addAgents(members);
	const group = new RankGroup({fleet, record, service, members});
	await group.start();
	await fleet.start();
	if (!await fleet.replace(documentOf()) || !await fleet.ready()) {
		return 2;
	}

	await sleep(4000);
	if (hasTrouble) {
		group.lateness = latenessOf(group);
	}

	/** Other experts are liked in each burst, so that the coordinator has a reason to switch the map. */
	const burst = async number => {
		group.chooses = (set, choice) => (choice % 8 === 0 ? choice / 8 : (choice % 3) + (number * 5) + set) % figures.experts;
		record.add(`burst ${number}: ${burstRequests} streams are sent`);
		const answers = await Promise.all(Array.from({length: burstRequests}, async (_, index) => call({
			host: fleet.entries[0].host, port: fleet.ports.frontend, method: 'POST', path: `/draft/x?events=${eventsPerStream}`, body: 'prompt', timeoutMs: 12_000, headers: {
				Host: 'a.example', 'attempt-id': `a-${number}-${index}`, Model: 'm', 'token-usage': '600,80', 'prefix-hash': 'aa:40,bb:560', 'deadline-ms': '12000',
			},
		})));
		record.add(`burst ${number}: ${answers.filter(({status}) => status === 200).length} of ${burstRequests} were answered`);
	};

	const bursts = [];
	for (let number = 1; number <= maxBursts && group.mixedPasses === 0; number++) {
		bursts.push(burst(number));
		await sleep(burstIntervalMs);
	}

	await Promise.all(bursts);
	group.stop();
	record.add(`${group.step} passes, of which ${group.mixedPasses} began with different maps; ${group.orderCount} orders, of which ${group.lateCount} were late`);
	if (group.step === 0 || group.orderCount === 0) {
		return 2;
	}

	return group.mixedPasses > 0 ? 1 : 0;
});
