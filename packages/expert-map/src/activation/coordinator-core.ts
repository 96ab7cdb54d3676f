/**
The coordinator's side of map activation: a pure state machine that acts under a lease with a fencing number.
It polls all ranks before it makes a decision, completes switches that an earlier coordinator committed, and aborts all others.
*/

import type {FencingNumber, GroupId, Transition} from '@rattanspring/types';
import type {ExpertMap, LayerMap} from '../expert-map.js';
import type {
	EngineAction, FormationNumber, MapVersion, Order, OrderBody, RankReply,
} from './orders.js';

/** Current activity of the coordinator. */
export type CoordinatorPhase
	= | {readonly kind: 'standby'}
		| {readonly kind: 'polling'}
		| {readonly kind: 'idle'}
		| {readonly kind: 'forming'; readonly formation: FormationNumber; readonly map: ExpertMap}
		| {readonly kind: 'preparing'; readonly map: ExpertMap; readonly untilMs: number}
		| {readonly kind: 'arming'; readonly version: MapVersion; readonly atStep: number; readonly untilMs: number}
		| {readonly kind: 'activating'; readonly version: MapVersion; readonly atStep: number}
		| {readonly kind: 'aborting'; readonly version: MapVersion};

/** Group, time limits and margins. */
export type CoordinatorOptions = {
	readonly groupId: GroupId;
	readonly rankCount: number;
	/** Time limit for loading and verifying weights. */
	readonly prepareLimitMs?: number;
	/** Longest time for which ranks may be held at a step before the switch is committed or aborted. */
	readonly armLimitMs?: number;
	/** Steps between the newest step seen and the step at which ranks are armed. */
	readonly armMarginSteps?: number;
};

/** A pending order for the engine of one rank. */
export type EngineOrderRequest = {readonly rank: number; readonly orderNumber: number; readonly action: EngineAction; readonly name: string};

/** State of a coordinator. */
export type CoordinatorState = {
	readonly options: Required<CoordinatorOptions>;
	readonly fencing: FencingNumber;
	/** Time on the coordinator's own clock after which it sends no orders. */
	readonly leaseUntilMs: number;
	readonly phase: CoordinatorPhase;
	/** The newest reply of each rank under this lease. */
	readonly replies: ReadonlyMap<number, RankReply>;
	readonly maps: ReadonlyMap<MapVersion, ExpertMap>;
	/** The map with which a formation starts if no rank knows one. */
	readonly firstLayers: readonly LayerMap[];
	/** The current formation of the group. */
	readonly formation: FormationNumber;
	readonly version: MapVersion;
	/** Count of numbers issued under this lease. */
	readonly issuedNumbers: number;
	readonly armMargin: number;
	readonly engineOrders: readonly EngineOrderRequest[];
	readonly nowMs: number;
};

/** Input of the coordinator's state machine. */
export type CoordinatorEvent
	/** The lease was granted or renewed. */
	= | {readonly kind: 'lease'; readonly fencing: FencingNumber; readonly untilMs: number}
		| {readonly kind: 'leaseLost'}
		| {readonly kind: 'reply'; readonly reply: RankReply}
		/** A planned map; ignored unless the coordinator is idle. */
		| {readonly kind: 'plan'; readonly layers: readonly LayerMap[]}
		| {readonly kind: 'engineOrder'; readonly rank: number; readonly action: EngineAction; readonly name: string}
		/** Advances the time; unanswered orders are sent again. An adapter sends a tick before every other event. */
		| {readonly kind: 'tick'; readonly nowMs: number};

/** Effect that the coordinator's adapter carries out. */
export type CoordinatorEffect
	= | {readonly kind: 'send'; readonly order: Order}
		| {readonly kind: 'mapActive'; readonly version: MapVersion}
		| {readonly kind: 'mapAborted'; readonly version: MapVersion}
		| {readonly kind: 'groupFormed'; readonly formation: FormationNumber; readonly version: MapVersion};

/** Size of the number range of one lease, shared by formations, versions and engine orders. */
const numbersPerLease = 1_048_576;

const defaultLimits = {prepareLimitMs: 120_000, armLimitMs: 5000, armMarginSteps: 3};

/** Creates the state of a coordinator without a lease. */
export function newCoordinator(options: CoordinatorOptions, firstLayers: readonly LayerMap[]): CoordinatorState {
	return {
		options: {...defaultLimits, ...options},
		fencing: 0,
		leaseUntilMs: 0,
		phase: {kind: 'standby'},
		replies: new Map(),
		maps: new Map(),
		firstLayers,
		formation: 0,
		version: 0,
		issuedNumbers: 0,
		armMargin: options.armMarginSteps ?? defaultLimits.armMarginSteps,
		engineOrders: [],
		nowMs: 0,
	};
}

