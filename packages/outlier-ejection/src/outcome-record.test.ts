import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {type EndedExchange, type Evidence, OutcomeRecord} from './index.js';

const answer: EndedExchange = {
	outcome: 'answered', firstEventMs: 100, tookMs: 100, isCold: false,
};
const failure: EndedExchange = {outcome: 'failed', tookMs: 10, isCold: false};
const silence: EndedExchange = {outcome: 'abandoned', tookMs: 2000, isCold: false};
const slowAnswer: EndedExchange = {...answer, firstEventMs: 1000, tookMs: 1000};

const targetOf = (index: number, bornMs = 1) => ({targetId: `t${index}`, bornMs, service: 's'});

describe('the outcomes of an entry\'s requests', () => {
	let record: OutcomeRecord;
	let nowMs: number;

	beforeEach(() => {
		record = new OutcomeRecord();
		nowMs = 0;
	});

	/** Sends requests in turn to five targets, of which the first gets these outcomes. */
	const play = (outcomeOf: (round: number) => EndedExchange, {rounds = 20, ofOthers = () => answer}: {rounds?: number; ofOthers?: (round: number) => EndedExchange} = {}): Evidence | undefined => {
		for (let round = 0; round < rounds; round++) {
			nowMs += 100;
			for (let index = 1; index < 5; index++) {
				record.record(targetOf(index), ofOthers(round), nowMs);
			}

			record.record(targetOf(0), outcomeOf(round), nowMs);
		}

		return record.evidenceAgainst(targetOf(0), nowMs);
	};

	it('are judged among those of one route: one that always takes long is no evidence', () => {
		const long = {...slowAnswer, route: 'long'};
		const evidence = play(round => round % 3 === 0 ? long : {...answer, route: 'short'}, {ofOthers: round => round % 7 === 0 ? long : {...answer, route: 'short'}});
		expect(evidence).toEqual(undefined);
		expect(play(round => round % 3 === 0 ? slowAnswer : answer)?.kind).toEqual('slow');
	});

	describe('are evidence against a target', () => {
		it('that fails a part of its requests, but not whole evidence', () => {
			const evidence = play(round => round % 5 < 2 ? failure : answer);
			expect([evidence?.kind, evidence?.isWhole]).toEqual(['failed', false]);
		});

		it('that is up and down by turns', () => {
			expect(play(round => round % 10 < 4 ? failure : answer)?.kind).toEqual('failed');
		});

		it('that fails five times in a row, as whole evidence with the requests that failed', () => {
			const evidence = play(round => round < 15 ? answer : {...failure, requestId: `r${round}`});
			expect([evidence?.isWhole, evidence?.row, evidence?.requestIds]).toEqual([true, 5, ['r17', 'r18', 'r19']]);
		});

		it('that hangs, or whose streams are mute, whoever gives up on them', () => {
			expect(play(() => silence)?.kind).toEqual('hung');
			record = new OutcomeRecord();
			expect(play(() => ({...silence, outcome: 'failed'}))?.kind).toEqual('hung');
		});

		it('that is ten times slower than the others', () => {
			expect(play(() => slowAnswer)?.kind).toEqual('slow');
		});
	});

	describe('are no evidence', () => {
		it('while all targets of the service fail, hang or are slow at once', () => {
			for (const exchange of [failure, silence, slowAnswer]) {
				record = new OutcomeRecord();
				const outcomeOf = (round: number) => round < 10 ? answer : exchange;
				expect(play(outcomeOf, {ofOthers: outcomeOf})).toEqual(undefined);
			}
		});

		it('if the target refused them, or their callers left early', () => {
			expect(play(() => ({...failure, outcome: 'refused'}))).toEqual(undefined);
			expect(play(() => ({...silence, tookMs: 300}))).toEqual(undefined);
		});

		it('if the target is cold and slow; errors count nevertheless', () => {
			expect(play(() => ({...slowAnswer, isCold: true}))).toEqual(undefined);
			expect(play(() => ({...failure, isCold: true}))?.kind).toEqual('failed');
		});

		it('without other targets, after some seconds, or in another lifetime', () => {
			for (let count = 0; count < 9; count++) {
				record.record(targetOf(0), failure, 0);
			}

			expect(record.evidenceAgainst(targetOf(0), 0)).toEqual(undefined);
			play(() => failure);
			expect(record.evidenceAgainst(targetOf(0, 2), nowMs)).toEqual(undefined);
			expect(record.evidenceAgainst(targetOf(0), nowMs + 10_000)).toEqual(undefined);
		});
	});
});
