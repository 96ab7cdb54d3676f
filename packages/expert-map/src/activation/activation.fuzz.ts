/**
Runs the production state machines of ranks and coordinators under random schedules: messages are delayed, lost, duplicated
and reordered, ranks and coordinators restart, and several coordinators believe at once that they hold the lease. Invariants:
all ranks that take part in a step use the same map, an aborted map is never used, and the group continues once faults end.
*/

import fc from 'fast-check';
import type {LayerMap} from '../expert-map.js';
import {
	type CoordinatorEffect, type CoordinatorEvent, type CoordinatorState, newCoordinator, stepCoordinator,
} from './coordinator-core.js';
import type {Order, RankReply} from './orders.js';
import {
	newRank, nextStep, type RankEffect, type RankEvent, type RankState, stepRank,
} from './rank-core.js';

/** Size of the simulation. */
const rankCount = 3;
const coordinatorCount = 2;

/** Largest number of actions in a schedule. */
const maxActions = 400;

/** Rounds within which the group must recover once faults end. */
const recoveryRounds = 60;

/** In schedules with slow steps, only one in this many `beginStep` actions is performed. */
const slowStepFactor = 16;

/** Actions of a schedule. The weights make normal progress the most frequent. */
const actionWeights = {
	deliver: 12, deliverTwice: 2, holdBack: 4, release: 3, lose: 1, exchange: 5, beginStep: 12, loadWeights: 6, failWeights: 1,
	tick: 3, grantLease: 1, plan: 4, restartRank: 1, restartCoordinator: 1, advanceClock: 1,
} as const;

type ActionKind = keyof typeof actionWeights;

/** One action; `pick` selects the message, rank or coordinator that it applies to. */
export type Action = {readonly kind: ActionKind; readonly pick: number};

/** A fault injected into the simulation, which the invariant checks must detect. */
export type InjectedFault = 'none' | 'fencingIgnored' | 'armedRankStepsOn';

type Message = {readonly to: 'rank'; readonly coordinator: number; readonly order: Order} | {readonly to: 'coordinator'; readonly coordinator: number; readonly reply: RankReply};
type PendingLoad = {readonly rank: number; readonly event: Extract<RankEvent, {kind: 'weightsLoaded'}>};

const layers: readonly LayerMap[] = [{replicas: [{expert: 0, rank: 0, share: 1}]}];

/** The simulation of one schedule. Methods throw if an invariant is violated. */
export class ActivationSimulation {
	/** Number of activated maps and new formations. */
	switches = 0;
	readonly #fault: InjectedFault;
	readonly #ranks: RankState[];
	readonly #coordinators: CoordinatorState[];
	readonly #messages: Message[] = [];
	/** Messages that are delayed by any number of other messages. */
	readonly #delayedMessages: Message[] = [];
	readonly #loads: PendingLoad[] = [];
	readonly #stepVersions = new Map<string, number>();
	readonly #aborted = new Set<number>();
	#fencing = 0;
	#nowMs = 0;

	constructor(fault: InjectedFault = 'none') {
		this.#fault = fault;
		this.#ranks = Array.from({length: rankCount}, (_, rank) => newRank({groupId: 'g', rank, rankIncarnation: 1}));
		this.#coordinators = Array.from({length: coordinatorCount}, () => createCoordinator());
		this.#grantLease(0);
	}

