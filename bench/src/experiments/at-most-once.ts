/**
Orders that must run at most once, while entries and agents are killed, answers of the service are lost, and callers
resend through other entries until they get a final answer.
*/

import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {PlainService} from '@rattanspring/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {callerSecret, ProcessTestbed} from '../process-testbed.js';

const host = '127.0.0.1';
const orderCount = 10_000;
const callers = 48;
const serviceCount = 3;
const entryCount = 3;
const serviceDelayMs = 20;

const killPauseMs = 300;

/** The service drops the answer to one order in this many, after running it. */
const lostAnswerEvery = 200;

const maxSends = 30;
const resendPauseMs = 200;
const sendTimeoutMs = 15_000;
const readyPollMs = 100;
const source = 'issue 5, bench at-most-once';

type Execution = 'didNotRun' | 'unknown' | 'ran';

/** Result of sending an order once. */
type SendResult = {readonly kind: 'whole'; readonly reference: string} | {readonly kind: 'problem'; readonly execution: Execution; readonly isFinal: boolean} | {readonly kind: 'noAnswer'};

class Tally {
	sends = 0;
	whole = 0;
	unknown = 0;
	unanswered = 0;
	endedNotRun = 0;
	falseNotRun = 0;
	wrongAnswers = 0;
}

class AtMostOnce extends Experiment {
	get summary(): string {
		return 'orders that ran more than once, or were falsely said not to have run, under kills and resends';
	}

	async run({seed, log}: ExperimentOptions): Promise<ExperimentResult> {
		const dropsResponse = (reference: string): boolean => createHash('sha256').update(`${seed} ${reference}`).digest().readUInt32BE() % lostAnswerEvery === 0;
		const services = Array.from({length: serviceCount}, () => new PlainService({
			host, port: 0, delayMs: serviceDelayMs, dropsResponse,
		}));
		await Promise.all(services.map(async service => service.start()));
		const testbed = await ProcessTestbed.start({
			entries: entryCount,
			targets: services.map((service, index) => ({
				targetId: `orders-${index + 1}`, baseUrl: service.url, kind: 'plain', services: ['orders'], capacityRequests: 64,
			})),
		});
		try {
			return await measure({
				testbed, services, seed, log,
			});
		} finally {
			await testbed.stop();
			await Promise.all(services.map(async service => service.stop()));
		}
	}
}

type TestSetup = {readonly testbed: ProcessTestbed; readonly services: readonly PlainService[]; readonly seed: number; readonly log: (line: string) => void};

async function measure(setup: TestSetup): Promise<ExperimentResult> {
	const {testbed, services, log} = setup;
	await waitForTargets(testbed);
	const tally = new Tally();
	const notRun = new Set<string>();
	let next = 0;
	const placeOrders = async (): Promise<void> => {
		while (next < orderCount) {
			const reference = `order-${next}`;
			next++;
			await placeOrder(setup, reference, tally, notRun);
		}
	};

	const kills = killDaemonsUntil(setup, () => next >= orderCount);
	await Promise.all(Array.from({length: callers}, placeOrders));
	const killCount = await kills;
	log(JSON.stringify(tally));
	const runs = (reference: string): number => runsOf(services, reference);
	const references = Array.from({length: orderCount}, (_, index) => `order-${index}`);
	const ranAfterDidNotRun = [...notRun].filter(reference => runs(reference) > 0).length;
	return {
		figures: {
			orders: orderCount,
			kills: killCount,
			...tally,
			falseNotRun: tally.falseNotRun + ranAfterDidNotRun,
			ranOnce: references.filter(reference => runs(reference) === 1).length,
			ranMoreThanOnce: references.filter(reference => runs(reference) > 1).length,
			neverRan: references.filter(reference => runs(reference) === 0).length,
		},
		bounds: [
			{figure: 'ranMoreThanOnce', atMost: 0, source},
			{figure: 'falseNotRun', atMost: 0, source},
			{figure: 'wrongAnswers', atMost: 0, source},
			{figure: 'kills', atLeast: 1, source},
		],
	};
}

/** Sends an order through the entries round robin until it gets a final answer. */
async function placeOrder({testbed, services}: TestSetup, reference: string, tally: Tally, notRun: Set<string>): Promise<void> {
	let last: SendResult = {kind: 'noAnswer'};
	for (let send = 0; send < maxSends; send++) {
		tally.sends++;
		last = await sendOrder(testbed.entryUrls[send % testbed.entryUrls.length], reference);
		if (last.kind === 'whole') {
			tally.whole++;
			tally.wrongAnswers += last.reference === reference ? 0 : 1;
			return;
		}

		if (last.kind === 'problem') {
			tally.falseNotRun += last.execution === 'didNotRun' && runsOf(services, reference) > 0 ? 1 : 0;
			if (last.isFinal) {
				break;
			}
		}

		await sleep(resendPauseMs);
	}

	count(last, reference, tally, notRun);
}

function count(last: SendResult, reference: string, tally: Tally, notRun: Set<string>): void {
	if (last.kind === 'noAnswer') {
		tally.unanswered++;
	} else if (last.kind === 'problem' && last.execution === 'didNotRun') {
		tally.endedNotRun++;
		notRun.add(reference);
	} else {
		tally.unknown++;
	}
}

async function sendOrder(entryUrl: string, reference: string): Promise<SendResult> {
	try {
		const answer = await fetch(`${entryUrl}/orders/orders`, {
			method: 'POST',
			headers: {authorization: `Bearer ${callerSecret}`, 'content-type': 'application/json', 'idempotency-key': reference},
			body: JSON.stringify({reference}),
			signal: AbortSignal.timeout(sendTimeoutMs),
		});
		const body = await answer.json() as {reference?: string; execution?: Execution; retryAfterMs?: number};
		if (answer.status === 201) {
			return {kind: 'whole', reference: body.reference ?? ''};
		}

		return {kind: 'problem', execution: body.execution ?? 'unknown', isFinal: body.execution !== 'didNotRun' && body.retryAfterMs === undefined};
	} catch {
		return {kind: 'noAnswer'};
	}
}

/** Kills and restarts random entries and agents, one at a time; returns the number of kills. */
async function killDaemonsUntil({testbed, seed}: TestSetup, isDone: () => boolean): Promise<number> {
	const random = xoroshiro128plus(seed);
	const daemons = [...testbed.entries, ...testbed.agents];
	let kills = 0;
	while (!isDone()) {
		await testbed.crash(daemons[uniformInt(random, 0, daemons.length - 1)]);
		kills++;
		await sleep(killPauseMs);
	}

	return kills;
}

async function waitForTargets(testbed: ProcessTestbed): Promise<void> {
	for (const url of testbed.entryUrls) {
		let status = 0;
		while (status !== 200) {
			const answer = await fetch(`${url}/orders/orders/none`, {headers: {authorization: `Bearer ${callerSecret}`}});
			await answer.arrayBuffer();
			status = answer.status;
			await sleep(readyPollMs);
		}
	}
}

function runsOf(services: readonly PlainService[], reference: string): number {
	let runs = 0;
	for (const service of services) {
		runs += service.runs.get(reference) ?? 0;
	}

	return runs;
}

const experiment = new AtMostOnce();

export default experiment;
