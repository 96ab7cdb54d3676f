/** The planned stop of an entry: since when it is under way. All times are milliseconds of one steady clock. */

/** A request in progress that ends with the process. */
export type Stoppable = {readonly cut: () => void};

/** The stop of one entry. */
export class PlannedStop {
	#begunAtMs: number | undefined;

	/** Begins the stop. */
	begin(nowMs: number): void {
		this.#begunAtMs ??= nowMs;
	}

	/** Time from the begin of the stop to a moment, negative if that came before it; undefined if the entry is not being stopped. */
	sinceBegunMs(atMs: number): number | undefined {
		return this.#begunAtMs === undefined ? undefined : atMs - this.#begunAtMs;
	}
}
