/** Bytes of responses that one entry holds at a time, before it can forward them. */

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