/** Applies an event to the state machine. */
export function stepCoordinator(state: CoordinatorState, event: CoordinatorEvent): Transition<CoordinatorState, CoordinatorEffect> {
	switch (event.kind) {
		case 'lease': {
			return handleLease(state, event);
		}

		case 'leaseLost': {
			return {state: toStandby(state), effects: []};
		}

		case 'reply': {
			return handleReply(state, event.reply);
		}

		case 'plan': {
			return handlePlan(state, event.layers);
		}

		case 'engineOrder': {
			return handleEngineOrder(state, event);
		}

		case 'tick': {
			return tick({...state, nowMs: event.nowMs});
		}
	}
}

/** Whether orders may be sent, that is, the lease has not expired on the coordinator's own clock. */
export function hasValidLease(state: CoordinatorState): boolean {
	return state.phase.kind !== 'standby' && state.nowMs < state.leaseUntilMs;
}

function handleLease(state: CoordinatorState, {fencing, untilMs}: Extract<CoordinatorEvent, {kind: 'lease'}>): Transition<CoordinatorState, CoordinatorEffect> {
	if (fencing === state.fencing && state.phase.kind !== 'standby') {
		return {state: {...state, leaseUntilMs: untilMs}, effects: []};
	}

	// A fencing number is never reused: the numbers issued under it would be issued twice.
	if (fencing <= state.fencing) {
		return {state, effects: []};
	}

	return sendPhase({
		...toStandby(state), fencing, leaseUntilMs: untilMs, issuedNumbers: 0, phase: {kind: 'polling'},
	});
}

function toStandby(state: CoordinatorState): CoordinatorState {
	return {
		...state, phase: {kind: 'standby'}, replies: new Map(), formation: 0, version: 0, engineOrders: [],
	};
}

function handleReply(state: CoordinatorState, reply: RankReply): Transition<CoordinatorState, CoordinatorEffect> {
	if (state.phase.kind === 'standby' || reply.groupId !== state.options.groupId) {
		return {state, effects: []};
	}

	if (reply.fencing > state.fencing) {
		return {state: toStandby(state), effects: []};
	}

	// A reply from before this lease does not prove that the rank refuses orders of the previous coordinator.
	if (reply.fencing < state.fencing || !isNewer(reply, state.replies.get(reply.rank))) {
		return {state, effects: []};
	}

	const maps = new Map(state.maps);
	for (const map of reply.maps) {
		maps.set(map.version, map);
	}

	const known = state.replies.get(reply.rank);
	const hasRestarted = known !== undefined && known.rankIncarnation < reply.rankIncarnation;
	const next = withoutCompletedEngineOrders({...state, replies: new Map(state.replies).set(reply.rank, reply), maps});
	// A rank that restarted cannot rejoin its formation, because the other ranks may have run steps in it.
	return hasRestarted && next.phase.kind === 'forming' ? startNewFormation(next) : advance(next);
}

function isNewer(reply: RankReply, known: RankReply | undefined): boolean {
	if (!known || reply.rankIncarnation > known.rankIncarnation) {
		return true;
	}

	return reply.rankIncarnation === known.rankIncarnation && reply.sequence > known.sequence;
}

/** Enters the next phase if the replies allow it. */
function advance(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	if (state.replies.size < state.options.rankCount) {
		return {state, effects: []};
	}

	const {phase} = state;
	if (phase.kind === 'polling') {
		return afterPolling(state);
	}

	if (phase.kind === 'forming') {
		return afterForming(state, phase);
	}

	if (everyReply(state, ({status}) => status.formation === state.formation)) {
		return advancePhase(state);
	}

	return startNewFormation(state);
}

function advancePhase(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	const {phase} = state;
	switch (phase.kind) {
		case 'preparing': {
			return afterPreparing(state, phase.map);
		}

		case 'arming': {
			return afterArming(state, phase);
		}

		case 'activating': {
			const isDone = everyReply(state, ({status}) => status.version === phase.version);
			return isDone
				? {state: toIdle(state, phase.version), effects: [{kind: 'mapActive', version: phase.version}]}
				: {state, effects: []};
		}

		case 'aborting': {
			const isDone = everyReply(state, ({status}) => status.pending === undefined);
			return isDone
				? {state: toIdle(state, state.version), effects: [{kind: 'mapAborted', version: phase.version}]}
				: {state, effects: []};
		}

		case 'standby':
		case 'polling':
		case 'forming':
		case 'idle': {
			return {state, effects: []};
		}
	}
}

