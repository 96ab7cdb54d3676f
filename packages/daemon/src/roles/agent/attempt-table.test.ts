import {describe, it} from 'node:test';
import type {agentProtocol} from '@rattanspring/protocol';
import {expect} from 'earl';
import {AttemptTable, createRefusal, type Attempt} from './attempt-table.js';
import {StreamMemory} from './stream-memory.js';

const incarnation = 100;

function makeTable(maxRecordsPerIncarnation?: number): AttemptTable {
	return new AttemptTable({incarnation, memory: new StreamMemory(1000), maxRecordsPerIncarnation});
}

function request(change: Partial<agentProtocol.ExecuteRequest> = {}): agentProtocol.ExecuteRequest {
	return {
		requestId: 'r1', attempt: 1, targetId: 't', clientAccount: 'a', service: 's', method: 'POST', path: '/', headers: {}, body: new Uint8Array(),
		remainingMs: 1000, expectedIncarnation: incarnation, costTokens: 0, claimed: true, alone: false, fairShare: 1, prefillTokens: 0, ...change,
	};
}

function admit(table: AttemptTable, change: Partial<agentProtocol.ExecuteRequest> = {}): Attempt {
	const decision = table.dispatch(request(change));
	if (decision.kind !== 'admitted') {
		throw new TypeError(`expected an admitted attempt, got ${decision.kind}`);
	}

	return decision.attempt;
}

describe('attempt table', () => {
	describe('a dispatch', () => {
		it('is handed over once; a duplicate reads the same response', () => {
			const table = makeTable();
			const attempt = admit(table);
			expect([table.handOver(attempt), table.handOver(attempt)]).toEqual([true, false]);
			expect(table.dispatch(request())).toEqual({kind: 'known', attempt});
		});

		it('is not run again after its response was dropped', () => {
			const table = makeTable();
			const attempt = admit(table);
			table.handOver(attempt);
			table.finish(attempt);
			table.drop(attempt);
			expect(table.dispatch(request()).kind).toEqual('gone');
			expect(table.seal(request(), incarnation)).toEqual('gone');
		});

		it('of another client account learns nothing about the attempt', () => {
			const table = makeTable();
			admit(table);
			expect(table.dispatch(request({clientAccount: 'b'})).kind).toEqual('notOwner');
			expect(table.seal({requestId: 'r1', attempt: 1, clientAccount: 'b'}, incarnation)).toEqual('notOwner');
			expect(table.findAttempt({requestId: 'r1', attempt: 1, clientAccount: 'b'})).toEqual(undefined);
		});

		it('that expects another incarnation does not run and is not reported as not run', () => {
			expect(makeTable().dispatch(request({expectedIncarnation: incarnation - 1})).kind).toEqual('otherIncarnation');
		});

		it('is refused as soon as draining starts, except for duplicates of earlier dispatches', () => {
			const table = makeTable();
			const attempt = admit(table);
			table.startDraining();
			expect(table.dispatch(request({requestId: 'r2'})).kind).toEqual('refused');
			expect([table.dispatch(request()).kind, table.handOver(attempt)]).toEqual(['known', true]);
		});
	});

	describe('a seal', () => {
		it('refuses a dispatch that arrives after the seal', () => {
			const table = makeTable();
			expect(table.seal(request(), incarnation)).toEqual('sealed');
			expect(table.dispatch(request()).kind).toEqual('refused');
			expect(table.seal(request(), incarnation)).toEqual('sealed');
		});

		it('is not granted once the attempt was admitted', () => {
			const table = makeTable();
			const attempt = admit(table);
			expect(table.seal(request(), incarnation)).toEqual('held');
			table.handOver(attempt);
			table.refuse(attempt, createRefusal('draining', 'late'));
			expect([attempt.state, table.seal(request(), incarnation)]).toEqual(['handedOver', 'held']);
		});

		it('gives no outcome for other incarnations', () => {
			expect(makeTable().seal(request(), incarnation + 1)).toEqual('otherIncarnation');
		});

		it('remains after the refused response was dropped', () => {
			const table = makeTable();
			const attempt = admit(table);
			table.refuse(attempt, createRefusal('overloaded', 'full'));
			table.drop(attempt);
			expect([table.dispatch(request()).kind, table.handOver(attempt)]).toEqual(['refused', false]);
		});
	});

	describe('a cancel', () => {
		it('seals before hand-over and aborts the target after it', () => {
			const table = makeTable();
			const attempt = admit(table);
			expect(table.cancel(request())).toEqual({execution: 'didNotRun', abort: false});
			expect(table.handOver(attempt)).toEqual(false);
			table.handOver(admit(table, {requestId: 'r2'}));
			expect(table.cancel(request({requestId: 'r2'}))).toEqual({execution: 'unknown', abort: true});
		});
	});

	describe('bounded memory', () => {
		it('starts a new incarnation, refuses dispatches for the old one and still knows what ran in it', () => {
			const table = makeTable(2);
			const ran = admit(table);
			table.handOver(ran);
			table.finish(ran);
			table.drop(ran);
			table.seal(request({requestId: 'r2'}), incarnation);
			table.seal(request({requestId: 'r3'}), incarnation);
			expect(table.incarnation).toEqual(incarnation + 1);
			expect(table.dispatch(request({requestId: 'r4'})).kind).toEqual('refused');
			expect([table.seal(request(), incarnation), table.seal(request({requestId: 'r2'}), incarnation)]).toEqual(['gone', 'sealed']);
		});

		it('records an attempt that was handed over after the change of incarnation', () => {
			const table = makeTable(1);
			const attempt = admit(table);
			table.seal(request({requestId: 'r2'}), incarnation);
			table.handOver(attempt);
			table.finish(attempt);
			table.drop(attempt);
			expect(table.seal(request(), incarnation)).toEqual('gone');
		});

		it('has no records of incarnations before the last two', () => {
			const table = makeTable(1);
			for (const requestId of ['r1', 'r2', 'r3']) {
				table.seal(request({requestId}), incarnation);
			}

			expect(table.seal(request({requestId: 'r9'}), incarnation)).toEqual('otherIncarnation');
		});
	});
});
