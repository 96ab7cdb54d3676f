/**
Brings a new expert map into use on all ranks of a group with the same pass, in two phases. The group is held before the
pass at which the ranks are armed to switch, and released only once every rank is seen to be armed for that map and pass,
or none is. An order that got no answer may still be carried out seconds later; each order therefore names the number of
orders that its rank had taken by then, and is repeated under that number until the rank has taken it, so that the late one
no longer fits.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {
	EngineDoor, EngineOrder, EngineState, OrderOutcome,
} from './engine-door.js';
import type {GroupRanks} from './group-ranks.js';

/** How a switch ended. */
export type SwitchOutcome = 'switched' | 'notPrepared' | 'notHeld' | 'aborted' | 'groupChanged' | 'unsettled';

/** Passes between the last one begun and the one at which the ranks switch. */
const marginPasses = 4;

const pollMs = 40;

/** Copies of weights take this long at most; arming a held group must be quick, or is undone. */
const prepareLimitMs = 9000;
const armLimitMs = 1200;
const undoLimitMs = 20_000;

/** Passes ahead at which a rank is held for a moment, only so that it counts one more order. */
const farPasses = 1_000_000;

type Body = EngineOrder extends infer Order ? Order extends EngineOrder ? Omit<Order, 'expectedSequence' | 'epoch'> : never : never;

/** Options of a switch. */
export type MapSwitchOptions = {
	readonly ranks: GroupRanks;
	/** The rank at which the group is held: the coordinator's own. */
	readonly holdingRank: number;
	readonly nowMs: () => number;
};

/** One switch of one formation of a group. */
export class MapSwitch {
	readonly #ranks: GroupRanks;
	readonly #holding: EngineDoor;
	readonly #nowMs: () => number;
	/** Ranks at which an order may still be carried out late. */
	readonly #doubtful = new Set<EngineDoor>();

	constructor({ranks, holdingRank, nowMs}: MapSwitchOptions) {
		this.#ranks = ranks;
		this.#holding = ranks.engines[holdingRank];
		this.#nowMs = nowMs;
	}

	/** Prepares and brings a map into use; the version must be new to all ranks. */
	async run(version: number, map: ReadonlyArray<ReadonlyArray<readonly number[]>>): Promise<SwitchOutcome> {
		const isPrepared = await this.#prepare(version, map);
		if (!isPrepared) {
			return 'notPrepared';
		}

		const states = await this.#states();
		if (!states) {
			return 'groupChanged';
		}

		const step = Math.max(...states.map(state => state.step)) + marginPasses;
		if (!await this.#hold(step)) {
			return this.#finish(undefined, step);
		}

		await this.#armAll(version, step);
		return this.#finish(version, step);
	}

	/** Releases a group that was left held, after a whole switch or none. */
	async recover(step: number): Promise<SwitchOutcome> {
		const states = await this.#states();
		if (!states) {
			return 'groupChanged';
		}

		const version = states[0].armed?.version;
		return this.#finish(version, step);
	}

	async #prepare(version: number, map: ReadonlyArray<ReadonlyArray<readonly number[]>>): Promise<boolean> {
		const untilMs = this.#nowMs() + prepareLimitMs;
		const results = await Promise.all(this.#ranks.engines.map(async engine => this.#orderUntilTaken(engine, {kind: 'prepare', version, map}, untilMs)));
		if (results.some(result => !result)) {
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

			await sleep(pollMs);
		}
	}

