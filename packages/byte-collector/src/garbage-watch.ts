/**
Garbage of the bytes that a process reads. The garbage collector looks at the size of the objects that stand for buffers more than at the buffers, so that many megabytes of
these may wait for it; a process with little memory has it run once so many bytes have become garbage. Objects of many requests at once outlive the collections of young
objects, and the collector lets the heap grow to a multiple of what is alive before it looks at the others; so it is run, too, once the heap is larger than the VM has room
for. Needs `node --expose-gc`; without that it does nothing.
*/

import {getHeapStatistics} from 'node:v8';

/** Buffers from this size on count: smaller ones are no more than the objects that stand for them. */
const minBufferBytes = 16_384;

/** The size of the heap is looked at once for so many requests. */
const requestsPerLook = 32;

/** What is alive may be larger than the maximum: the heap may always grow by this factor before it is collected again. */
const minGrowth = 1.5;

/** Garbage of short-lived objects, or all. */
export type Garbage = 'young' | 'all';

/** Options of the watch. */
export type GarbageWatchOptions = {
	/** Has garbage collected; absent if that can't be done. */
	readonly collect?: (garbage: Garbage) => void;
	/** Bytes of all objects in the heap. */
	readonly heapBytes?: () => number;
};

/** Bytes that may wait to be collected, and bytes of the heap's objects from which on all garbage is collected. */
export type GarbageMaxima = {
	readonly maxBytes: number;
	/** Without a limit by default. */
	readonly maxHeapBytes?: number;
	/** Called when the heap was collected as it was too large, with its size before and after. */
	readonly onHeapCollected?: (bytes: {readonly beforeBytes: number; readonly afterBytes: number}) => void;
};

/** Counts bytes that have become garbage in this process. */
export class GarbageWatch {
	readonly #collect: ((garbage: Garbage) => void) | undefined;
	readonly #heapBytes: () => number;
	#maxBytes = Number.POSITIVE_INFINITY;
	#maxHeapBytes = Number.POSITIVE_INFINITY;
	/** The maximum, or more as long as more is alive. */
	#collectedFromHeapBytes = Number.POSITIVE_INFINITY;
	#pieceBytes = 0;
	#bufferBytes = 0;
	#requests = 0;
	#onHeapCollected: GarbageMaxima['onHeapCollected'];

	constructor({collect, heapBytes = () => 0}: GarbageWatchOptions = {}) {
		this.#collect = collect;
		this.#heapBytes = heapBytes;
	}

	/** Sets how much may wait to be collected. */
	setMaxima({maxBytes, maxHeapBytes = Number.POSITIVE_INFINITY, onHeapCollected}: GarbageMaxima): void {
		this.#maxBytes = maxBytes;
		this.#maxHeapBytes = maxHeapBytes;
		this.#collectedFromHeapBytes = maxHeapBytes;
		this.#onHeapCollected = onHeapCollected;
	}

	/** A request has come, or a call of another daemon. */
	addRequest(): void {
		this.#requests++;
		if (this.#collect && this.#requests % requestsPerLook === 0) {
			this.#lookAtHeap(this.#collect);
		}
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

	#lookAtHeap(collect: (garbage: Garbage) => void): void {
		const beforeBytes = this.#heapBytes();
		if (beforeBytes <= this.#collectedFromHeapBytes) {
			return;
		}

		collect('all');
		const afterBytes = this.#heapBytes();
		this.#pieceBytes = 0;
		this.#bufferBytes = 0;
		this.#collectedFromHeapBytes = Math.max(this.#maxHeapBytes, minGrowth * afterBytes);
		this.#onHeapCollected?.({beforeBytes, afterBytes});
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
	heapBytes: () => getHeapStatistics().used_heap_size,
});