	/** Performs one action. */
	perform({kind, pick}: Action): void {
		const coordinator = pick % coordinatorCount;
		const rank = pick % rankCount;
		switch (kind) {
			case 'deliver': {
				this.#deliver(removeOne(this.#messages, pick));
				break;
			}

			case 'deliverTwice': {
				const message = removeOne(this.#messages, pick);
				this.#deliver(message);
				this.#messages.push(...message ? [message] : []);
				break;
			}

			case 'holdBack': {
				this.#delayedMessages.push(...removeUpToOne(this.#messages, pick));
				break;
			}

			case 'release': {
				this.#deliver(removeOne(this.#delayedMessages, pick));
				break;
			}

			case 'lose': {
				removeOne(this.#messages, pick);
				break;
			}

			case 'exchange': {
				this.#exchange(coordinator);
				break;
			}

			case 'beginStep': {
				this.#beginStep(rank);
				break;
			}

			case 'loadWeights':
			case 'failWeights': {
				this.#load(pick, kind === 'loadWeights');
				break;
			}

			case 'tick': {
				this.#toCoordinator(coordinator, {kind: 'tick', nowMs: this.#nowMs});
				break;
			}

			case 'grantLease': {
				this.#grantLease(coordinator);
				break;
			}

			case 'plan': {
				this.#toCoordinator(coordinator, {kind: 'plan', layers});
				break;
			}

			case 'restartRank': {
				const {rankIncarnation} = this.#ranks[rank];
				this.#ranks[rank] = newRank({groupId: 'g', rank, rankIncarnation: rankIncarnation + 1});
				break;
			}

			case 'restartCoordinator': {
				this.#coordinators[coordinator] = createCoordinator();
				break;
			}

			case 'advanceClock': {
				this.#nowMs += 3000;
				break;
			}
		}
	}

	/** Ends all faults and checks that the group continues to step and activates a new map. */
	recover(): void {
		this.#grantLease(0);
		this.#round(recoveryRounds);
		const before = Math.min(...this.#ranks.map(rank => rank.status.begunStep));
		const {version} = this.#ranks[0].status;
		this.#toCoordinator(0, {kind: 'plan', layers});
		this.#round(recoveryRounds);
		const after = Math.min(...this.#ranks.map(rank => rank.status.begunStep));
		if (after <= before || this.#ranks.some(rank => rank.status.version <= version)) {
			throw new Error(`the group did not recover: steps ${before} to ${after}, ${JSON.stringify(this.#ranks.map(rank => rank.status))}, ${JSON.stringify(this.#coordinators[0].phase)}`);
		}
	}

	#round(rounds: number): void {
		for (let round = 0; round < rounds; round++) {
			this.#toCoordinator(0, {kind: 'tick', nowMs: this.#nowMs});
			for (let coordinator = 0; coordinator < coordinatorCount; coordinator++) {
				this.#exchange(coordinator);
			}

			for (let count = this.#loads.length; count > 0; count--) {
				this.#load(0, true);
			}

			for (let rank = 0; rank < rankCount; rank++) {
				this.#beginStep(rank);
			}
		}
	}

	#grantLease(coordinator: number): void {
		this.#fencing++;
		this.#toCoordinator(coordinator, {kind: 'lease', fencing: this.#fencing, untilMs: Number.POSITIVE_INFINITY});
	}

	/** Delivers all messages that are currently in flight from and to one coordinator. */
	#exchange(coordinator: number): void {
		const due = this.#messages.filter(message => message.coordinator === coordinator);
		this.#messages.splice(0, this.#messages.length, ...this.#messages.filter(message => message.coordinator !== coordinator));
		for (const message of due) {
			this.#deliver(message);
		}
	}

	#deliver(message: Message | undefined): void {
		if (message?.to === 'rank') {
			this.#toRank(message.order.rank, {kind: 'order', order: this.#injectFault(message.order)}, message.coordinator);
		} else if (message?.to === 'coordinator') {
			this.#toCoordinator(message.coordinator, {kind: 'reply', reply: message.reply});
		}
	}

