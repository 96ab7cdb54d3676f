/**
Switches all ranks of a group to a new expert map at the same step, in two phases: prepare, then arm. The group is held
before the step at which the ranks are armed to switch, and it is released only once every rank is confirmed to be armed for that map
and step, or none is.
*/

import {setTimeout as sleepOnTimer} from 'node:timers/promises';
import type {
	ArmedMap, EngineClient, EngineOrder, EngineState, OrderOutcome,
} from './engine-client.js';
import type {GroupRanks} from './group-engine-clients.js';
import {HoldSteps} from './hold-steps.js';

/** Outcome of a switch. After `left` the group may still be held, and the agent of the holding rank has to recover it. After `notHeld` the group continues with its old map. */
export type SwitchOutcome = 'switched' | 'notPrepared' | 'notHeld' | 'left' | 'aborted' | 'groupChanged' | 'unsettled';

/** Time between the last step begun and the one at which the ranks switch, in which they are armed without holding the group up; and the bounds in steps. */
const armLeadMs = 140;
const minArmMarginSteps = 3;
const maxArmMarginSteps = 4;

/** Longest wait for a step to hold the group before: a coordinator that takes over has none until the group begins its next one. */
const holdStepLimitMs = 200;

/** Interval between recovery attempts, and between looks for a step to hold the group before. */
const recoverPollMs = 40;

/** Pause before an order without an answer is repeated: an engine in trouble may fail to answer at once. */
const unansweredPauseMs = 10;

/** Pauses between checks whether all ranks are prepared: a share of the time that they have taken so far, within bounds, so that short copies are noticed early and long ones cost few checks. */
const preparePollShare = 0.25;
const minPreparePollMs = 20;
const maxPreparePollMs = 80;

/** Time limits for copying weights, for arming a held group (which stalls meanwhile; a slower arming is undone), and for recovering it. */
const prepareLimitMs = 9000;
const armLimitMs = 450;
const recoverLimitMs = 20_000;

type EngineOrderBody = EngineOrder extends infer Order ? Order extends EngineOrder ? Omit<Order, 'fencing' | 'epoch'> : never : never;

/** Phases of a switch: taking a fencing number, sending the map to all ranks, waiting until they have copied the weights, holding the group, and arming and releasing it. */
export type SwitchPhase = 'fencing' | 'preparing' | 'copying' | 'holding' | 'arming';

/** Time spent in each phase that was reached, for the log. */
export type SwitchPhaseTimes = Readonly<Partial<Record<`${SwitchPhase}Ms`, number>>>;

/** A map, as the experts of each rank, by set and rank. */
export type ExpertLists = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** A hold of the group before a step, and the time until which it may be armed. */
type Hold = {readonly step: number; readonly untilMs: number};

/** Options of a switch. */
export type MapSwitchOptions = {
	readonly ranks: GroupRanks;
	/** The rank at which the group is held. It is not the coordinator's own, so that another agent can take over if the coordinator fails. */
	readonly holdingRank: number;
	readonly nowMs: () => number;
	/** Approximate duration of a step; short by default. */
	readonly stepMs?: number;
	/** Waits between polls; by default on a timer. */
	readonly sleep?: (durationMs: number) => Promise<void>;
	/** Whether the group may be held now; always by default. */
	readonly mayHold?: () => boolean;
	/**
	The fencing number of this coordinator's last switch, if that succeeded in the same formation: the ranks refuse it once another coordinator has taken a higher one. Without it a new
	number is taken.
	*/
	readonly heldFencing?: number;
	/** The steps that this coordinator has used in this formation; by default it has used none, and another one may have used any. */
	readonly holdSteps?: HoldSteps;
};

/**
A map switch in one formation of a group.

An order without an answer may still be applied seconds later, and a coordinator may be paused for as long. This is safe for the following reasons:
- Versions and the steps of holds are never used twice, so that a late order fits its own attempt only (see `HoldSteps`).
- A group is released only once all ranks are armed for the same version and step, or none can be any more. A rank that has prepared a higher version can't be armed for a lower one.
- Whoever takes over completes a switch unless a rank can't be armed for it any more. Only then ranks are disarmed, so that a late order to disarm never meets a complete switch.
- The agent of the holding rank, which takes over, first fences off the earlier coordinator at every rank whose agent answers.
*/
export class MapSwitch {
	readonly #ranks: GroupRanks;
	readonly #holdingEngine: EngineClient;
	readonly #nowMs: () => number;
	readonly #sleep: (durationMs: number) => Promise<void>;
	readonly #mayHold: () => boolean;
	readonly #armMarginSteps: number;
	readonly #holdSteps: HoldSteps;
	#fencing = 0;
	#firstRefusal: string | undefined;
	#phaseTimes: SwitchPhaseTimes = {};
	#holdStep: number | undefined;

