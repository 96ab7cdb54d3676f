/** Memory that bytes in transit may hold in one process. */

/** Counts bytes against a maximum. */
export class ByteBudget {
	readonly #maxBytes: number;
	#usedBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Takes bytes; false if fewer are left. */
	take(bytes: number): boolean {
		if (this.#usedBytes + bytes > this.#maxBytes) {
			return false;
		}

		this.#usedBytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#usedBytes -= bytes;
	}
}

/** The part of a budget that one holder uses. */
export class BudgetShare {
	readonly #budget: ByteBudget;
	#heldBytes = 0;

	constructor(budget: ByteBudget) {
		this.#budget = budget;
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Holds this many bytes from now on, instead of those before; false, and nothing changes, if the budget has not enough left. */
	hold(bytes: number): boolean {
		if (bytes > this.#heldBytes && !this.#budget.take(bytes - this.#heldBytes)) {
			return false;
		}

		if (bytes < this.#heldBytes) {
			this.#budget.release(this.#heldBytes - bytes);
		}

		this.#heldBytes = bytes;
		return true;
	}

	/** Holds nothing any more. */
	release(): void {
		this.hold(0);
	}
}
