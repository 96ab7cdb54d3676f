/**
A monotonic clock that also counts the time during which the VM was suspended.

The monotonic clock stops while the VM is suspended; the wall clock does not, but it can be adjusted. A coordinator that was suspended must not
continue as if no time had passed, so each forward jump of the wall clock counts as elapsed time, even if it is an adjustment.
*/

import type {Clock} from './clock.js';

/** Smaller differences between the two clocks are drift. */
const minJumpMs = 50;

/** Sums monotonic time and the time for which the VM may have been suspended. */
export class SuspendAwareClock {
	readonly #clock: Clock;
	#offsetMs: number;
	#suspendedMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#offsetMs = clock.wallMs() - clock.monotonicMs();
	}

	/** Milliseconds since an arbitrary start; never decreases. */
	nowMs(): number {
		const monotonicMs = this.#clock.monotonicMs();
		const offsetMs = this.#clock.wallMs() - monotonicMs;
		const jumpMs = offsetMs - this.#offsetMs;
		if (Math.abs(jumpMs) > minJumpMs) {
			this.#offsetMs = offsetMs;
			this.#suspendedMs += Math.max(0, jumpMs);
		}

		return monotonicMs + this.#suspendedMs;
	}
}
