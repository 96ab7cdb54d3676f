/**
Brings a new expert map into use on all ranks of a group with the same pass, in two phases. The group is held before the
pass at which the ranks are armed to switch, and released only once every rank is seen to be armed for that map and pass,
or none is.

An order that got no answer may still be carried out seconds later, and a coordinator may stand still for as long. Neither
does harm: versions and passes are never used twice; a rank on which a switch was given up prepares a higher version, after
which it can no longer be armed for the one given up; and the agent of the holding rank, which takes over, first shuts
the earlier coordinator out at every rank whose agent answers.

An order that a rank has taken counts, without a look at its state: the state of a rank whose agent does not answer is old.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {
	EngineClient, EngineOrder, EngineState, OrderOutcome,
} from './engine-door.js';
import type {GroupRanks} from './group-doors.js';

/** How a switch ended. After `left` the group may be held, and the agent of the holding rank has to take over. After `notHeld` it went on. */
export type SwitchOutcome = 'switched' | 'notPrepared' | 'notHeld' | 'left' | 'aborted' | 'groupChanged' | 'unsettled';

/** Passes between the last one begun and the one at which the ranks switch. */
const marginPasses = 3;

/** Passes that tell switches apart which start from the same pass. */
const passSpread = 3;

const pollMs = 40;
const preparePollMs = 80;

/** Copies of weights take this long at most; arming a held group must be quick, or is undone. */
const prepareLimitMs = 9000;
const armLimitMs = 450;
const undoLimitMs = 20_000;

type Body = EngineOrder extends infer Order ? Order extends EngineOrder ? Omit<Order, 'fencing' | 'epoch'> : never : never;

/** A map: the experts of each rank, by set and rank. */
export type ExpertLists = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** Options of a switch. */
export type MapSwitchOptions = {
	readonly ranks: GroupRanks;
	/** The rank at which the group is held: not the coordinator's own, so that its agent can take over. */
	readonly holdingRank: number;
	readonly nowMs: () => number;
};

/** One switch of one formation of a group. */
export class MapSwitch {
	readonly #ranks: GroupRanks;
	readonly #holding: EngineClient;
	readonly #nowMs: () => number;
	#fencing = 0;
	#firstRefusal: string | undefined;

	constructor({ranks, holdingRank, nowMs}: MapSwitchOptions) {
		this.#ranks = ranks;
		this.#holding = ranks.engines[holdingRank];
		this.#nowMs = nowMs;
	}

	/** The first order that a rank did not take, for the log. */
	get firstRefusal(): string | undefined {
		return this.#firstRefusal;
	}

	/** Prepares and brings a map into use; the version must be new to all ranks. */
	async run(version: number, map: ExpertLists): Promise<SwitchOutcome> {
		if (!await this.#takeOffice()) {
			return 'groupChanged';
		}

		if (!await this.#prepare(version, map)) {
			return 'notPrepared';
		}

		const states = await this.#states();
		if (!states) {
			return 'groupChanged';
		}

		const step = Math.max(...states.map(state => state.step)) + marginPasses + (version % passSpread);
		const untilMs = this.#nowMs() + armLimitMs;
		if (!await this.#hold(step, untilMs)) {
			// Nothing is armed yet: the group may go on, whether it is held or not.
			await this.#orderUntilTaken(this.#holding, {kind: 'go', step}, untilMs);
			return 'notHeld';
		}

		if (!await this.#toAll({kind: 'arm', version, step}, untilMs) || this.#nowMs() > untilMs) {
			return 'left';
		}

		return await this.#orderUntilTaken(this.#holding, {kind: 'go', step}, untilMs) ? 'switched' : 'left';
	}

	/** Releases a group that was left held, after a whole switch or none. Only the agent of the holding rank does this. */
	async recover(step: number, versionOf: () => number): Promise<SwitchOutcome> {
		const untilMs = this.#nowMs() + undoLimitMs;
		while (this.#nowMs() < untilMs) {
			const outcome = await this.#tryRecovery(step, versionOf, this.#nowMs() + armLimitMs);
			if (outcome) {
				return outcome;
			}

			await sleep(pollMs);
		}

		return 'unsettled';
	}

	/** Holds the group, through an agent outside of it where there is one; again, if no answer came and the group is not held. */
	async #hold(step: number, untilMs: number): Promise<boolean> {
		const {holdThrough, epoch} = this.#ranks;
		const body = {kind: 'hold', step} as const;
		if (!holdThrough) {
			return this.#orderUntilTaken(this.#holding, body, untilMs);
		}

