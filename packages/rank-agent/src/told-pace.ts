/**
The pace of a rank as its agent tells the coordinating agents of its group, on its card: all ranks wait for a slow one, and polls of a few ranks at a time
find it late in a large group.

Load that this answers: ranks that become slow and recover within seconds. A card goes to all coordinating agents, so each change costs a message for each of
them; a pace that wavers is therefore told seldom.
*/

/** Smallest change that is told, as a share, and the shortest time between two changes. */
const minChange = 0.1;
const minIntervalMs = 1000;

/** Paces below this are told as none: they are what healthy ranks differ by. */
const slowPace = 1 + minChange;

/** Decides when a pace is told. */
export class ToldPace {
	#pace = 1;
	#toldAtMs = Number.NEGATIVE_INFINITY;

	/** The pace that the card shows; undefined for that of a healthy rank. */
	get value(): number | undefined {
		return this.#pace === 1 ? undefined : this.#pace;
	}

	/** Records a measured pace; returns whether the card has changed. */
	observe(measured: number, nowMs: number): boolean {
		const pace = measured < slowPace ? 1 : Math.round(measured * 100) / 100;
		if (Math.abs(pace - this.#pace) < Math.min(pace, this.#pace) * minChange || nowMs - this.#toldAtMs < minIntervalMs) {
			return false;
		}

		this.#pace = pace;
		this.#toldAtMs = nowMs;
		return true;
	}
}
