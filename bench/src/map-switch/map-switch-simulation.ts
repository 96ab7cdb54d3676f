/**
Discrete-event simulation of a group of ranks that runs the product's coordinator and rank state machines in virtual time.
Messages are delayed and may be lost, duplicated or late; coordinators stop, or go on as stale ones after their
replacement; ranks restart. Counts how map switches delay steps, and steps in which ranks used different maps.
*/

import {
	type CoordinatorEffect, type CoordinatorEvent, type CoordinatorState, newCoordinator, newRank, nextStep,
	type Order, type RankEvent, type RankReply, type RankState, stepCoordinator, stepRank,
} from '@rattanspring/expert-map';
import {RankGroup} from '@rattanspring/stand-ins';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Random} from '../expert-load/random.js';
import {EventQueue} from './event-queue.js';

/** Probabilities of the injected faults. */
export type FaultOptions = {
	readonly loss: number;
	readonly duplicate: number;
	/** Probability that a message takes `lateMs` longer. */
	readonly late: number;
	/** Probability, for each switch, that its coordinator is replaced while it runs. */
	readonly replaceCoordinator: number;
	/** Probability, for each switch, that a rank restarts while it runs. */
	readonly restartRank: number;
};

/** Options of a simulation. */
export type MapSwitchSimulationOptions = {readonly seed: number; readonly rankCount: number; readonly switches: number; readonly faults: FaultOptions};

/** Counts of a finished simulation. */
export type MapSwitchFigures = {
	readonly switches: number;
	readonly aborts: number;
	readonly formations: number;
	readonly steps: number;
	readonly delayedSteps: number;
	/** Histogram of the delays of delayed steps, in microseconds. */
	readonly delaysUs: Histogram;
	/** Steps in which ranks used different maps, or a map that was aborted. */
	readonly mixedSteps: number;
};

const stepMs = 30;
const loadMs = 40;
const tickMs = 20;
/** Delay of a message within a region: a minimum, plus an exponentially distributed part with this mean. */
const minDelayMs = 0.5;
const meanExtraDelayMs = 0.5;
const lateMs = 200;
/** Time until a stopped coordinator is replaced. */
const takeOverMs = 3000;
/** Latest time after the start of a switch at which a fault is injected. */
const maxFaultDelayMs = 200;
const microsecondsPerMs = 1000;

type SimulationEvent
	= | {readonly kind: 'toRank'; readonly order: Order; readonly from: number}
		| {readonly kind: 'toCoordinator'; readonly coordinator: number; readonly reply: RankReply}
		| {readonly kind: 'loaded'; readonly rank: number; readonly event: RankEvent}
		| {readonly kind: 'stepDone'; readonly formation: number; readonly step: number}
		| {readonly kind: 'tick'; readonly coordinator: number}
		| {readonly kind: 'takeOver'}
		| {readonly kind: 'stop'; readonly coordinator: number}
		| {readonly kind: 'restartRank'; readonly rank: number};

