/**
The agent's side of map activation: a pure state machine for one rank. It ignores orders with a lower fencing number or
for another incarnation, so that the engine does not have to check them.
*/

import type {
	FencingNumber, GroupId, Incarnation, Transition,
} from '@rattanspring/types';
import type {ExpertMap} from '../expert-map.js';
import type {
	EngineAction, FormationNumber, MapVersion, Order, OrderBody, PendingMap, RankReply, RankStatus,
} from './orders.js';

/** State of one rank. */
export type RankState = {
	readonly groupId: GroupId;
	readonly rank: number;
	readonly rankIncarnation: Incarnation;
	readonly fencing: FencingNumber;
	readonly sequence: number;
	readonly status: RankStatus;
	/** The activated map that is used until `status.fromStep`. */
	readonly previousVersion: MapVersion;
	/** The highest version aborted on this rank; neither it nor a lower one is ever prepared again. */
	readonly highestAbortedVersion: MapVersion;
	readonly maps: readonly ExpertMap[];
	/** Number of the newest engine order passed to the engine; `status.engineOrderNumber` is updated once the engine has accepted it. */
	readonly lastStartedEngineOrder: number;
};

/** Input of the rank's state machine. */
export type RankEvent
	= | {readonly kind: 'order'; readonly order: Order}
		| {readonly kind: 'weightsLoaded'; readonly formation: FormationNumber; readonly version: MapVersion; readonly verified: boolean}
		| {readonly kind: 'engineOrdered'; readonly orderNumber: number; readonly taken: boolean}
		/** The engine began a step that `nextStep` allowed. */
		| {readonly kind: 'stepBegun'; readonly formation: FormationNumber; readonly step: number};

/** Effect that the rank's adapter carries out. */
export type RankEffect
	= | {readonly kind: 'reply'; readonly reply: RankReply}
		| {readonly kind: 'loadWeights'; readonly formation: FormationNumber; readonly map: ExpertMap}
		| {readonly kind: 'dropWeights'; readonly version: MapVersion}
		| {readonly kind: 'orderEngine'; readonly fencing: FencingNumber; readonly orderNumber: number; readonly action: EngineAction; readonly name: string};

/** Whether the rank may begin its next step, and with which map. */
export type NextStep
	= | {readonly kind: 'begin'; readonly formation: FormationNumber; readonly step: number; readonly version: MapVersion}
		| {readonly kind: 'hold'};

const noFormation: RankStatus = {
	formation: 0, isReady: false, version: 0, fromStep: 0, begunStep: -1, engineOrderNumber: 0,
};

/** Creates the state of a rank that has just started and belongs to no formation. */
export function newRank(options: {readonly groupId: GroupId; readonly rank: number; readonly rankIncarnation: Incarnation; readonly fencing?: FencingNumber}): RankState {
	return {
		fencing: 0, ...options, sequence: 0, status: noFormation, previousVersion: 0, highestAbortedVersion: 0, maps: [], lastStartedEngineOrder: 0,
	};
}

/** Returns whether the next step may begin, and with which map. An armed rank does not begin its step until the switch is activated or aborted. */
export function nextStep({status, previousVersion}: RankState): NextStep {
	const step = status.begunStep + 1;
	const isHeld = status.pending?.phase === 'armed' && step >= status.pending.atStep!;
	if (status.formation === 0 || !status.isReady || isHeld) {
		return {kind: 'hold'};
	}

	return {
		kind: 'begin', formation: status.formation, step, version: step >= status.fromStep ? status.version : previousVersion,
	};
}

/** Applies an event to the state machine. */
export function stepRank(state: RankState, event: RankEvent): Transition<RankState, RankEffect> {
	switch (event.kind) {
		case 'order': {
			return handleOrder(state, event.order);
		}

		case 'weightsLoaded': {
			return weightsLoaded(state, event);
		}

		case 'engineOrdered': {
			return engineOrdered(state, event.orderNumber, event.taken);
		}

		case 'stepBegun': {
			const isCurrent = event.formation === state.status.formation && event.step === state.status.begunStep + 1;
			return {state: isCurrent ? withStatus(state, {begunStep: event.step}) : state, effects: []};
		}
	}
}

function handleOrder(state: RankState, order: Order): Transition<RankState, RankEffect> {
	if (order.fencing < state.fencing) {
		return reply(state, []);
	}

	const fenced = {...state, fencing: order.fencing};
	if (order.rankIncarnation !== undefined && order.rankIncarnation !== state.rankIncarnation) {
		return reply(fenced, []);
	}

	const {state: next, effects} = applyOrder(fenced, order.body, order.fencing);
	return reply(next, effects, order.body.kind === 'poll');
}

function applyOrder(state: RankState, body: OrderBody, fencing: FencingNumber): Transition<RankState, RankEffect> {
	switch (body.kind) {
		case 'poll': {
			return {state, effects: []};
		}

		case 'form': {
			return form(state, body.formation, body.map);
		}

		case 'prepare': {
			return prepare(state, body.formation, body.map);
		}

		case 'arm': {
			return {state: arm(state, body), effects: []};
		}

		case 'activate': {
			return activate(state, body);
		}

		case 'abort': {
			return abort(state, body);
		}

		case 'engine': {
			return orderEngine(state, body, fencing);
		}
	}
}

