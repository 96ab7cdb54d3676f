/**
A clock that counts on while the VM stands still.

The steady clock stops then; the time of day does not, but may be set. A coordinator that stood still must not go on as if no time had passed,
so each jump of the time of day forward counts as time, also one that somebody set.
*/

import type {Clock} from '@rattanspring/types';

/** Smaller differences are drift. */
const smallestJumpMs = 50;

/** Steady time, and time that the VM may have stood still. */
export class StandstillClock {
	readonly #clock: Clock;
	#offsetMs: number;
	#stoodStillMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#offsetMs = clock.wallMs() - clock.monotonicMs();
	}

	/** Milliseconds since some start; never goes back. */
	nowMs(): number {
		const steadyMs = this.#clock.monotonicMs();
		const offsetMs = this.#clock.wallMs() - steadyMs;
		const jumpMs = offsetMs - this.#offsetMs;
		if (Math.abs(jumpMs) > smallestJumpMs) {
			this.#offsetMs = offsetMs;
			this.#stoodStillMs += Math.max(0, jumpMs);
		}

		return steadyMs + this.#stoodStillMs;
	}
}
