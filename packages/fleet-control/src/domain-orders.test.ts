import {describe, it} from 'node:test';
import {type DomainOrder, emptyRegister} from '@rattanspring/domain-drain';
import {expect} from 'earl';
import {DomainOrders, type DomainOrdersOptions} from './domain-orders.js';

const drain = {domain: 'a', isDrained: true};

describe('an order about a failure domain', () => {
	const setUp = (options: Partial<DomainOrdersOptions> = {}) => {
		const proposed: DomainOrder[] = [];
		const orders = new DomainOrders({
			nowMs: () => performance.now(),
			readRegister: async () => emptyRegister,
			async orderDomain(order) {
				proposed.push(order);
				return 'stored';
			},
			...options,
		});
		return {orders, proposed};
	};

	it('is proposed with the revision that was read after it had arrived', async () => {
		const {orders, proposed} = setUp({readRegister: async () => ({revision: 7, domains: [{domain: 'a', isDrained: false, revision: 5}]})});
		expect(await orders.order(drain, () => true)).toEqual('stored');
		expect(proposed).toEqual([{...drain, baseRevision: 5}]);
	});

	it('is not proposed if it holds already, if no quorum confirms the read, or if its caller has gone', async () => {
		const held = setUp({readRegister: async () => ({revision: 1, domains: [{...drain, revision: 1}]})});
		expect(await held.orders.order(drain, () => true)).toEqual('alreadyStored');
		const unconfirmed = setUp({readRegister: async () => undefined});
		expect(await unconfirmed.orders.order(drain, () => true)).toEqual('notProposed');
		const abandoned = setUp();
		expect(await abandoned.orders.order(drain, () => false)).toEqual('notProposed');
		expect([held, unconfirmed, abandoned].flatMap(({proposed}) => proposed)).toEqual([]);
	});

	it('is not proposed after the time of its caller, as after a suspension during the read', async () => {
		let nowMs = 0;
		const {orders, proposed} = setUp({
			nowMs: () => nowMs,
			async readRegister() {
				nowMs = 5000;
				return emptyRegister;
			},
		});
		expect(await orders.order(drain, () => true)).toEqual('notProposed');
		expect(proposed).toEqual([]);
	});

	it('is answered well within a second, whatever does not answer', async () => {
		const never = async () => new Promise<undefined>(() => {
			// It stays pending.
		});
		const startedAtMs = performance.now();
		expect(await setUp({readRegister: never}).orders.order(drain, () => true)).toEqual('notProposed');
		expect(await setUp({orderDomain: never}).orders.order(drain, () => true)).toEqual(undefined);
		expect(performance.now() - startedAtMs).toBeLessThan(450 + 900);
	});
});
