import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	applyLedgerCommand, deserializeLedger, emptyLedger, queryLedger, serializeLedger,
	type ClaimedAttempt, type LedgerAnswer, type LedgerKey, type LedgerState, type RecordedOutcome, type SerializedLedger, type Settlement,
} from './index.js';

const key: LedgerKey = {clientAccount: 'account', service: 'orders', idempotencyKey: 'key-1'};
const firstAttempt: ClaimedAttempt = {
	requestId: 'r1', attempt: 1, targetId: 'orders-1', incarnation: 10,
};
const secondAttempt: ClaimedAttempt = {
	requestId: 'r2', attempt: 1, targetId: 'orders-2', incarnation: 20,
};
const outcome: RecordedOutcome = {status: 201, headers: {}, body: 'AAAA'};
const settlement: Settlement = {execution: 'didNotRun', operator: 'op', reason: 'the service has no such order'};

type ClaimOptions = {readonly claim?: ClaimedAttempt; readonly bodyDigest?: string; readonly nowMs?: number; readonly key?: LedgerKey};

function claim(state: LedgerState, options: ClaimOptions = {}): LedgerAnswer {
	return applyLedgerCommand(state, {
		kind: 'claim', key, bodyDigest: 'digest', claim: firstAttempt, nowMs: 1, ...options,
	});
}

function end(state: LedgerState, kind: 'release' | 'markUnknown', named = firstAttempt): LedgerAnswer {
	return applyLedgerCommand(state, {
		kind, key, claim: named, nowMs: 1,
	});
}

function record(state: LedgerState, named = firstAttempt): LedgerAnswer {
	return applyLedgerCommand(state, {
		kind: 'record', key, claim: named, outcome, nowMs: 1,
	});
}

function settle(state: LedgerState, named: Settlement): LedgerAnswer {
	return applyLedgerCommand(state, {
		kind: 'settle', key, settlement: named, nowMs: 1,
	});
}

function stateWith(...steps: ReadonlyArray<(state: LedgerState) => unknown>): LedgerState {
	const state = emptyLedger();
	for (const step of steps) {
		step(state);
	}

	return state;
}