/** Simulates until the given number of switches has completed. */
export class MapSwitchSimulation {
	readonly #options: MapSwitchSimulationOptions;
	readonly #random: Random;
	readonly #events = new EventQueue<SimulationEvent>();
	readonly #group: RankGroup;
	readonly #ranks: RankState[];
	/** Coordinators by number; a stopped one is undefined. */
	readonly #coordinators: Array<CoordinatorState | undefined> = [];
	readonly #aborted = new Set<number>();
	readonly #delaysUs = buildHistogram();
	#current = -1;
	#nowMs = 0;
	#switches = 0;
	#aborts = 0;
	#formations = 0;
	#steps = 0;
	#delayedSteps = 0;
	#mixedSteps = 0;
	#isReplacing = false;
	/** The step in progress: its formation, number and map, how many ranks have begun it, and when it was due. */
	#step = {
		formation: 0, step: -1, version: 0, begun: 0, dueMs: 0,
	};

	constructor(options: MapSwitchSimulationOptions) {
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#group = new RankGroup({rankCount: options.rankCount, tokenTimeMs: 0, fixedStepMs: stepMs});
		this.#ranks = Array.from({length: options.rankCount}, (_, rank) => newRank({groupId: 'group', rank, rankIncarnation: 1}));
	}

	run(): MapSwitchFigures {
		this.#takeOver();
		while (this.#switches < this.#options.switches) {
			const {atMs, event} = this.#events.pop()!;
			this.#nowMs = atMs;
			this.#handleEvent(event);
		}

		return {
			switches: this.#switches, aborts: this.#aborts, formations: this.#formations, steps: this.#steps, delayedSteps: this.#delayedSteps, delaysUs: this.#delaysUs, mixedSteps: this.#mixedSteps,
		};
	}

	#handleEvent(event: SimulationEvent): void {
		switch (event.kind) {
			case 'toRank': {
				this.#toRank(event.order.rank, {kind: 'order', order: event.order}, event.from);
				break;
			}

			case 'toCoordinator': {
				this.#toCoordinator(event.coordinator, {kind: 'reply', reply: event.reply});
				break;
			}

			case 'loaded': {
				this.#toRank(event.rank, event.event, undefined);
				break;
			}

			case 'stepDone': {
				this.#beginAll(event.formation, event.step + 1);
				break;
			}

			case 'tick': {
				this.#tick(event.coordinator);
				break;
			}

			case 'takeOver': {
				this.#takeOver();
				break;
			}

			case 'stop': {
				this.#coordinators[event.coordinator] = undefined;
				break;
			}

			case 'restartRank': {
				this.#restartRank(event.rank);
				break;
			}
		}
	}

	#takeOver(): void {
		this.#isReplacing = false;
		this.#current++;
		const coordinator = this.#current;
		this.#coordinators[coordinator] = newCoordinator({groupId: 'group', rankCount: this.#options.rankCount}, []);
		this.#toCoordinator(coordinator, {kind: 'lease', fencing: coordinator + 1, untilMs: Number.POSITIVE_INFINITY});
		this.#tick(coordinator);
	}

	#tick(coordinator: number): void {
		if (this.#coordinators[coordinator]) {
			this.#toCoordinator(coordinator, {kind: 'tick', nowMs: this.#nowMs});
			this.#events.add(this.#nowMs + tickMs, {kind: 'tick', coordinator});
		}
	}

	#restartRank(rank: number): void {
		this.#group.end(rank);
		this.#ranks[rank] = newRank({groupId: 'group', rank, rankIncarnation: this.#ranks[rank].rankIncarnation + 1});
	}

	#toCoordinator(coordinator: number, event: CoordinatorEvent): void {
		const state = this.#coordinators[coordinator];
		if (!state) {
			return;
		}

		const result = stepCoordinator(state, event);
		this.#coordinators[coordinator] = result.state;
		for (const effect of result.effects) {
			this.#coordinatorEffect(coordinator, effect);
		}

		if (result.state.phase.kind === 'standby') {
			this.#coordinators[coordinator] = undefined;
		} else if (result.state.phase.kind === 'idle' && event.kind === 'tick') {
			this.#plan(coordinator);
		}
	}

	#coordinatorEffect(coordinator: number, effect: CoordinatorEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#send({kind: 'toRank', order: effect.order, from: coordinator});
				break;
			}

			case 'mapActive': {
				this.#switches++;
				break;
			}

			case 'mapAborted': {
				this.#aborts++;
				this.#aborted.add(effect.version);
				break;
			}

			case 'groupFormed': {
				this.#formations++;
				break;
			}
		}
	}

	/** Starts a switch and schedules the faults to inject during it. */
	#plan(coordinator: number): void {
		const {faults, rankCount} = this.#options;
		this.#toCoordinator(coordinator, {kind: 'plan', layers: []});
		if (coordinator !== this.#current || this.#isReplacing) {
			return;
		}

		if (this.#random.uniform() < faults.replaceCoordinator) {
			this.#isReplacing = true;
			const atMs = this.#nowMs + (maxFaultDelayMs * this.#random.uniform());
			const isStale = this.#random.uniform() < 0.5;
			this.#events.add(isStale ? atMs + takeOverMs + (maxFaultDelayMs * this.#random.uniform()) : atMs, {kind: 'stop', coordinator});
			this.#events.add(atMs + takeOverMs, {kind: 'takeOver'});
		}

		if (this.#random.uniform() < faults.restartRank) {
			this.#events.add(this.#nowMs + (maxFaultDelayMs * this.#random.uniform()), {kind: 'restartRank', rank: this.#random.integer(0, rankCount - 1)});
		}
	}

	#send(event: SimulationEvent): void {
		const {faults} = this.#options;
		const draw = this.#random.uniform();
		if (draw < faults.loss) {
			return;
		}

		this.#events.add(this.#nowMs + this.#delayMs(), event);
		if (draw > 1 - faults.duplicate) {
			this.#events.add(this.#nowMs + this.#delayMs(), event);
		}
	}

	#delayMs(): number {
		const late = this.#random.uniform() < this.#options.faults.late ? lateMs : 0;
		return minDelayMs - (meanExtraDelayMs * Math.log(1 - this.#random.uniform())) + late;
	}

	#toRank(rank: number, event: RankEvent, from: number | undefined): void {
		const {state, effects} = stepRank(this.#ranks[rank], event);
		this.#ranks[rank] = state;
		for (const effect of effects) {
			if (effect.kind === 'reply') {
				this.#send({kind: 'toCoordinator', coordinator: from ?? this.#current, reply: effect.reply});
			} else if (effect.kind === 'loadWeights') {
				const loaded: RankEvent = {
					kind: 'weightsLoaded', formation: effect.formation, version: effect.map.version, verified: true,
				};
				this.#events.add(this.#nowMs + loadMs, {kind: 'loaded', rank, event: loaded});
			}
		}

		this.#begin(rank);
	}

	#beginAll(formation: number, step: number): void {
		if (formation === this.#step.formation && step === this.#step.step + 1) {
			this.#step = {
				formation, step, version: 0, begun: 0, dueMs: this.#nowMs,
			};
			for (let rank = 0; rank < this.#ranks.length; rank++) {
				this.#begin(rank);
			}
		}
	}

	/** Lets a rank begin its next step if the step is due and the rank is not held. */
	#begin(rank: number): void {
		const next = nextStep(this.#ranks[rank]);
		if (next.kind === 'hold') {
			return;
		}

		if (next.formation > this.#step.formation && next.step === 0) {
			this.#step = {
				formation: next.formation, step: 0, version: 0, begun: 0, dueMs: this.#nowMs,
			};
		}

		const isDue = next.formation === this.#step.formation && next.step === this.#step.step;
		if (!isDue || !this.#group.canBegin(next.formation, next.step)) {
			return;
		}

		this.#check(next.version);
		this.#group.begin(rank, next.formation, next.step);
		this.#ranks[rank] = stepRank(this.#ranks[rank], {kind: 'stepBegun', formation: next.formation, step: next.step}).state;
		this.#step.begun++;
		if (this.#step.begun === this.#ranks.length) {
			this.#finishStep();
		}
	}

	#check(version: number): void {
		const isMixed = this.#step.begun > 0 && this.#step.version !== version;
		this.#mixedSteps += isMixed || this.#aborted.has(version) ? 1 : 0;
		this.#step.version = version;
	}

	#finishStep(): void {
		this.#steps++;
		const delayMs = this.#nowMs - this.#step.dueMs;
		if (delayMs > 0 && this.#step.step > 0) {
			this.#delayedSteps++;
			this.#delaysUs.recordValue(Math.round(delayMs * microsecondsPerMs));
		}

		this.#events.add(this.#nowMs + stepMs, {kind: 'stepDone', formation: this.#step.formation, step: this.#step.step});
	}
}
