/**
Garbage of the bytes that a process reads. The garbage collector looks at the size of the objects that stand for buffers more than at the buffers, so that many megabytes of
these may wait for it; a process with little memory has it run once so many bytes have become garbage. Needs `node --expose-gc`; without that it does nothing.
*/

/** Buffers from this size on count: smaller ones are no more than the objects that stand for them. */
const minBufferBytes = 16_384;

/** Garbage of short-lived objects, or all. */
export type Garbage = 'young' | 'all';

/** Options of the watch. */
export type GarbageWatchOptions = {
	/** Has garbage collected; absent if that can't be done. */
	readonly collect?: (garbage: Garbage) => void;
};

/** Counts bytes that have become garbage in this process. */
export class GarbageWatch {
	readonly #collect: ((garbage: Garbage) => void) | undefined;
	#maxBytes = Number.POSITIVE_INFINITY;
	#pieceBytes = 0;
	#bufferBytes = 0;

	constructor({collect}: GarbageWatchOptions = {}) {
		this.#collect = collect;
	}

	/** Bytes that may wait to be collected. */
	setMaximum(maxBytes: number): void {
		this.#maxBytes = maxBytes;
	}

	/** A piece of a stream was read: a short-lived buffer. */
	addPiece(bytes: number): void {
		this.#pieceBytes += bytes;
		if (this.#pieceBytes >= this.#maxBytes) {
			this.#pieceBytes = 0;
			this.#collect?.('young');
		}
	}

	/** A buffer of this size is no longer needed, or will soon not be. */
	addBuffer(bytes: number): void {
		if (bytes < minBufferBytes) {
			return;
		}

		this.#bufferBytes += bytes;
		if (this.#bufferBytes >= this.#maxBytes) {
			this.#bufferBytes = 0;
			this.#pieceBytes = 0;
			this.#collect?.('all');
		}
	}
}

type Gc = (options?: {readonly type: 'minor'}) => void;

const {gc} = globalThis as {gc?: Gc};

/** The watch of this process: there is one heap. */
export const garbageWatch = new GarbageWatch(gc && {
	collect(garbage) {
		if (garbage === 'young') {
			gc({type: 'minor'});
		} else {
			gc();
		}
	},
});