/** Called once all ranks refuse orders of earlier coordinators: committed switches are completed, all others are aborted. */
function afterPolling(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	const replies = [...state.replies.values()];
	const [{status: {formation}}] = replies;
	const version = Math.max(...replies.map(reply => reply.status.version));
	if (formation === 0 || !everyReply(state, ({status}) => status.formation === formation)) {
		return startNewFormation(state);
	}

	const decided = replies.find(reply => reply.status.version === version)!.status;
	const known = {...state, formation, version};
	if (!everyReply(state, ({status}) => status.version === version)) {
		const canFinish = everyReply(state, ({status}) => status.version === version || (status.pending?.version === version && status.pending.phase === 'armed' && status.pending.atStep === decided.fromStep));
		return canFinish ? sendPhase({...known, phase: {kind: 'activating', version, atStep: decided.fromStep}}) : startNewFormation(known);
	}

	const pending = replies.flatMap(reply => reply.status.pending ? [reply.status.pending.version] : []);
	return pending.length > 0 ? startAbort(known, Math.max(...pending)) : {state: toIdle(known, version), effects: [{kind: 'mapActive', version}]};
}

/** Enters the idle phase and drops all maps but the active one. */
function toIdle(state: CoordinatorState, version: MapVersion): CoordinatorState {
	const inForce = state.maps.get(version);
	return {
		...state, version, maps: new Map(inForce ? [[version, inForce]] : []), phase: {kind: 'idle'},
	};
}

function afterForming(state: CoordinatorState, {formation, map}: Extract<CoordinatorPhase, {kind: 'forming'}>): Transition<CoordinatorState, CoordinatorEffect> {
	const isDone = everyReply(state, ({status}) => status.formation === formation && status.isReady);
	if (!isDone) {
		return {state, effects: []};
	}

	return {
		state: toIdle({...state, formation}, map.version),
		effects: [{kind: 'groupFormed', formation, version: map.version}],
	};
}

function afterPreparing(state: CoordinatorState, {version}: ExpertMap): Transition<CoordinatorState, CoordinatorEffect> {
	if ([...state.replies.values()].some(({status}) => status.pending?.version === version && status.pending.phase === 'failed')) {
		return startAbort(state, version);
	}

	const isDone = everyReply(state, ({status}) => status.pending?.version === version && status.pending.phase === 'prepared');
	return isDone ? startArming({...state, armMargin: state.options.armMarginSteps}, version, state.nowMs + state.options.armLimitMs) : {state, effects: []};
}

function startArming(state: CoordinatorState, version: MapVersion, untilMs: number): Transition<CoordinatorState, CoordinatorEffect> {
	const newest = Math.max(...[...state.replies.values()].map(reply => reply.status.begunStep));
	return sendPhase({
		...state,
		phase: {
			kind: 'arming', version, atStep: newest + state.armMargin, untilMs,
		},
	});
}

/** Activates the map once every rank is armed at the same step. If a rank had already begun that step, all are armed again for a later one. */
function afterArming(state: CoordinatorState, {version, atStep, untilMs}: Extract<CoordinatorPhase, {kind: 'arming'}>): Transition<CoordinatorState, CoordinatorEffect> {
	const isArmed = ({status: {pending}}: RankReply): boolean => pending?.version === version && pending.phase === 'armed' && pending.atStep === atStep;
	if (everyReply(state, isArmed)) {
		return sendPhase({...state, phase: {kind: 'activating', version, atStep}});
	}

	const isTooLate = [...state.replies.values()].some(reply => !isArmed(reply) && reply.status.begunStep >= atStep);
	return isTooLate ? startArming({...state, armMargin: state.armMargin * 2}, version, untilMs) : {state, effects: []};
}

function startAbort(state: CoordinatorState, version: MapVersion): Transition<CoordinatorState, CoordinatorEffect> {
	return sendPhase({...state, phase: {kind: 'aborting', version}});
}

/** Ends the current formation and starts a new one with the newest map that was activated on any rank. */
function startNewFormation(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	const newest = Math.max(...[...state.replies.values()].map(reply => reply.status.version));
	const formation = uniqueNumber(state, state.issuedNumbers);
	const firstMap: ExpertMap = {groupId: state.options.groupId, version: uniqueNumber(state, state.issuedNumbers + 1), layers: state.firstLayers};
	const map = state.maps.get(newest) ?? firstMap;
	const maps = new Map(state.maps).set(map.version, map);
	return sendPhase({
		...state, maps, formation, issuedNumbers: state.issuedNumbers + 2, phase: {kind: 'forming', formation, map},
	});
}

