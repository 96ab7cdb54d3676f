/**
Pauses that targets ask for: a target that refuses a request may say for how long it wants no further one from this entry. The pause belongs to
one lifetime of the target, and lasts to the latest moment that was stated.
*/

/** Longest pause that is accepted; a target that asks for more is overloaded or wrong, and is tried again after this time. */
export const maxPauseMs = 30_000;

/** What a target asked for: a usable time, a time that was shortened, or something that is no time. */
export type PauseRequest = {readonly kind: 'accepted' | 'shortened'; readonly pauseMs: number} | {readonly kind: 'ignored'; readonly text: string};

/** Checks what a target asked for. */
export function readPauseRequest(pause: number | string): PauseRequest {
	if (typeof pause === 'string' || !Number.isFinite(pause) || pause < 0) {
		return {kind: 'ignored', text: String(pause).slice(0, 40)};
	}

	return pause > maxPauseMs ? {kind: 'shortened', pauseMs: maxPauseMs} : {kind: 'accepted', pauseMs: pause};
}

/** The pauses of all targets, by target ID. */
export class TargetPauses {
	readonly #pauses = new Map<string, {readonly bornMs: number; readonly untilMs: number}>();

	/** Records a pause. An earlier one that ends later stays in force. */
	add(targetId: string, bornMs: number, untilMs: number): void {
		const known = this.#pauses.get(targetId);
		if (known?.bornMs !== bornMs || known.untilMs < untilMs) {
			this.#pauses.set(targetId, {bornMs, untilMs});
		}
	}

	/** End of the target's pause; undefined if it is not paused. */
	untilMs(targetId: string, bornMs: number, nowMs: number): number | undefined {
		const known = this.#pauses.get(targetId);
		return known?.bornMs === bornMs && known.untilMs > nowMs ? known.untilMs : undefined;
	}

	/** Forgets pauses that have ended. */
	removeEnded(nowMs: number): void {
		for (const [targetId, {untilMs}] of this.#pauses) {
			if (untilMs <= nowMs) {
				this.#pauses.delete(targetId);
			}
		}
	}
}
