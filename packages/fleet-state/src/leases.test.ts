import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FencingGate} from './fencing-gate.js';
import {
	applyLeaseCommand, deserializeLeases, emptyLeases, findActiveLease, serializeLeases, smallestFencingNumber, type LeaseAnswer, type LeaseState, type LeaseSubject, type SerializedLeases,
} from './leases.js';

const subject: LeaseSubject = {kind: 'groupCoordinator', name: 'group-1'};
const durationMs = 5000;

function acquire(state: LeaseState, holder: string, monotonicMs: number, leaderId = 'voter-1'): LeaseAnswer {
	return applyLeaseCommand(state, {
		kind: 'acquire', subject, holder, durationMs,
	}, {leaderId, monotonicMs});
}

function renew(state: LeaseState, fencingNumber: number, monotonicMs: number): LeaseAnswer {
	return applyLeaseCommand(state, {
		kind: 'renew', subject, holder: 'a', fencingNumber, durationMs,
	}, {leaderId: 'voter-1', monotonicMs});
}

describe('leases', () => {
	it('have one holder at a time and increasing fencing numbers', () => {
		const state = emptyLeases();
		expect(acquire(state, 'a', 0)).toEqual({kind: 'granted', fencingNumber: 1, durationMs});
		expect(acquire(state, 'a', 0)).toEqual({kind: 'granted', fencingNumber: 1, durationMs});
		expect(acquire(state, 'b', 1000)).toEqual({
			kind: 'heldByOther', holder: 'a', fencingNumber: 1, remainingMs: 4000,
		});
		expect(acquire(state, 'b', 5000)).toEqual({kind: 'granted', fencingNumber: 2, durationMs});
		expect(renew(state, 1, 5000)).toEqual({kind: 'lost'});
	});

	it('are extended when renewed, and end when released', () => {
		const state = emptyLeases();
		acquire(state, 'a', 0);
		expect(renew(state, 1, 4000).kind).toEqual('granted');
		expect(acquire(state, 'b', 8999).kind).toEqual('heldByOther');
		expect(applyLeaseCommand(state, {
			kind: 'release', subject, holder: 'a', fencingNumber: 1,
		})).toEqual({kind: 'released'});
		expect(findActiveLease(state, subject)).toEqual(undefined);
		expect(acquire(state, 'a', 9000)).toEqual({kind: 'granted', fencingNumber: 2, durationMs});
	});

	it('do not expire early when a voter whose clock is far ahead becomes leader', () => {
		const state = emptyLeases();
		acquire(state, 'a', 0);
		expect(acquire(state, 'b', 9_000_000, 'voter-2').kind).toEqual('heldByOther');
		expect(acquire(state, 'b', 9_004_999, 'voter-2').kind).toEqual('heldByOther');
		expect(acquire(state, 'b', 9_005_000, 'voter-2').kind).toEqual('granted');
	});

	it('keep fencing numbers and log time in a snapshot', () => {
		const state = emptyLeases();
		acquire(state, 'a', 0);
		acquire(state, 'b', 2000);
		const text = JSON.stringify(serializeLeases(state));
		const copy = deserializeLeases(JSON.parse(text) as SerializedLeases);
		expect(acquire(copy, 'b', 5000)).toEqual(acquire(state, 'b', 5000));
		expect(copy).toEqual(state);
	});

	it('are refused for a duration that is out of range', () => {
		for (const wrong of [0, Number.NaN, Number.POSITIVE_INFINITY]) {
			const answer = applyLeaseCommand(emptyLeases(), {
				kind: 'acquire', subject, holder: 'a', durationMs: wrong,
			});
			expect(answer.kind).toEqual('refused');
		}
	});
});

/** An engine that accepts orders; with `checksFencing` it refuses smaller fencing numbers than it has seen. */
class FakeEngine {
	readonly acceptedNumbers: number[] = [];
	readonly #checksFencing: boolean;

	constructor(checksFencing: boolean) {
		this.#checksFencing = checksFencing;
	}

	accept(fencingNumber: number): boolean {
		if (this.#checksFencing && fencingNumber < Math.max(0, ...this.acceptedNumbers)) {
			return false;
		}

		this.acceptedNumbers.push(fencingNumber);
		return true;
	}
}

/** Sends an order through an agent's gate. */
function order(gate: FencingGate, engine: FakeEngine, fencingNumber: number): string {
	const refusal = gate.check(fencingNumber);
	if (refusal) {
		return refusal.type;
	}

	return engine.accept(fencingNumber) ? 'accepted' : 'refusedByEngine';
}

describe('an isolated former coordinator that keeps sending orders for an hour', () => {
	const hourMs = 3_600_000;
	const orderIntervalMs = 1000;

	for (const checksFencing of [true, false]) {
		it(`cannot reach an engine that ${checksFencing ? 'checks' : 'ignores'} fencing numbers once its successor has sent an order`, () => {
			const state = emptyLeases();
			const engine = new FakeEngine(checksFencing);
			const gate = new FencingGate();
			gate.learn(smallestFencingNumber(state, subject));
			acquire(state, 'old', 0);
			expect(order(gate, engine, 1)).toEqual('accepted');
			for (let nowMs = durationMs; nowMs <= hourMs; nowMs += orderIntervalMs) {
				const answer = acquire(state, 'new', nowMs);
				expect(answer.kind === 'granted' && order(gate, engine, answer.fencingNumber)).toEqual('accepted');
				expect(order(gate, engine, 1)).toEqual('fencingNumberOld');
			}

			expect(engine.acceptedNumbers.lastIndexOf(1)).toEqual(0);
		});

		it(`cannot reach an engine that ${checksFencing ? 'checks' : 'ignores'} fencing numbers through a restarted agent`, () => {
			const state = emptyLeases();
			const engine = new FakeEngine(checksFencing);
			acquire(state, 'old', 0);
			acquire(state, 'new', durationMs);
			for (let nowMs = durationMs; nowMs <= hourMs; nowMs += orderIntervalMs) {
				const restarted = new FencingGate();
				expect(order(restarted, engine, 1)).toEqual('fencingNumberUnknown');
				restarted.learn(smallestFencingNumber(state, subject));
				expect(order(restarted, engine, 1)).toEqual('fencingNumberOld');
			}

			expect(engine.acceptedNumbers).toEqual([]);
		});
	}
});