function form(state: RankState, formation: FormationNumber, map: ExpertMap): Transition<RankState, RankEffect> {
	if (formation <= state.status.formation) {
		return {state, effects: []};
	}

	const status = {
		...noFormation, formation, version: map.version, engineOrderNumber: state.status.engineOrderNumber,
	};
	return {
		state: {
			...state, status, previousVersion: map.version, maps: [map],
		},
		effects: [{kind: 'loadWeights', formation, map}],
	};
}

function prepare(state: RankState, formation: FormationNumber, map: ExpertMap): Transition<RankState, RankEffect> {
	const {status} = state;
	const isUsed = map.version <= state.highestAbortedVersion || map.version <= status.version;
	if (formation !== status.formation || isUsed || status.pending) {
		return {state, effects: []};
	}

	const pending: PendingMap = {version: map.version, phase: 'loading'};
	return {
		state: {...withStatus(state, {pending}), maps: [...state.maps.filter(known => known.version === status.version), map]},
		effects: [{kind: 'loadWeights', formation, map}],
	};
}

function weightsLoaded(state: RankState, {formation, version, verified}: Extract<RankEvent, {kind: 'weightsLoaded'}>): Transition<RankState, RankEffect> {
	const {status} = state;
	if (formation !== status.formation) {
		return {state, effects: []};
	}

	if (status.pending?.version === version && status.pending.phase === 'loading') {
		return reply(withStatus(state, {pending: {version, phase: verified ? 'prepared' : 'failed'}}), []);
	}

	if (version !== status.version || status.isReady) {
		return {state, effects: []};
	}

	// A formation's first map has no map to fall back to, so its weights are loaded again until they verify.
	return verified ? reply(withStatus(state, {isReady: true}), []) : {state, effects: state.maps.map(map => ({kind: 'loadWeights', formation, map}))};
}

/**
Arms a prepared rank, or moves an armed one to a later step. A step that has begun can no longer be held. A rank whose
newest map is not in use yet is not armed, so that it never has to store more than one future map.
*/
function arm(state: RankState, {formation, version, atStep}: Extract<OrderBody, {kind: 'arm'}>): RankState {
	const {status} = state;
	const {pending} = status;
	const isInUse = status.begunStep >= status.fromStep || state.previousVersion === status.version;
	const isPrepared = pending?.phase === 'prepared' || (pending?.phase === 'armed' && atStep > pending.atStep!);
	if (formation !== status.formation || pending?.version !== version || !isPrepared || !isInUse || atStep <= status.begunStep) {
		return state;
	}

	return withStatus(state, {pending: {version, phase: 'armed', atStep}});
}

function activate(state: RankState, {formation, version, atStep}: Extract<OrderBody, {kind: 'activate'}>): Transition<RankState, RankEffect> {
	const {status} = state;
	const {pending} = status;
	if (formation !== status.formation || pending?.version !== version || pending.phase !== 'armed' || pending.atStep !== atStep) {
		return {state, effects: []};
	}

	return {
		state: {...withStatus(state, {version, fromStep: atStep, pending: undefined}), previousVersion: status.version},
		effects: [],
	};
}

function abort(state: RankState, {formation, version}: Extract<OrderBody, {kind: 'abort'}>): Transition<RankState, RankEffect> {
	const {status} = state;
	if (formation !== status.formation || version <= status.version) {
		return {state, effects: []};
	}

	const closed = {...state, highestAbortedVersion: Math.max(state.highestAbortedVersion, version)};
	if (!status.pending || status.pending.version > version) {
		return {state: closed, effects: []};
	}

	return {
		state: {...withStatus(closed, {pending: undefined}), maps: state.maps.filter(map => map.version === status.version)},
		effects: [{kind: 'dropWeights', version: status.pending.version}],
	};
}

function orderEngine(state: RankState, {orderNumber, action, name}: Extract<OrderBody, {kind: 'engine'}>, fencing: FencingNumber): Transition<RankState, RankEffect> {
	if (orderNumber <= state.lastStartedEngineOrder) {
		return {state, effects: []};
	}

	return {
		state: {...state, lastStartedEngineOrder: orderNumber},
		effects: [{
			kind: 'orderEngine', fencing, orderNumber, action, name,
		}],
	};
}

/** Records the result of an engine order. An order that the engine did not accept is passed on again when it is received again. */
function engineOrdered(state: RankState, orderNumber: number, taken: boolean): Transition<RankState, RankEffect> {
	if (taken) {
		return reply(withStatus(state, {engineOrderNumber: Math.max(state.status.engineOrderNumber, orderNumber)}), []);
	}

	const lastStartedEngineOrder = state.lastStartedEngineOrder === orderNumber ? state.status.engineOrderNumber : state.lastStartedEngineOrder;
	return {state: {...state, lastStartedEngineOrder}, effects: []};
}

function reply(state: RankState, effects: readonly RankEffect[], withMaps = false): Transition<RankState, RankEffect> {
	const sequence = state.sequence + 1;
	const {groupId, rank, rankIncarnation, fencing, status} = state;
	const sent: RankReply = {
		groupId, rank, rankIncarnation, sequence, fencing, status, maps: withMaps ? state.maps : [],
	};
	return {state: {...state, sequence}, effects: [...effects, {kind: 'reply', reply: sent}]};
}

function withStatus(state: RankState, change: Partial<RankStatus>): RankState {
	return {...state, status: {...state.status, ...change}};
}