	/** Raises an order's fencing number if needed, so that the rank's fencing check has no effect. */
	#injectFault(order: Order): Order {
		return this.#fault === 'fencingIgnored' ? {...order, fencing: Math.max(order.fencing, this.#ranks[order.rank].fencing)} : order;
	}

	#load(pick: number, verified: boolean): void {
		const load = removeOne(this.#loads, pick);
		if (load) {
			this.#toRank(load.rank, {...load.event, verified}, undefined);
		}
	}

	/** Begins a rank's next step if all ranks of its formation have begun the previous one. */
	#beginStep(rank: number): void {
		const state = this.#ranks[rank];
		const next = this.#fault === 'armedRankStepsOn' ? nextStep({...state, status: {...state.status, pending: undefined}}) : nextStep(state);
		if (next.kind === 'hold') {
			return;
		}

		const isComplete = this.#ranks.every(({status}) => status.formation === next.formation && status.begunStep >= next.step - 1);
		if (next.step > 0 && !isComplete) {
			return;
		}

		this.#checkStep(`${next.formation} ${next.step}`, next.version);
		this.#toRank(rank, {kind: 'stepBegun', formation: next.formation, step: next.step}, undefined);
	}

	#checkStep(step: string, version: number): void {
		const used = this.#stepVersions.get(step) ?? version;
		this.#stepVersions.set(step, used);
		if (used !== version) {
			throw new Error(`step ${step} runs on maps ${used} and ${version}`);
		}

		if (this.#aborted.has(version)) {
			throw new Error(`step ${step} runs on map ${version}, which was aborted`);
		}
	}

	#toRank(rank: number, event: RankEvent, coordinator: number | undefined): void {
		const {state, effects} = stepRank(this.#ranks[rank], event);
		this.#ranks[rank] = state;
		for (const effect of effects) {
			this.#applyRankEffect(rank, effect, coordinator);
		}
	}

	#applyRankEffect(rank: number, effect: RankEffect, coordinator: number | undefined): void {
		if (effect.kind === 'reply') {
			for (let to = 0; to < coordinatorCount; to++) {
				if (coordinator === undefined || coordinator === to) {
					this.#messages.push({to: 'coordinator', coordinator: to, reply: effect.reply});
				}
			}
		} else if (effect.kind === 'loadWeights') {
			const {formation, map: {version}} = effect;
			this.#loads.push({
				rank, event: {
					kind: 'weightsLoaded', formation, version, verified: true,
				},
			});
		}
	}

	#toCoordinator(coordinator: number, event: CoordinatorEvent): void {
		const {state, effects} = stepCoordinator(this.#coordinators[coordinator], event);
		this.#coordinators[coordinator] = state;
		for (const effect of effects) {
			this.#applyCoordinatorEffect(coordinator, effect);
		}
	}

	#applyCoordinatorEffect(coordinator: number, effect: CoordinatorEffect): void {
		if (effect.kind === 'send') {
			this.#messages.push({to: 'rank', coordinator, order: effect.order});
		} else if (effect.kind === 'mapAborted') {
			this.#aborted.add(effect.version);
		} else {
			this.switches++;
		}
	}
}

/** Removes one element from a list; undefined if the list is empty. */
function removeOne<Element>(list: Element[], pick: number): Element | undefined {
	return removeUpToOne(list, pick)[0];
}

function removeUpToOne<Element>(list: Element[], pick: number): Element[] {
	return list.length === 0 ? [] : list.splice(pick % list.length, 1);
}

function createCoordinator(): CoordinatorState {
	return newCoordinator({groupId: 'g', rankCount}, layers);
}

/**
Random schedules. In some, no process restarts, so that only messages and leases disturb switches; in some, steps are
slow compared to messages, so that a switch is committed before the previous map is in use.
*/
export const schedules = fc.record({
	restarts: fc.boolean(),
	slowSteps: fc.boolean(),
	actions: fc.array(fc.record({
		kind: fc.oneof(...Object.entries(actionWeights).map(([kind, weight]) => ({weight, arbitrary: fc.constant(kind as ActionKind)}))),
		pick: fc.nat(10_000),
	}), {minLength: maxActions / 4, maxLength: maxActions, size: 'max'}),
});

/** Runs random schedules and throws the first one that violates an invariant. It is not shrunk, because shrinking takes minutes. */
export function fuzz({seed, runs, fault = 'none'}: {readonly seed: number; readonly runs: number; readonly fault?: InjectedFault}): void {
	fc.assert(fc.property(schedules, ({restarts, slowSteps, actions}) => {
		const simulation = new ActivationSimulation(fault);
		for (const action of actions) {
			const isSkipped = (!restarts && action.kind.startsWith('restart')) || (slowSteps && action.kind === 'beginStep' && action.pick % slowStepFactor > 0);
			if (!isSkipped) {
				simulation.perform(action);
			}
		}

		simulation.recover();
	}), {
		seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true,
	});
}
