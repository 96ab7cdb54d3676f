/** A wait for some work that can be ended early. The work itself goes on, and its result is ignored. */

/** What a wait results in that was interrupted. */
export const interrupted = Symbol('interrupted');

/** One wait at a time. */
export class InterruptibleWait {
	#interrupt: (() => void) | undefined;

	/** Resolves with the result of the work, or with `interrupted`. */
	async for<Value>(work: Promise<Value>): Promise<Value | typeof interrupted> {
		const interruption = new Promise<typeof interrupted>(resolve => {
			this.#interrupt = () => {
				resolve(interrupted);
			};
		});
		const result = await Promise.race([work, interruption]);
		this.#interrupt = undefined;
		return result;
	}

	/** Ends the present wait, if any. */
	interrupt(): void {
		this.#interrupt?.();
	}
}
