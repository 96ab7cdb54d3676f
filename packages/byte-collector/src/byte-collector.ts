/** One buffer for bytes that arrive in pieces. The pieces are copied, so that none of them keeps the buffer alive that it was read into. */

import {Buffer} from 'node:buffer';
import {garbageWatch} from './garbage-watch.js';

const empty = Buffer.alloc(0);

/** A second piece makes room for this many bytes at least. */
const minGrownBytes = 1024;

/** Each piece costs some microseconds, whatever its size: beyond the first ones, pieces have to be of this size on average. */
const freePieces = 10_000;
const minPieceBytes = 64;

/** Counts pieces and their bytes. */
export class PieceCount {
	#pieces = 0;
	#bytes = 0;

	get bytes(): number {
		return this.#bytes;
	}

	/** Whether the bytes came in so many pieces that these cost more than the bytes. */
	get isFragmented(): boolean {
		return this.#pieces > freePieces + (this.#bytes / minPieceBytes);
	}

	add(piece: Uint8Array): void {
		this.#pieces++;
		this.#bytes += piece.byteLength;
	}
}

/** Collects bytes in their order. */
export class ByteCollector {
	/** Number of bytes that are expected, or the most that may come; room is not made for more before they come. */
	readonly #expectedBytes: number;
	#buffer = empty;
	#length = 0;
	#pieces = new PieceCount();

	constructor({expectedBytes = Number.POSITIVE_INFINITY}: {readonly expectedBytes?: number} = {}) {
		this.#expectedBytes = expectedBytes;
	}

	/** Number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** Memory held, in bytes: at most twice the length, and a kilobyte. */
	get heldBytes(): number {
		return this.#buffer.byteLength;
	}

	/** Whether the bytes came in so many pieces that these cost more than the bytes. */
	get isFragmented(): boolean {
		return this.#pieces.isFragmented;
	}

	/** The bytes. They are overwritten by later calls. */
	get bytes(): Buffer {
		return this.#buffer.subarray(0, this.#length);
	}

	/** Memory that would be held after so many bytes more. */
	heldAfter(addedBytes: number): number {
		const needed = this.#length + addedBytes;
		if (needed <= this.#buffer.byteLength) {
			return this.#buffer.byteLength;
		}

		const doubled = this.#length === 0 ? needed : Math.max(minGrownBytes, 2 * this.#buffer.byteLength);
		return Math.max(needed, Math.min(doubled, this.#expectedBytes));
	}

	/** Adds a piece. */
	append(piece: Uint8Array): void {
		const heldBytes = this.heldAfter(piece.byteLength);
		if (heldBytes > this.#buffer.byteLength) {
			const grown = Buffer.allocUnsafeSlow(heldBytes);
			this.#buffer.copy(grown, 0, 0, this.#length);
			garbageWatch.addBuffer(this.#buffer.byteLength);
			this.#buffer = grown;
		}

		this.#buffer.set(piece, this.#length);
		this.#length += piece.byteLength;
		this.#pieces.add(piece);
	}

	/** Removes the first bytes and returns them. */
	take(count = this.#length): Buffer {
		const taken = this.#buffer.subarray(0, count);
		const rest = this.#buffer.subarray(count, this.#length);
		this.#buffer = empty;
		this.#length = 0;
		this.#pieces = new PieceCount();
		if (rest.byteLength > 0) {
			this.append(rest);
		}

		return taken;
	}
}