	constructor({
		ranks, holdingRank, nowMs, stepMs = 0, sleep = sleepOnTimer, heldFencing = 0, mayHold = () => true, holdSteps = new HoldSteps(),
	}: MapSwitchOptions) {
		this.#fencing = heldFencing;
		this.#armMarginSteps = Math.min(maxArmMarginSteps, Math.max(minArmMarginSteps, Math.ceil(armLeadMs / Math.max(1, stepMs))));
		this.#ranks = ranks;
		this.#holdingEngine = ranks.engines[holdingRank];
		this.#nowMs = nowMs;
		this.#sleep = sleep;
		this.#mayHold = mayHold;
		this.#holdSteps = holdSteps;
	}

	/** The fencing number of this switch; 0 before it has one. */
	get fencing(): number {
		return this.#fencing;
	}

	/** The first order that was refused or not answered, for the log. */
	get firstRefusal(): string | undefined {
		return this.#firstRefusal;
	}

	/** The last step that the group was to be held before, for the log. */
	get holdStep(): number | undefined {
		return this.#holdStep;
	}

	/** Time spent in each phase of `run`, for the log. */
	get phaseTimes(): SwitchPhaseTimes {
		return this.#phaseTimes;
	}

	/** Prepares a map and switches to it. The version must be new to all ranks. */
	async run(version: number, map: ExpertLists): Promise<SwitchOutcome> {
		if (this.#fencing === 0 && !await this.#timed('fencing', async () => this.#fenceRanks())) {
			return 'groupChanged';
		}

		if (!await this.#prepare(version, map)) {
			return 'notPrepared';
		}

		if (!this.#mayHold()) {
			return 'notHeld';
		}

		const hold = await this.#timed('holding', async () => this.#holdBeforeStep());
		if (typeof hold === 'string') {
			return hold;
		}

		return await this.#timed('arming', async () => this.#armAndRelease(version, hold.step, hold.untilMs)) ? 'switched' : 'left';
	}

	/** Releases a group that was left held, once the switch is complete on all ranks or undone on all. Only the agent of the holding rank calls this. */
	async recover(nextVersion: () => number): Promise<SwitchOutcome> {
		const untilMs = this.#nowMs() + recoverLimitMs;
		while (this.#nowMs() < untilMs) {
			const outcome = await this.#tryRecover(nextVersion, this.#nowMs() + armLimitMs);
			if (outcome) {
				return outcome;
			}

			await this.#sleep(recoverPollMs);
		}

		return 'unsettled';
	}

	async #armAndRelease(version: number, step: number, untilMs: number): Promise<boolean> {
		if (!await this.#orderAll({kind: 'arm', version, step}, untilMs) || this.#nowMs() > untilMs) {
			return false;
		}

