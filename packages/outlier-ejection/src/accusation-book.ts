/**
Keeps the accusations in force and tells which are new, so that each is passed on once.

Load that this answers: entries that accuse many targets at once, for instance since their own links are bad. The accusations of one entry are bounded by the second.
*/

import {type Accusation, accusationValidityMs, type BadOutcome} from './accusation.js';

/**
An accusation made this much later than the known one renews it. Copies on slower ways, which seem to be made later by the time they took, do not. Shorter than any
ejection, so that a target that fails again is accused again at once.
*/
const renewalMs = 1500;

/** New accusations of an entry that are taken a second. */
const maxPerSecond = 5;

const defaultMaxAccusations = 10_000;

/** An accusation by the receiver's clock. */
export type KnownAccusation = {
	readonly targetId: string;
	readonly bornMs: number;
	readonly entry: string;
	readonly kind: BadOutcome;
	readonly madeAtMs: number;
};

/** Accusations by target and entry. */
export class AccusationBook {
	readonly #maxAccusations: number;
	readonly #known = new Map<string, KnownAccusation>();
	/** New accusations of each entry within the second that began at `startMs`. */
	readonly #counts = new Map<string, {readonly startMs: number; count: number}>();

	constructor({maxAccusations = defaultMaxAccusations}: {readonly maxAccusations?: number} = {}) {
		this.#maxAccusations = maxAccusations;
	}

	/** Records an accusation; returns whether it is new. An older one than the known one, one that has ended or one of an earlier lifetime changes nothing. */
	add({targetId, bornMs, entry, kind, timeLeftMs}: Accusation, nowMs: number): boolean {
		const key = JSON.stringify([targetId, entry]);
		const known = this.#known.get(key);
		const madeAtMs = nowMs + timeLeftMs - accusationValidityMs;
		const isOutdated = known !== undefined && (bornMs < known.bornMs || (bornMs === known.bornMs && madeAtMs < known.madeAtMs + renewalMs));
		if (timeLeftMs <= 0 || isOutdated || !this.#mayAdd(entry, nowMs)) {
			return false;
		}

		this.#known.delete(key);
		this.#known.set(key, {
			targetId, bornMs, entry, kind, madeAtMs,
		});
		if (this.#known.size > this.#maxAccusations) {
			this.#known.delete(this.#known.keys().next().value!);
		}

		return true;
	}

	/** The accusations in force. */
	inForce(nowMs: number): KnownAccusation[] {
		for (const [key, {madeAtMs}] of this.#known) {
			if (madeAtMs + accusationValidityMs <= nowMs) {
				this.#known.delete(key);
			}
		}

		return [...this.#known.values()];
	}

	/** The accusations in force, as they are told to others. */
	messages(nowMs: number): Accusation[] {
		return this.inForce(nowMs).map(({madeAtMs, ...rest}) => ({...rest, timeLeftMs: madeAtMs + accusationValidityMs - nowMs}));
	}

	#mayAdd(entry: string, nowMs: number): boolean {
		let count = this.#counts.get(entry);
		if (!count || nowMs - count.startMs >= 1000) {
			this.#counts.delete(entry);
			count = {startMs: nowMs, count: 0};
			this.#counts.set(entry, count);
			this.#dropOldCounts(nowMs);
		}

		count.count++;
		return count.count <= maxPerSecond;
	}

	/** The counts stand in the order of their seconds. */
	#dropOldCounts(nowMs: number): void {
		for (const [entry, {startMs}] of this.#counts) {
			if (nowMs - startMs < 1000 && this.#counts.size <= this.#maxAccusations) {
				return;
			}

			this.#counts.delete(entry);
		}
	}
}