function handlePlan(state: CoordinatorState, layers: readonly LayerMap[]): Transition<CoordinatorState, CoordinatorEffect> {
	if (state.phase.kind !== 'idle' || !hasValidLease(state)) {
		return {state, effects: []};
	}

	const map: ExpertMap = {groupId: state.options.groupId, version: uniqueNumber(state, state.issuedNumbers), layers};
	return sendPhase({
		...state,
		issuedNumbers: state.issuedNumbers + 1,
		maps: new Map(state.maps).set(map.version, map),
		phase: {kind: 'preparing', map, untilMs: state.nowMs + state.options.prepareLimitMs},
	});
}

function handleEngineOrder(state: CoordinatorState, {rank, action, name}: Extract<CoordinatorEvent, {kind: 'engineOrder'}>): Transition<CoordinatorState, CoordinatorEffect> {
	if (!hasValidLease(state)) {
		return {state, effects: []};
	}

	const request = {
		rank, action, name, orderNumber: uniqueNumber(state, state.issuedNumbers),
	};
	const next = {...state, issuedNumbers: state.issuedNumbers + 1, engineOrders: [...state.engineOrders, request]};
	return {state: next, effects: engineOrderEffects(next)};
}

function withoutCompletedEngineOrders(state: CoordinatorState): CoordinatorState {
	const isDone = ({rank, orderNumber}: EngineOrderRequest): boolean => (state.replies.get(rank)?.status.engineOrderNumber ?? 0) >= orderNumber;
	return state.engineOrders.some(order => isDone(order)) ? {...state, engineOrders: state.engineOrders.filter(order => !isDone(order))} : state;
}

function tick(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	const {phase} = state;
	if (phase.kind !== 'standby' && !hasValidLease(state)) {
		return {state: toStandby(state), effects: []};
	}

	const isTimedOut = (phase.kind === 'preparing' || phase.kind === 'arming') && state.nowMs >= phase.untilMs;
	if (isTimedOut) {
		return startAbort(state, phase.kind === 'preparing' ? phase.map.version : phase.version);
	}

	return sendPhase(state);
}

/** Sends each rank the order of the current phase. Ranks ignore orders that they have already applied. */
function sendPhase(state: CoordinatorState): Transition<CoordinatorState, CoordinatorEffect> {
	if (!hasValidLease(state)) {
		return {state, effects: []};
	}

	const effects: CoordinatorEffect[] = [];
	for (let rank = 0; rank < state.options.rankCount; rank++) {
		effects.push({kind: 'send', order: createOrder(state, rank, orderBodyFor(state))});
	}

	return {state, effects: [...effects, ...engineOrderEffects(state)]};
}

function orderBodyFor({phase, formation}: CoordinatorState): OrderBody {
	switch (phase.kind) {
		case 'forming': {
			return {kind: 'form', formation: phase.formation, map: phase.map};
		}

		case 'preparing': {
			return {kind: 'prepare', formation, map: phase.map};
		}

		case 'arming': {
			return {
				kind: 'arm', formation, version: phase.version, atStep: phase.atStep,
			};
		}

		case 'activating': {
			return {
				kind: 'activate', formation, version: phase.version, atStep: phase.atStep,
			};
		}

		case 'aborting': {
			return {kind: 'abort', formation, version: phase.version};
		}

		case 'standby':
		case 'polling':
		case 'idle': {
			return {kind: 'poll'};
		}
	}
}

/** Sends the oldest pending engine order of each rank; the next one follows once it is completed. */
function engineOrderEffects(state: CoordinatorState): CoordinatorEffect[] {
	const first = state.engineOrders.filter((order, index, orders) => orders.findIndex(other => other.rank === order.rank) === index);
	return first.map(({rank, orderNumber, action, name}) => ({
		kind: 'send',
		order: createOrder(state, rank, {
			kind: 'engine', orderNumber, action, name,
		}),
	}));
}

function createOrder(state: CoordinatorState, rank: number, body: OrderBody): Order {
	return {
		groupId: state.options.groupId, rank, fencing: state.fencing, rankIncarnation: body.kind === 'poll' ? undefined : state.replies.get(rank)?.rankIncarnation, body,
	};
}

/** A number that no other coordinator issues, greater than all numbers issued under earlier leases. */
function uniqueNumber(state: CoordinatorState, index: number): number {
	return (state.fencing * numbersPerLease) + index;
}

function everyReply(state: CoordinatorState, predicate: (reply: RankReply) => boolean): boolean {
	return [...state.replies.values()].every(reply => predicate(reply));
}