		let outcome: OrderOutcome = 'unknown';
		while (outcome === 'unknown' && this.#nowMs() < untilMs) {
			outcome = await holdThrough.order({...body, fencing: this.#fencing, epoch});
			const state = outcome === 'unknown' ? await this.#holding.state() : undefined;
			if (outcome === 'begun' || outcome === 'done' || (state !== undefined && isTakenAlready(state, body))) {
				return true;
			}
		}

		this.#firstRefusal ??= `hold from outside: ${outcome}`;
		return false;
	}

	async #tryRecovery(step: number, versionOf: () => number, untilMs: number): Promise<SwitchOutcome | undefined> {
		const isInOffice = await this.#takeOffice();
		const states = isInOffice ? await this.#states() : undefined;
		if (!states) {
			return await this.#isOtherFormation() ? 'groupChanged' : undefined;
		}

		const holding = states[this.#ranks.engines.indexOf(this.#holding)];
		if (holding.heldStep === undefined) {
			return 'aborted';
		}

		const {armed} = states[0];
		const isWhole = armed ? armed.step >= holding.heldStep && areAlike(states, armed.version, armed.step) : false;
		if (!isWhole && !await this.#undo(states, versionOf(), untilMs)) {
			return undefined;
		}

		const isReleased = await this.#orderUntilTaken(this.#holding, {kind: 'go', step: holding.heldStep}, untilMs);
		return isReleased ? (isWhole ? 'switched' : 'aborted') : undefined;
	}

	/**
	Disarms all ranks and lets them prepare the map they use under a higher version. A rank that takes it is not armed, and can not be armed
	late.
	*/
	async #undo(states: readonly EngineState[], version: number, untilMs: number): Promise<boolean> {
		await Promise.all(this.#ranks.engines.map(async (engine, rank) => {
			const {armed} = states[rank];
			return armed && this.#orderUntilTaken(engine, {kind: 'disarm', version: armed.version}, untilMs);
		}));
		const held = await Promise.all(this.#ranks.engines.map(async engine => engine.experts()));
		const known = held.flatMap(experts => experts ? [experts] : []);
		if (known.length < held.length) {
			return false;
		}

		const lists = known[0].experts.map((_, set) => known.map(({experts}) => experts[set]));
		return this.#toAll({kind: 'prepare', version, map: lists}, untilMs);
	}

	/** Takes a fencing number above all that the ranks have seen. */
	async #takeOffice(): Promise<boolean> {
		const states = await this.#states();
		if (!states) {
			return false;
		}

		this.#fencing = Math.max(...states.map(state => state.fencing ?? 0)) + 1;
		return this.#toAll({kind: 'fence'}, this.#nowMs() + armLimitMs);
	}

	async #prepare(version: number, map: ExpertLists): Promise<boolean> {
		const untilMs = this.#nowMs() + prepareLimitMs;
		if (!await this.#toAll({kind: 'prepare', version, map}, untilMs)) {
			return false;
		}

		for (;;) {
			const states = await this.#states();
			if (!states || this.#nowMs() > untilMs) {
				return false;
			}

			if (states.every(state => state.preparedVersion === version)) {
				return true;
			}

			await sleep(preparePollMs);
		}
	}

	async #toAll(body: Body, untilMs: number): Promise<boolean> {
		const results = await Promise.all(this.#ranks.engines.map(async engine => this.#orderUntilTaken(engine, body, untilMs)));
		return results.every(Boolean);
	}

	/** Repeats an order that gets no answer until the rank has taken it, has refused it, or time is up. */
	async #orderUntilTaken(engine: EngineClient, body: Body, untilMs: number): Promise<boolean> {
		while (this.#nowMs() < untilMs) {
			const outcome: OrderOutcome = await engine.order({...body, fencing: this.#fencing, epoch: this.#ranks.epoch});
			if (outcome === 'begun' || outcome === 'done') {
				return true;
			}

			const state = await engine.state();
			if (state && (state.rankPlace?.epoch !== this.#ranks.epoch || outcome === 'refused' || isTakenAlready(state, body))) {
				const isTaken = state.rankPlace?.epoch === this.#ranks.epoch && isTakenAlready(state, body);
				if (!isTaken) {
					this.#firstRefusal ??= `${body.kind} at rank ${state.rankPlace?.rank}: ${outcome}, step ${state.step}`;
				}

				return isTaken;
			}
		}

		this.#firstRefusal ??= `${body.kind}: no answer`;
		return false;
	}

	/** All states; undefined if one did not answer or is of another formation. */
	async #states(): Promise<EngineState[] | undefined> {
		const states = await Promise.all(this.#ranks.engines.map(async engine => engine.state()));
		const isWhole = states.every(state => state?.rankPlace?.epoch === this.#ranks.epoch && state.rankPlace.isOpen);
		return isWhole ? states as EngineState[] : undefined;
	}

	async #isOtherFormation(): Promise<boolean> {
		const state = await this.#holding.state();
		return state !== undefined && state.rankPlace?.epoch !== this.#ranks.epoch;
	}
}

function areAlike(states: readonly EngineState[], version: number, step: number): boolean {
	return states.every(({armed}) => armed?.version === version && armed.step === step);
}

/** Whether the state shows that an order was carried out. */
function isTakenAlready(state: EngineState, body: Body): boolean {
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