	async #hold(step: number): Promise<boolean> {
		const isTaken = await this.#orderUntilTaken(this.#holding, {kind: 'hold', step}, this.#nowMs() + armLimitMs);
		const state = await this.#holding.state();
		return isTaken && state?.heldStep === step;
	}

	async #armAll(version: number, step: number): Promise<void> {
		const untilMs = this.#nowMs() + armLimitMs;
		await Promise.all(this.#ranks.engines.map(async engine => this.#orderUntilTaken(engine, {kind: 'arm', version, step}, untilMs)));
	}

	/** Releases the group once all ranks are armed alike, or none is. */
	async #finish(version: number | undefined, step: number): Promise<SwitchOutcome> {
		const untilMs = this.#nowMs() + undoLimitMs;
		let states = await this.#states();
		if (states && version !== undefined && states.every(state => state.armed?.version === version && state.armed.step === step)) {
			return await this.#release(step, untilMs) ? 'switched' : 'unsettled';
		}

		while (this.#nowMs() < untilMs) {
			states = await this.#states();
			if (!states) {
				if (await this.#isOtherFormation()) {
					return 'groupChanged';
				}
			} else if (states.every(state => state.armed === undefined) && await this.#settleDoubts(states)) {
				return await this.#release(step, untilMs) ? 'aborted' : 'unsettled';
			} else {
				await this.#disarm(states, untilMs);
			}

			await sleep(pollMs);
		}

		return 'unsettled';
	}

	async #disarm(states: readonly EngineState[], untilMs: number): Promise<void> {
		await Promise.all(this.#ranks.engines.map(async (engine, rank) => {
			const {armed} = states[rank];
			if (armed) {
				await this.#orderUntilTaken(engine, {kind: 'disarm', version: armed.version}, untilMs);
			}
		}));
	}

	/** Lets each doubtful rank count one more order, so that an order that is still on its way no longer fits. */
	async #settleDoubts(states: readonly EngineState[]): Promise<boolean> {
		for (const [rank, engine] of this.#ranks.engines.entries()) {
			if (!this.#doubtful.has(engine)) {
				continue;
			}

			const untilMs = this.#nowMs() + armLimitMs;
			const farStep = states[rank].step + farPasses;
			const isHeld = engine === this.#holding && states[rank].heldStep !== undefined;
			const isSettled = isHeld || (await this.#orderUntilTaken(engine, {kind: 'hold', step: farStep}, untilMs) && await this.#orderUntilTaken(engine, {kind: 'go', step: farStep}, untilMs));
			if (!isSettled) {
				return false;
			}

			this.#doubtful.delete(engine);
		}

		return true;
	}

	async #release(step: number, untilMs: number): Promise<boolean> {
		while (this.#nowMs() < untilMs) {
			const state = await this.#holding.state();
			if (state && (state.heldStep === undefined || state.rankPlace?.epoch !== this.#ranks.epoch)) {
				return true;
			}

			await this.#orderUntilTaken(this.#holding, {kind: 'go', step: state?.heldStep ?? step}, this.#nowMs() + armLimitMs);
		}

		return false;
	}

	/** Repeats an order under the same number until the rank has taken it, has refused it, or time is up. */
	async #orderUntilTaken(engine: EngineDoor, body: Body, untilMs: number): Promise<boolean> {
		let isDoubtful = false;
		while (this.#nowMs() < untilMs) {
			const before = await engine.state();
			if (!before || before.rankPlace?.epoch !== this.#ranks.epoch) {
				await sleep(pollMs);
				if (before) {
					break;
				}

				continue;
			}

			if (isDoubtful && isTakenAlready(before, body)) {
				this.#doubtful.delete(engine);
				return true;
			}

			const outcome: OrderOutcome = await engine.order({...body, expectedSequence: before.orderSequence, epoch: this.#ranks.epoch} as EngineOrder);
			if (outcome === 'begun' || outcome === 'done') {
				if (outcome === 'begun') {
					this.#doubtful.delete(engine);
				}

				return true;
			}

			if (outcome === 'refused') {
				const after = await engine.state();
				return after !== undefined && after.rankPlace?.epoch === this.#ranks.epoch && isTakenAlready(after, body);
			}

			isDoubtful = true;
			this.#doubtful.add(engine);
		}

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

/** Whether the state shows that an order was carried out. */
function isTakenAlready(state: EngineState, body: Body): boolean {
	switch (body.kind) {
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
