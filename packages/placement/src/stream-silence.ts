/**
Decides when a stream without events is continued at another target. A target that hangs is left early; while all targets are slow, or a whole group stands still, another
one would be no faster, and the retries would be missing when targets fail.

Load that this answers: more requests than the targets bear, or a group that waits for a lost rank, while callers give up on a stream that is silent for some seconds.
*/

/** Time without an event after which a stream is moved if nothing is known of others, before its first event and after it. */
const defaultFirstEventMs = 1600;
const nextEventMs = 1000;

/** A first event counts as overdue after this multiple of the time within which three quarters of the recent ones came, and not earlier than this. */
const overdueFactor = 3;
const minFirstEventMs = 700;
const quantile = 0.75;

/** First events older than this say nothing about the load now; fewer of them than this are no measure. */
const recentMs = 3000;
const minSamples = 5;
const maxSamples = 64;

/** Other streams make progress if one of them had an event within this time. */
const progressMs = 400;

/** A silent stream is looked at again after this time. */
const recheckMs = 200;

type Service = {
	firstEvents: Array<{readonly atMs: number; readonly tookMs: number}>;
	/** The streams that wait for events. */
	readonly streams: Map<symbol, {lastEventAtMs: number}>;
};

/** What happens to a stream that was silent for its time: it is moved, or waits on for some time. */
export type SilenceVerdict = {readonly kind: 'move'} | {readonly kind: 'wait'; readonly forMs: number};

/** A stream without an event. */
export type SilentStream = {
	/** Whether it had its first event. */
	readonly hasBegun: boolean;
	readonly silentMs: number;
	/** Time without an event after which its caller gives up on it. */
	readonly patienceMs: number;
	readonly nowMs: number;
};

/** The streams of one entry, by service. */
export class StreamSilence {
	readonly #services = new Map<string, Service>();

	/** Records that a stream was sent to a target. */
	begin(service: string, stream: symbol, nowMs: number): void {
		this.#of(service).streams.set(stream, {lastEventAtMs: nowMs});
	}

	/** Records an event; `sinceSentMs` is given with the first one. */
	recordEvent(service: string, stream: symbol, nowMs: number, sinceSentMs?: number): void {
		const known = this.#of(service);
		const state = known.streams.get(stream);
		if (state) {
			state.lastEventAtMs = nowMs;
		}

		if (sinceSentMs !== undefined) {
			known.firstEvents = [...recentOf(known, nowMs), {atMs: nowMs, tookMs: sinceSentMs}].slice(-maxSamples);
		}
	}

	/** Records that a stream has ended or left its target. */
	end(service: string, stream: symbol): void {
		this.#of(service).streams.delete(stream);
	}

	/** Time for which a stream may be silent before `verdictOn` is asked. */
	timeoutMs(service: string, hasBegun: boolean, nowMs: number): number {
		return hasBegun ? nextEventMs : this.#firstEventTimeoutMs(service, nowMs);
	}

	/** Decides about a stream that was silent for its time. */
	verdictOn(service: string, stream: symbol, {hasBegun, silentMs, patienceMs, nowMs}: SilentStream): SilenceVerdict {
		const isOverdue = silentMs >= this.timeoutMs(service, hasBegun, nowMs);
		const isStillUseful = hasBegun || silentMs + this.#usualFirstEventMs(service, nowMs) <= patienceMs;
		return isOverdue && isStillUseful && this.#doOthersProgress(service, stream, nowMs) ? {kind: 'move'} : {kind: 'wait', forMs: recheckMs};
	}

	#firstEventTimeoutMs(service: string, nowMs: number): number {
		const usualMs = this.#usualFirstEventMs(service, nowMs);
		return usualMs === 0 ? defaultFirstEventMs : Math.max(minFirstEventMs, usualMs * overdueFactor);
	}

	/** Time within which most of the recent first events came; 0 if there are too few. */
	#usualFirstEventMs(service: string, nowMs: number): number {
		const times = recentOf(this.#of(service), nowMs).map(({tookMs}) => tookMs).toSorted((left, right) => left - right);
		return times.length < minSamples ? 0 : times[Math.floor(times.length * quantile)];
	}

	/** Whether another stream of the service had an event lately; a stream that is the only one is taken to be in the same case as if others had. */
	#doOthersProgress(service: string, stream: symbol, nowMs: number): boolean {
		const others = [...this.#of(service).streams].filter(([other]) => other !== stream);
		return others.length === 0 || others.some(([, {lastEventAtMs}]) => nowMs - lastEventAtMs < progressMs);
	}

	#of(service: string): Service {
		const known = this.#services.get(service) ?? {firstEvents: [], streams: new Map()};
		this.#services.set(service, known);
		return known;
	}
}

function recentOf({firstEvents}: Service, nowMs: number): Service['firstEvents'] {
	return firstEvents.filter(({atMs}) => nowMs - atMs < recentMs);
}
