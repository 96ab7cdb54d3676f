/** Watches one stream for silence: a single timer that is not set again for each event. */

import type {Route} from '@rattanspring/desired-state';
import type {StreamSilence} from '@rattanspring/placement';

/** Gap after which callers give up on a stream: this time, or a multiple of the objective or of the objective for pauses, whichever is longest. */
const minPatienceMs = 2000;
const objectiveFactor = 4;
const pauseObjectiveFactor = 8;

/** A stream that can't be continued elsewhere is looked at again after this time. */
const stayedRecheckMs = 500;

/** Options of a timer. */
export type SilenceTimerOptions = {
	readonly silence: StreamSilence;
	readonly service: string;
	readonly route: Pick<Route, 'objectiveMs' | 'pauseObjectiveMs'>;
	readonly nowMs: () => number;
	/** Continues the stream at another target; false if that is not possible, so that it goes on waiting for this one. */
	readonly move: () => boolean;
};

/** The timer of one stream, over all its targets. */
export class SilenceTimer {
	readonly #options: SilenceTimerOptions;
	readonly #stream = Symbol('stream');
	#timer: NodeJS.Timeout | undefined;
	#sentAtMs = 0;
	#lastEventAtMs = 0;
	#hasBegun = false;

	constructor(options: SilenceTimerOptions) {
		this.#options = options;
	}

	/** Begins to watch: the stream was sent to a target. */
	begin(): void {
		const {silence, service, nowMs} = this.#options;
		this.stop();
		this.#sentAtMs = nowMs();
		this.#lastEventAtMs = this.#sentAtMs;
		this.#hasBegun = false;
		silence.begin(service, this.#stream, this.#sentAtMs);
		this.#check(silence.timeoutMs(service, false, this.#sentAtMs));
	}

	recordEvent(): void {
		const {silence, service, nowMs} = this.#options;
		this.#lastEventAtMs = nowMs();
		silence.recordEvent(service, this.#stream, this.#lastEventAtMs, this.#hasBegun ? undefined : this.#lastEventAtMs - this.#sentAtMs);
		this.#hasBegun = true;
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#options.silence.end(this.#options.service, this.#stream);
	}

	#check(afterMs: number): void {
		this.#timer = setTimeout(() => {
			this.#onTime();
		}, afterMs);
	}

	#onTime(): void {
		const {silence, service, route, nowMs, move} = this.#options;
		const silentMs = nowMs() - this.#lastEventAtMs;
		const leftMs = silence.timeoutMs(service, this.#hasBegun, nowMs()) - silentMs;
		if (leftMs > 0) {
			this.#check(leftMs);
			return;
		}

		const verdict = silence.verdictOn(service, this.#stream, {
			hasBegun: this.#hasBegun, silentMs, patienceMs: patienceMs(route), nowMs: nowMs(),
		});
		if (verdict.kind === 'wait') {
			this.#check(verdict.forMs);
			return;
		}

		if (!move()) {
			this.#check(stayedRecheckMs);
		}
	}
}

function patienceMs({objectiveMs, pauseObjectiveMs = 0}: Pick<Route, 'objectiveMs' | 'pauseObjectiveMs'>): number {
	return Math.max(minPatienceMs, objectiveMs * objectiveFactor, pauseObjectiveMs * pauseObjectiveFactor);
}