describe('request ledger', () => {
	describe('a claim', () => {
		it('is granted to one attempt, and again to the same attempt if the first answer was lost', () => {
			const state = emptyLedger();
			expect([claim(state), claim(state)]).toEqual([{kind: 'granted'}, {kind: 'granted'}]);
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'claimedElsewhere', claim: firstAttempt});
		});

		it('is refused in every state if the body differs', () => {
			for (const step of [claim, (state: LedgerState) => [claim(state), record(state)], (state: LedgerState) => [claim(state), end(state, 'release')]]) {
				expect(claim(stateWith(step), {claim: secondAttempt, bodyDigest: 'other'})).toEqual({kind: 'bodyMismatch'});
			}
		});

		it('for another incarnation of the same target counts as another attempt', () => {
			expect(claim(stateWith(claim), {claim: {...firstAttempt, incarnation: 11}})).toEqual({kind: 'claimedElsewhere', claim: firstAttempt});
		});
	});

	describe('a look', () => {
		const look = (state: LedgerState): LedgerAnswer => applyLedgerCommand(state, {
			kind: 'look', key, bodyDigest: 'digest', nowMs: 1,
		});

		it('returns what a claim would find and claims nothing', () => {
			expect([look(emptyLedger()), look(stateWith(claim)), look(stateWith(claim, record))]).toEqual([{kind: 'free'}, {kind: 'claimedElsewhere', claim: firstAttempt}, {kind: 'alreadyRecorded', outcome}]);
			expect(look(stateWith(claim, state => end(state, 'release')))).toEqual({kind: 'free'});
		});
	});

	describe('a release', () => {
		it('frees the key for another attempt, but not for a delayed duplicate of the sealed claim', () => {
			const state = stateWith(claim);
			expect(end(state, 'release')).toEqual({kind: 'done'});
			expect(claim(state)).toEqual({kind: 'stale'});
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'granted'});
		});

		it('of another attempt changes nothing', () => {
			const state = stateWith(claim);
			expect(end(state, 'release', secondAttempt)).toEqual({kind: 'stale'});
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'claimedElsewhere', claim: firstAttempt});
		});

		it('is not possible once the outcome is unknown', () => {
			const state = stateWith(claim, state => end(state, 'markUnknown'));
			expect(end(state, 'release')).toEqual({kind: 'stale'});
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'unknown', claim: firstAttempt});
		});
	});

	describe('a record', () => {
		it('returns the recorded outcome to resends', () => {
			const state = stateWith(claim, record);
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'alreadyRecorded', outcome});
			expect([record(state), end(state, 'release')]).toEqual([{kind: 'done'}, {kind: 'stale'}]);
		});

		it('without an outcome refuses resends', () => {
			const state = stateWith(claim);
			const answer = applyLedgerCommand(state, {
				kind: 'record', key, claim: firstAttempt, nowMs: 1,
			});
			expect([answer, claim(state, {claim: secondAttempt})]).toEqual([{kind: 'done'}, {kind: 'expired'}]);
		});

		it('replaces an unknown outcome of the same attempt', () => {
			const state = stateWith(claim, state => end(state, 'markUnknown'));
			expect(record(state)).toEqual({kind: 'done'});
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'alreadyRecorded', outcome});
		});
	});

	describe('a settlement', () => {
		const unknown = (): LedgerState => stateWith(claim, state => end(state, 'markUnknown'));

		it('needs a reason', () => {
			expect(settle(unknown(), {...settlement, reason: ' '})).toEqual({kind: 'reasonMissing'});
		});

		it('as not run frees the key, and is idempotent', () => {
			const state = unknown();
			expect([settle(state, settlement), settle(state, settlement)]).toEqual([{kind: 'done'}, {kind: 'done'}]);
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'granted'});
		});

		it('as having run refuses every resend', () => {
			const state = unknown();
			settle(state, {...settlement, execution: 'ran'});
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'settledAsRan', reason: settlement.reason});
		});

		it('as not run is refused while the claim may still be dispatched', () => {
			expect(settle(stateWith(claim), settlement)).toEqual({kind: 'notSettleable', state: 'claimed'});
			expect(settle(stateWith(claim, record), settlement)).toEqual({kind: 'notSettleable', state: 'recorded'});
		});
	});

	describe('retention', () => {
		const limits = {
			answerRetentionMs: 100, keyRetentionMs: 1000, releasedRetentionMs: 10, maxAdvanceMs: 10_000, maxEntries: 3, maxEntriesPerAccount: 2,
		};
		const other = (idempotencyKey: string, clientAccount = 'account'): LedgerKey => ({...key, idempotencyKey, clientAccount});

		it('refuses a key whose outcome has expired, and removes it later', () => {
			const state = emptyLedger(limits);
			claim(state);
			record(state);
			expect(claim(state, {claim: secondAttempt, nowMs: 200})).toEqual({kind: 'expired'});
			expect(claim(state, {claim: secondAttempt, nowMs: 2000})).toEqual({kind: 'granted'});
		});

		it('never expires a claim or an unknown outcome, and refuses new keys when full', () => {
			const state = emptyLedger(limits);
			claim(state);
			claim(state, {key: other('key-2')});
			applyLedgerCommand(state, {
				kind: 'markUnknown', key: other('key-2'), claim: firstAttempt, nowMs: 1,
			});
			expect(claim(state, {key: other('key-3'), nowMs: 9000})).toEqual({kind: 'full'});
			expect(claim(state, {key: other('key-1', 'b'), nowMs: 9000})).toEqual({kind: 'granted'});
			expect(claim(state, {key: other('key-1', 'c'), nowMs: 9000})).toEqual({kind: 'full'});
			expect(claim(state, {claim: secondAttempt, nowMs: 9000})).toEqual({kind: 'claimedElsewhere', claim: firstAttempt});
		});

		it('drops outcomes, not keys, when outcomes exceed the size limit', () => {
			const state = emptyLedger({maxOutcomeBytes: 3});
			claim(state);
			record(state);
			expect(claim(state, {claim: secondAttempt})).toEqual({kind: 'expired'});
			expect(state.outcomeBytes).toEqual(0);
		});

		it('is not cut short by one wrong clock', () => {
			const state = emptyLedger({...limits, maxAdvanceMs: 5});
			claim(state);
			record(state);
			expect(claim(state, {claim: secondAttempt, nowMs: 1_000_000})).toEqual({kind: 'alreadyRecorded', outcome});
		});
	});

	describe('a snapshot', () => {
		it('preserves all entries', () => {
			const state = stateWith(claim, record, state => claim(state, {key: {...key, idempotencyKey: 'key-2'}}));
			const text = JSON.stringify(serializeLedger(state));
			const copy = deserializeLedger(JSON.parse(text) as SerializedLedger);
			expect(claim(copy, {claim: secondAttempt})).toEqual({kind: 'alreadyRecorded', outcome});
			expect([copy.outcomeBytes, copy.entriesByAccount.get('account')]).toEqual([4, 2]);
			expect(queryLedger(copy, {states: ['claimed']}).map(entry => entry.key.idempotencyKey)).toEqual(['key-2']);
		});
	});
});
