/**
Bytes of streams that wait at one entry for their callers to read them. Each stream has its own limit; this is the one over all of them, since many callers who read
slowly fill the memory while each stays within its own.
*/

/** A stream that is forwarded to a caller. */
export type ForwardedStream = {
	readonly unsentBytes: number;
	/** Ends the stream because its caller does not read it. */
	readonly endUnread: () => void;
};

/** Keeps the unsent bytes of all streams below a maximum, by ending those with the most. */
export class UnsentBudget {
	readonly #maxBytes: number;
	/** Unsent bytes when the stream was last seen; a stream without any is not kept. */
	readonly #seen = new Map<ForwardedStream, number>();
	#totalBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Call it after each write to a stream. */
	recordWrite(stream: ForwardedStream): void {
		this.#see(stream, stream.unsentBytes);
		if (this.#totalBytes > this.#maxBytes) {
			this.#endSlowest();
		}
	}

	/** Call it when a stream has ended. */
	remove(stream: ForwardedStream): void {
		this.#see(stream, 0);
	}

	/** Callers may have read since their stream was last seen, so all are looked at again first. */
	#endSlowest(): void {
		for (const stream of this.#seen.keys()) {
			this.#see(stream, stream.unsentBytes);
		}

		const slowestFirst = [...this.#seen].toSorted(([, left], [, right]) => right - left);
		for (const [stream] of slowestFirst) {
			if (this.#totalBytes <= this.#maxBytes) {
				return;
			}

			this.remove(stream);
			stream.endUnread();
		}
	}

	#see(stream: ForwardedStream, bytes: number): void {
		this.#totalBytes += bytes - (this.#seen.get(stream) ?? 0);
		if (bytes === 0) {
			this.#seen.delete(stream);
		} else {
			this.#seen.set(stream, bytes);
		}
	}
}