		return this.#orderUntilApplied(this.#holdingEngine, {kind: 'go', step}, untilMs);
	}

	/**
	Holds the group before a step that it has not begun: through a process outside of it if there is one, and if that one does not answer or is too late, through the agent of
	the holding rank at a later step. The copied weights need not be copied again.
	*/
	async #holdBeforeStep(): Promise<Hold | 'notHeld' | 'groupChanged'> {
		const steps: number[] = [];
		for (const holdEngine of [this.#ranks.holdEngine, undefined]) {
			const step = await this.#nextHoldStep();
			if (typeof step === 'string') {
				return step;
			}

			this.#holdStep = step;
			const untilMs = this.#nowMs() + armLimitMs;
			if (await this.#hold(step, untilMs, holdEngine)) {
				return {step, untilMs};
			}

			// No rank is armed yet, so it is safe to release the group whether or not it is held; an earlier hold may have come late.
			steps.push(step);
			for (const triedStep of steps) {
				await this.#orderUntilApplied(this.#holdingEngine, {kind: 'go', step: triedStep}, untilMs);
			}
		}

		return 'notHeld';
	}

	/** The next step to hold the group before; `notHeld` if none is left and the group begins no step while this waits. All ranks begin a step together, so that one is asked meanwhile. */
	async #nextHoldStep(): Promise<number | 'notHeld' | 'groupChanged'> {
		const untilMs = this.#nowMs() + holdStepLimitMs;
		let states = await this.#fetchStates();
		while (states) {
			const lastStep = lastStepOf(states);
			this.#holdSteps.noteStep(lastStep);
			const step = this.#holdSteps.next(lastStep, this.#armMarginSteps);
			if (step !== undefined) {
				return step;
			}

			if (this.#nowMs() > untilMs) {
				this.#firstRefusal ??= 'no step left while the group rests';
				return 'notHeld';
			}

			await this.#sleep(recoverPollMs);
			states = await this.#fetchStates([this.#holdingEngine]);
		}

		return 'groupChanged';
	}

	/** Holds the group, through an outside process if one is given: one order, whose outcome is read from the holding rank if no answer arrived. */
	async #hold(step: number, untilMs: number, holdEngine: EngineClient | undefined): Promise<boolean> {
		const {epoch} = this.#ranks;
		const body = {kind: 'hold', step} as const;
		if (!holdEngine) {
			return this.#orderUntilApplied(this.#holdingEngine, body, untilMs);
		}

		const outcome = await holdEngine.order({...body, fencing: this.#fencing, epoch});
		const state = outcome === 'unknown' ? await this.#holdingEngine.state() : undefined;
		if (isAccepted(outcome) || (state !== undefined && isApplied(state, body))) {
			return true;
		}

		this.#firstRefusal ??= `hold from outside: ${outcome}`;
		return false;
	}

	async #tryRecover(nextVersion: () => number, untilMs: number): Promise<SwitchOutcome | undefined> {
		const isFenced = await this.#fenceRanks();
		const states = isFenced ? await this.#fetchStates() : undefined;
		if (!states) {
			return await this.#isOtherFormation() ? 'groupChanged' : undefined;
		}

		const {heldStep} = states[this.#ranks.engines.indexOf(this.#holdingEngine)];
		if (heldStep === undefined) {
			return 'aborted';
		}

		const armed = newestArmed(states);
		const canComplete = armed !== undefined && states.every(state => canSwitch(state, armed));
		const isSettled = canComplete ? await this.#armRest(states, armed, untilMs) : await this.#undoAll(states, nextVersion(), untilMs);
		if (!isSettled) {
			return undefined;
		}

		const isReleased = await this.#orderUntilApplied(this.#holdingEngine, {kind: 'go', step: heldStep}, untilMs);
		return isReleased ? (canComplete ? 'switched' : 'aborted') : undefined;
	}

	/** Arms the ranks that are not armed yet. */
	async #armRest(states: readonly EngineState[], {version, step}: ArmedMap, untilMs: number): Promise<boolean> {
		const rest = this.#ranks.engines.filter((_, rank) => states[rank].armed === undefined && states[rank].mapVersion !== version);
		const results = await Promise.all(rest.map(async engine => this.#orderUntilApplied(engine, {kind: 'arm', version, step}, untilMs)));
		return results.every(Boolean);
	}

	/**
	Disarms all ranks and makes them prepare the map in use under a higher version. A rank that accepts this is not armed, and a late order
	can no longer arm it.
	*/
	async #undoAll(states: readonly EngineState[], version: number, untilMs: number): Promise<boolean> {
		await Promise.all(this.#ranks.engines.map(async (engine, rank) => {
			const {armed} = states[rank];
			return armed && this.#orderUntilApplied(engine, {kind: 'disarm', version: armed.version}, untilMs);
		}));
		const held = await Promise.all(this.#ranks.engines.map(async engine => engine.experts()));
		const known = held.flatMap(experts => experts ? [experts] : []);
		if (known.length < held.length) {
			return false;
		}

		const lists = known[0].experts.map((_, set) => known.map(({experts}) => experts[set]));
		return this.#orderAll({kind: 'prepare', version, map: lists}, untilMs);
	}

	/** Takes a fencing number greater than all that the ranks have seen, and fences off coordinators with lower ones. */
	async #fenceRanks(): Promise<boolean> {
		const states = await this.#fetchStates();
		if (!states) {
			return false;
		}

		this.#fencing = Math.max(...states.map(state => state.fencing ?? 0)) + 1;
		if (!await this.#orderAll({kind: 'fence'}, this.#nowMs() + armLimitMs)) {
			return false;
		}

		this.#holdSteps.noteFencing(this.#fencing);
		return true;
	}

	async #prepare(version: number, map: ExpertLists): Promise<boolean> {
		const untilMs = this.#nowMs() + prepareLimitMs;
		if (!await this.#timed('preparing', async () => this.#orderAll({kind: 'prepare', version, map}, untilMs))) {
			return false;
		}

		return this.#timed('copying', async () => this.#waitUntilPrepared(version, untilMs));
	}

	/** Polls the ranks that have not yet copied their weights. */
	async #waitUntilPrepared(version: number, untilMs: number): Promise<boolean> {
		const startedAtMs = this.#nowMs();
		let copying = this.#ranks.engines;
		for (;;) {
			const states = await this.#fetchStates(copying);
			if (!states || this.#nowMs() > untilMs) {
				return false;
			}

			this.#holdSteps.noteStep(lastStepOf(states));

			copying = copying.filter((_, index) => states[index].preparedVersion !== version);
			if (copying.length === 0) {
				return true;
			}

			const pauseMs = (this.#nowMs() - startedAtMs) * preparePollShare;
			await this.#sleep(Math.min(maxPreparePollMs, Math.max(minPreparePollMs, pauseMs)));
		}
	}

	async #orderAll(body: EngineOrderBody, untilMs: number): Promise<boolean> {
		const {engines, relay, epoch} = this.#ranks;
		const outcomes = await relay?.order({...body, fencing: this.#fencing, epoch});
		const results = await Promise.all(engines.map(async (engine, rank) => isAccepted(outcomes?.[rank]) || this.#orderUntilApplied(engine, body, untilMs)));
		return results.every(Boolean);
	}

	/**
	Repeats an unanswered order until the rank has applied it, has refused it, or the time limit has passed. An acknowledged order counts
	as applied without reading the rank's state: if the rank's agent does not answer, that state comes from the engine directly and is
	outdated.
	*/
	async #orderUntilApplied(engine: EngineClient, body: EngineOrderBody, untilMs: number): Promise<boolean> {
		while (this.#nowMs() < untilMs) {
			const outcome: OrderOutcome = await engine.order({...body, fencing: this.#fencing, epoch: this.#ranks.epoch});
			if (isAccepted(outcome)) {
				return true;
			}

			const state = await engine.state();
			if (state && (state.rankPlace?.epoch !== this.#ranks.epoch || outcome === 'refused' || isApplied(state, body))) {
				const isOrderApplied = state.rankPlace?.epoch === this.#ranks.epoch && isApplied(state, body);
				if (!isOrderApplied) {
					this.#firstRefusal ??= `${body.kind} at rank ${state.rankPlace?.rank}: ${outcome}, step ${state.step}`;
				}

				return isOrderApplied;
			}

			await this.#sleep(unansweredPauseMs);
		}

		this.#firstRefusal ??= `${body.kind}: no answer`;
		return false;
	}

	/** The states of ranks, by default of all; undefined if one did not answer or belongs to another formation. */
	async #fetchStates(engines = this.#ranks.engines): Promise<EngineState[] | undefined> {
		const relayed = engines === this.#ranks.engines ? await this.#ranks.relay?.states() : undefined;
		const states = await Promise.all(engines.map(async (engine, rank) => relayed?.[rank] ?? engine.state()));
		if (!states.every(state => state?.rankPlace?.epoch === this.#ranks.epoch && state.rankPlace.isOpen)) {
			return undefined;
		}

		return states as EngineState[];
	}

	/** Runs a phase and records the time that it took. */
	async #timed<Result>(phase: SwitchPhase, run: () => Promise<Result>): Promise<Result> {
		const startedAtMs = this.#nowMs();
		try {
			return await run();
		} finally {
			this.#phaseTimes = {...this.#phaseTimes, [`${phase}Ms`]: Math.round(this.#nowMs() - startedAtMs)};
		}
	}

	async #isOtherFormation(): Promise<boolean> {
		const state = await this.#holdingEngine.state();
		return state !== undefined && state.rankPlace?.epoch !== this.#ranks.epoch;
	}
}

/** The last step that a rank of the group has begun. */
function lastStepOf(states: readonly EngineState[]): number {
	return Math.max(...states.map(({step}) => step));
}

function newestArmed(states: readonly EngineState[]): ArmedMap | undefined {
	const newest = Math.max(...states.map(({armed}) => armed?.version ?? Number.NEGATIVE_INFINITY));
	return states.find(({armed}) => armed?.version === newest)?.armed;
}

/** Whether a rank is armed for a switch, can still be, or has made it. */
function canSwitch({armed, preparedVersion, mapVersion}: EngineState, {version, step}: ArmedMap): boolean {
	return armed ? armed.version === version && armed.step === step : preparedVersion === version || mapVersion === version;
}

function isAccepted(outcome: OrderOutcome | undefined): boolean {
	return outcome === 'begun' || outcome === 'done';
}

/** Whether the state shows that the order was applied. */
function isApplied(state: EngineState, body: EngineOrderBody): boolean {
	switch (body.kind) {
		case 'fence': {
			return false;
		}

		case 'prepare': {
			return state.preparedVersion === body.version;
		}

		case 'arm': {
			return state.armed?.version === body.version && state.armed.step === body.step;
		}

		case 'disarm': {
			return state.armed === undefined;
		}

		case 'hold': {
			return state.heldStep === body.step;
		}

		case 'go': {
			return state.heldStep === undefined;
		}
	}
}
