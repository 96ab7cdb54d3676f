import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ActivationSimulation, fuzz} from './activation.fuzz.js';
import type {Order, OrderBody} from './orders.js';
import {
	newRank, nextStep, type RankState, stepRank,
} from './rank-core.js';

const map = {groupId: 'g', version: 10, layers: []};
const nextMap = {groupId: 'g', version: 20, layers: []};

function order(body: OrderBody, fencing = 1, rankIncarnation = 1): Order {
	return {
		groupId: 'g', rank: 0, fencing, rankIncarnation, body,
	};
}

function applyOrders(state: RankState, ...bodies: readonly OrderBody[]): RankState {
	let current = state;
	for (const body of bodies) {
		current = stepRank(current, {kind: 'order', order: order(body)}).state;
	}

	return current;
}

function loaded(state: RankState, version: number): RankState {
	return stepRank(state, {
		kind: 'weightsLoaded', formation: 1, version, verified: true,
	}).state;
}

function formedRank(): RankState {
	const fresh = newRank({groupId: 'g', rank: 0, rankIncarnation: 1});
	return loaded(applyOrders(fresh, {kind: 'form', formation: 1, map}), 10);
}

function armed(): RankState {
	const prepared = loaded(applyOrders(formedRank(), {kind: 'prepare', formation: 1, map: nextMap}), 20);
	return applyOrders(prepared, {
		kind: 'arm', formation: 1, version: 20, atStep: 1,
	});
}

function begun(state: RankState, step: number): RankState {
	return stepRank(state, {kind: 'stepBegun', formation: 1, step}).state;
}

describe('stepRank', () => {
	it('continues to step while weights load', () => {
		const preparing = applyOrders(formedRank(), {kind: 'prepare', formation: 1, map: nextMap});
		expect(nextStep(preparing)).toEqual({
			kind: 'begin', formation: 1, step: 0, version: 10,
		});
	});

	it('does not begin the armed step before the switch is activated', () => {
		expect(nextStep(armed()).kind).toEqual('begin');
		expect(nextStep(begun(armed(), 0))).toEqual({kind: 'hold'});
	});

	it('uses the new map from the armed step on', () => {
		const active = applyOrders(armed(), {
			kind: 'activate', formation: 1, version: 20, atStep: 1,
		});
		expect(nextStep(active)).toLooseEqual({
			kind: 'begin', formation: 1, step: 0, version: 10,
		});
		expect(nextStep(begun(active, 0))).toEqual({
			kind: 'begin', formation: 1, step: 1, version: 20,
		});
	});

	it('never prepares an aborted version again', () => {
		const aborted = applyOrders(armed(), {kind: 'abort', formation: 1, version: 20}, {kind: 'prepare', formation: 1, map: nextMap});
		expect(aborted.status.pending).toEqual(undefined);
		expect(nextStep(begun(aborted, 0)).kind).toEqual('begin');
	});

	it('ignores orders with a lower fencing number or for another incarnation', () => {
		const fenced = stepRank(armed(), {kind: 'order', order: order({kind: 'poll'}, 2)}).state;
		const activate: OrderBody = {
			kind: 'activate', formation: 1, version: 20, atStep: 1,
		};
		for (const dropped of [order(activate, 1), order(activate, 3, 2)]) {
			const {state, effects} = stepRank(fenced, {kind: 'order', order: dropped});
			expect(state.status.version).toEqual(10);
			expect(effects.map(effect => effect.kind)).toEqual(['reply']);
		}
	});

	it('does not arm a step that has begun', () => {
		const prepared = begun(loaded(applyOrders(formedRank(), {kind: 'prepare', formation: 1, map: nextMap}), 20), 0);
		const late = applyOrders(prepared, {
			kind: 'arm', formation: 1, version: 20, atStep: 0,
		});
		expect(late.status.pending?.phase).toEqual('prepared');
	});

	it('passes a repeated engine order to the engine only once', () => {
		const body: OrderBody = {
			kind: 'engine', orderNumber: 5, action: 'loadAdapter', name: 'menus',
		};
		const first = stepRank(formedRank(), {kind: 'order', order: order(body)});
		const again = stepRank(first.state, {kind: 'order', order: order(body)});
		expect(first.effects.map(effect => effect.kind)).toEqual(['orderEngine', 'reply']);
		expect(again.effects.map(effect => effect.kind)).toEqual(['reply']);
		expect(again.state.status.engineOrderNumber).toEqual(0);
		const taken = stepRank(again.state, {kind: 'engineOrdered', orderNumber: 5, taken: true}).state;
		expect(taken.status.engineOrderNumber).toEqual(5);
	});

	it('passes an engine order on again if the engine did not accept it', () => {
		const body: OrderBody = {
			kind: 'engine', orderNumber: 5, action: 'loadAdapter', name: 'menus',
		};
		const first = stepRank(formedRank(), {kind: 'order', order: order(body)});
		const failed = stepRank(first.state, {kind: 'engineOrdered', orderNumber: 5, taken: false});
		const again = stepRank(failed.state, {kind: 'order', order: order(body)});
		expect(again.effects.map(effect => effect.kind)).toEqual(['orderEngine', 'reply']);
	});

	it('loads the weights of a first map again until they verify', () => {
		const forming = applyOrders(newRank({groupId: 'g', rank: 0, rankIncarnation: 1}), {kind: 'form', formation: 1, map});
		const {state, effects} = stepRank(forming, {
			kind: 'weightsLoaded', formation: 1, version: 10, verified: false,
		});
		expect(state.status.isReady).toEqual(false);
		expect(effects.map(effect => effect.kind)).toEqual(['loadWeights']);
	});
});

describe('activation under random schedules', () => {
	it('uses one map per step on all ranks and recovers from faults', () => {
		fuzz({seed: 6, runs: 400});
	});

	it('detects agents that ignore fencing numbers', () => {
		expect(() => {
			fuzz({seed: 2, runs: 100, fault: 'fencingIgnored'});
		}).toThrow(Error, /runs on map/);
	});

	it('detects an armed rank that begins its step too early', () => {
		expect(() => {
			fuzz({seed: 1, runs: 50, fault: 'armedRankStepsOn'});
		}).toThrow(Error, /runs on map/);
	});

	it('switches maps without faults', () => {
		const simulation = new ActivationSimulation();
		simulation.recover();
		expect(simulation.switches >= 1).toEqual(true);
	});
});
