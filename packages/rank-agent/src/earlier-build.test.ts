/** Requests and answers between agents as the build of 33619ac wrote them: a group's agents may be of that build and of this one. */

import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {
	type LinkCalls, linkService, type RankReply, type RankRequest,
} from '@rattanspring/fleet-link';
import {expect} from 'earl';
import {noBase, ReceivedSamples, SentSamples} from './count-samples.js';
import type {
	EngineOrder, EngineState, ExpertCounts, HeldExperts,
} from './engine-client.js';
import {FakeRankGroup} from './fake-rank-group.js';
import {RankRequestHandler} from './rank-request-handler.js';
import {RemoteEngineClient} from './remote-engine-client.js';

const recorded = JSON.parse(readFileSync(new URL('../fixtures/requests-33619ac.json', import.meta.url), 'utf8')) as {
	/** Requests of each kind of order and query, in base64. */
	readonly requests: Readonly<Record<string, string>>;
	/** Answers to queries; `wholeCounts` and `countDifferences` are two samples of one agent. */
	readonly answers: Readonly<Record<string, string>>;
};

const targetAddress = '10.0.0.1:8120';
const fence = {fencing: 4, epoch: 2};

/** A new kind fails to compile, and agents of 33619ac refuse it. */
const orders: {readonly [Kind in EngineOrder['kind']]: Extract<EngineOrder, {kind: Kind}>} = {
	fence: {kind: 'fence', ...fence},
	prepare: {
		kind: 'prepare', version: 900, map: [[[1, 200], [3], [7]], [[4], [5, 6], []]], ...fence,
	},
	arm: {
		kind: 'arm', version: 900, step: 50, ...fence,
	},
	disarm: {kind: 'disarm', version: 900, ...fence},
	hold: {kind: 'hold', step: 50, ...fence},
	go: {kind: 'go', step: 50, ...fence},
};
const queries = ['state', 'experts', 'counts'] as const;

const state: EngineState = {
	bornMs: 1_764_890_000_000, active: 3, queued: 1, memoryShare: 0.25, pace: 1.5, step: 49, rankPlace: {
		group: 'g', epoch: 2, rank: 1, size: 4, isOpen: true,
	}, mapVersion: 800, preparedVersion: 900, armed: {version: 900, step: 50}, heldStep: 50, fencing: 4,
};
const experts: HeldExperts = {version: 800, experts: [[1, 2], [3]]};
const counts: ExpertCounts = {
	step: 49, epoch: 2, counts: [5, 0, 300], pace: 1.5,
};
const laterCounts: ExpertCounts = {...counts, step: 60, counts: [6, 0, 700]};

/** The requests that a coordinator of this build sends, in base64. */
async function sentBy(use: (client: RemoteEngineClient) => Promise<unknown>): Promise<string[]> {
	const sent: string[] = [];
	const calls = {
		async call(_address: string, _method: unknown, request: unknown) {
			sent.push(linkService.rank.requestSerialize(request as RankRequest).toString('base64'));
			return undefined;
		},
	};
	await use(new RemoteEngineClient({calls: calls as Pick<LinkCalls, 'call'>, linkAddress: '10.0.0.1:7341', targetAddress}));
	return sent;
}

function readAnswer(name: string): RankReply {
	return linkService.rank.responseDeserialize(Buffer.from(recorded.answers[name], 'base64'));
}

function written(answer: RankReply): string {
	return linkService.rank.responseSerialize(answer).toString('base64');
}

describe('agents of this build and of 33619ac', () => {
	for (const [kind, order] of Object.entries(orders)) {
		it(`cannot misread an order of the other build: ${kind}`, async () => {
			const [engine] = new FakeRankGroup({
				ranks: 1, lists: [], copyMs: 0, stepMs: 1, orderDelayMs: () => 0, nextDelivery: () => 'prompt', nowMs: () => 0,
			}).engines;
			const received: EngineOrder[] = [];
			engine.order = async applied => {
				received.push(applied);
				return 'done';
			};

			const handler = new RankRequestHandler({
				targetAddress, engine, directClient: () => engine, calls: {call: async () => undefined},
			});
			expect(await handler.handle(linkService.rank.requestDeserialize(Buffer.from(recorded.requests[kind], 'base64')))).toEqual({answer: 'done'});
			expect(received).toEqual([order]);
			expect(await sentBy(async client => client.order(order))).toEqual([recorded.requests[kind]]);
		});
	}

	it('cannot misread a query of the other build', async () => {
		for (const kind of queries) {
			expect(await sentBy(async client => client[kind]())).toEqual([recorded.requests[kind]]);
			expect(linkService.rank.requestDeserialize(Buffer.from(recorded.requests[kind], 'base64'))).toEqual({targetAddress, kind, ...(kind === 'counts' && {base: noBase})});
		}
	});

	it('cannot misread an answer of the other build', () => {
		for (const [name, answer] of Object.entries({state, experts})) {
			expect(readAnswer(name)).toEqual({answer});
			expect(written({answer})).toEqual(recorded.answers[name]);
		}
	});

	it('cannot misread the counts of the other build, whole or as differences', () => {
		const samples = new ReceivedSamples();
		expect(samples.receive(targetAddress, readAnswer('wholeCounts'))).toEqual(counts);
		expect(samples.receive(targetAddress, readAnswer('countDifferences'))).toEqual(laterCounts);
		const sent = new SentSamples();
		const whole = sent.reply(counts, noBase);
		const {sample: base} = whole.answer as {readonly sample: number};
		const withNumbersOf = ({answer, attachment}: RankReply, {answer: other}: RankReply): RankReply => {
			const {sample, base: otherBase} = other as {readonly sample: number; readonly base?: number};
			return {answer: {...answer as object, sample, ...(otherBase !== undefined && {base: otherBase})}, attachment};
		};

		expect(written(withNumbersOf(whole, readAnswer('wholeCounts')))).toEqual(recorded.answers.wholeCounts);
		expect(written(withNumbersOf(sent.reply(laterCounts, base), readAnswer('countDifferences')))).toEqual(recorded.answers.countDifferences);
	});
});
