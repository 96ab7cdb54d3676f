/**
Limits the memory of all buffered responses of an agent. At the limit, delivered frames are dropped; if that does not
free enough memory, reading from targets is paused, so that no undelivered frame is lost.
*/

import {AttemptBuffer, type AttemptId} from './attempt-buffer.js';

/** Counts the bytes in all buffers against one limit. */
export class StreamMemory {
	readonly #limitBytes: number;
	readonly #buffers = new Set<AttemptBuffer>();
	#usedBytes = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Memory used by all buffers, in bytes. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Creates a buffer that counts against the limit until it is released. */
	allocate(name: AttemptId): AttemptBuffer {
		const buffer = new AttemptBuffer(name, deltaBytes => {
			this.#usedBytes += deltaBytes;
		});
		this.#buffers.add(buffer);
		return buffer;
	}

	/** Stops counting a buffer that will not be read again. */
	release(buffer: AttemptBuffer): void {
		if (this.#buffers.delete(buffer)) {
			this.#usedBytes -= buffer.bufferedBytes;
		}
	}

	/** Whether more may be read from targets. At the limit, first drops delivered frames, starting with the oldest response. */
	hasCapacity(): boolean {
		for (const buffer of this.#buffers) {
			if (this.#usedBytes < this.#limitBytes) {
				return true;
			}

			buffer.dropDelivered();
		}

		return this.#usedBytes < this.#limitBytes;
	}
}
