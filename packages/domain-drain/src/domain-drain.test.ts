import {describe, it} from 'node:test';
import type {TargetReport} from '@rattanspring/target-table';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {runFuzz} from './simulation/run-fuzz.js';
import {
	type DomainOrder, type DomainRegister, domainStateOf, DrainedDomains, emptyRegister, isFulfilled, orderOn, orderOutcome, readDomainOrder, readDomainRegister,
} from './index.js';

const drain = {domain: 'a', isDrained: true};
const restore = {domain: 'a', isDrained: false};

/** The register after requests that are each ordered on the ground of the newest one. */
function registerAfter(...requests: ReadonlyArray<typeof drain>): DomainRegister {
	let register = emptyRegister;
	for (const request of requests) {
		register = orderOutcome(register, orderOn(register, request)).register;
	}

	return register;
}

describe('orderOutcome', () => {
	it('stores a change under the next revision, and acknowledges a repeated order', () => {
		const first = orderOutcome(emptyRegister, orderOn(emptyRegister, drain));
		expect(first).toEqual({outcome: 'stored', register: {revision: 1, domains: [{...drain, revision: 1}]}});
		expect(orderOutcome(first.register, orderOn(emptyRegister, drain))).toEqual({outcome: 'alreadyStored', register: first.register});
		expect(orderOutcome(emptyRegister, orderOn(emptyRegister, restore)).outcome).toEqual('alreadyStored');
	});

	it('ignores an order that was read before the opposite one was stored', () => {
		const late = orderOn(emptyRegister, drain);
		const restored = registerAfter(drain, restore);
		expect(orderOutcome(restored, late)).toEqual({outcome: 'overtaken', register: restored});
	});

	it('takes one of two operators, and the other once it has read again', () => {
		const drained = registerAfter(drain, restore, drain);
		const first = orderOutcome(drained, orderOn(drained, restore));
		const second = orderOutcome(first.register, orderOn(first.register, drain));
		expect(orderOutcome(second.register, orderOn(drained, restore)).outcome).toEqual('overtaken');
		expect(isFulfilled(orderOutcome(second.register, orderOn(second.register, restore)).register, restore)).toEqual(true);
	});

	it('does not mix up domains: a change of one overtakes no order about another', () => {
		const order = orderOn(emptyRegister, {domain: 'b', isDrained: true});
		const {outcome, register} = orderOutcome(registerAfter(drain), order);
		expect(outcome).toEqual('stored');
		expect([domainStateOf(register, 'a').isDrained, domainStateOf(register, 'b'), domainStateOf(register, 'c').isDrained]).toEqual([true, {domain: 'b', isDrained: true, revision: 2}, false]);
	});
});

describe('random orders, of which many are delayed', () => {
	it('never undo what was acknowledged, and reach all entries', () => {
		const {acknowledged, overtaken} = runFuzz({seed: 1, runs: 200});
		expect([acknowledged > 1000, overtaken > 500]).toEqual([true, true]);
	});

	it('are found to undo it if the base revision is not compared', () => {
		const rule = (register: DomainRegister, order: DomainOrder) => orderOutcome(register, orderOn(register, order));
		expect(() => runFuzz({seed: 1, runs: 20, rule})).toThrow('Property failed');
	});

	it('are found if two registers have the same revision', () => {
		const rule = (register: DomainRegister, order: DomainOrder) => {
			const result = orderOutcome(register, order);
			return {...result, register: result.register === register ? register : {...result.register, revision: Math.min(5, result.register.revision)}};
		};

		expect(() => runFuzz({seed: 1, runs: 20, rule})).toThrow('Property failed');
	});
});

describe('DrainedDomains', () => {
	const target = (failureDomain: string): TargetReport => ({
		targetId: 't', bornMs: 1, sequence: 1, service: 's', address: '10.0.0.1:80', failureDomain, slots: 8, state: 'ready', coldLeftMs: 0,
	});

	it('excludes the targets of drained domains, until a newer register restores them', () => {
		const drained = new DrainedDomains();
		expect(drained.apply(registerAfter(drain))).toEqual([{...drain, revision: 1}]);
		expect([drained.reasonAgainst(target('a')), drained.reasonAgainst(target('b'))]).toEqual(['domainDrained', undefined]);
		expect(drained.apply(registerAfter(drain, restore))).toEqual([{...restore, revision: 2}]);
		expect(drained.reasonAgainst(target('a'))).toEqual(undefined);
	});

	it('ignores registers that arrive late or again', () => {
		const drained = new DrainedDomains();
		drained.apply(registerAfter(drain, restore));
		expect(drained.apply(registerAfter(drain))).toEqual([]);
		expect(drained.apply(registerAfter(drain, restore))).toEqual([]);
		expect([drained.drainedCount, drained.revision]).toEqual([0, 2]);
	});

	it('reports only domains that differ if it has missed registers between', () => {
		const drained = new DrainedDomains();
		drained.apply(registerAfter(drain));
		expect(drained.apply(registerAfter(drain, restore, drain))).toEqual([]);
		expect(drained.revision).toEqual(3);
	});
});

describe('readers of messages', () => {
	it('return what was sent', () => {
		const register = registerAfter(drain, {domain: 'b', isDrained: true}, restore);
		const registerText = JSON.stringify(register);
		const orderText = JSON.stringify(orderOn(register, drain));
		expect(readDomainRegister(JSON.parse(registerText))).toEqual(register);
		expect(readDomainOrder(JSON.parse(orderText))).toEqual(orderOn(register, drain));
	});

	it('refuse malformed, oversized and inconsistent registers with a typed failure', () => {
		const state = {domain: 'a', isDrained: true, revision: 1};
		const malformed = [
			undefined,
			null,
			'x',
			[],
			{},
			{revision: 1},
			{revision: -1, domains: []},
			{revision: 1.5, domains: []},
			{revision: '1', domains: []},
			{revision: 1, domains: {}},
			{revision: 1, domains: [null]},
			{revision: 1, domains: [{...state, domain: ''}]},
			{revision: 1, domains: [{...state, domain: 'x'.repeat(257)}]},
			{revision: 1, domains: [{...state, isDrained: 1}]},
			{revision: 0, domains: [state]},
			{revision: 1, domains: [state, state]},
			{revision: 1, domains: Array.from({length: 1025}, (_, index) => ({...state, domain: `d${index}`}))},
		];
		for (const value of malformed) {
			expect(() => readDomainRegister(value)).toThrow('');
		}

		for (const value of [undefined, null, 3, {}, {domain: 'a', isDrained: true}, {domain: 'a', isDrained: 'yes', baseRevision: 0}, {domain: 'a', isDrained: true, baseRevision: -1}]) {
			expect(() => readDomainOrder(value)).toThrow('');
		}
	});

	it('return a value or throw a typed failure, whatever the input is', () => {
		fc.assert(fc.property(fc.anything(), value => {
			for (const read of [readDomainRegister, readDomainOrder]) {
				expect(typeOfFailure(() => read(value))).toEqual('typed');
			}
		}));
	});
});

function typeOfFailure(read: () => unknown): 'typed' | 'other' {
	try {
		read();
		return 'typed';
	} catch (error) {
		return (error as {failure?: {type?: string}}).failure?.type?.endsWith('Malformed') === true ? 'typed' : 'other';
	}
}
