/** When the parts of a response reached the entry. */

/** Times of one response, over all targets that contribute to it. */
export class ResponseProgress {
	#firstByteAtMs: number | undefined;
	#lastEventAtMs: number | undefined;
	#longestEventGapMs: number | undefined;

	/** When the first byte for the caller arrived. */
	get firstByteAtMs(): number | undefined {
		return this.#firstByteAtMs;
	}

	/** Longest time between two events of a stream. */
	get longestEventGapMs(): number | undefined {
		return this.#longestEventGapMs;
	}

	recordFirstByte(nowMs: number): void {
		this.#firstByteAtMs ??= nowMs;
	}

	recordEvents(nowMs: number): void {
		this.recordFirstByte(nowMs);
		if (this.#lastEventAtMs !== undefined) {
			this.#longestEventGapMs = Math.max(this.#longestEventGapMs ?? 0, nowMs - this.#lastEventAtMs);
		}

		this.#lastEventAtMs = nowMs;
	}
}
