/** Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded. */

import {Buffer} from 'node:buffer';
import {ByteCollector} from '@rattanspring/byte-collector';
import {isHeaderValue} from '@rattanspring/types';
import {trimLine} from './trim-line.js';

/** Complete events, and the id of the last one that has an id. */
export type CompleteEvents = {
	readonly bytes: Buffer;
	/** One character a byte, as in the header that names it to the target that continues the stream. An id that no header can carry is none. */
	readonly lastId?: string;
	/** Whether an event without an id follows that one, so that the id does not tell where the events end. */
	readonly endsWithoutId: boolean;
	readonly count: number;
};

/** Maximum size of an incomplete event that is buffered. */
const maxEventBytes = 1_048_576;

const lineFeed = 10;

const noBytes = Buffer.alloc(0);

/** Bytes before a piece in which an event boundary that ends in the piece may begin. */
const boundaryOverlap = 2;

/** Buffers an incomplete event until its remaining bytes arrive. */
export class EventSplitter {
	readonly #incompleteEvent = new ByteCollector();

	/** Whether no incomplete event is buffered. */
	get isAtEventBoundary(): boolean {
		return this.#incompleteEvent.length === 0;
	}

	/** Whether the buffered event exceeds `maxEventBytes`, or comes in pieces that cost more than it. */
	get isOversized(): boolean {
		return this.#incompleteEvent.length > maxEventBytes || this.#incompleteEvent.isFragmented;
	}

	/** Memory that the buffered event holds, in bytes. */
	get heldBytes(): number {
		return this.#incompleteEvent.heldBytes;
	}

	/** Adds bytes and returns the events that are complete. */
	push(chunk: Buffer): CompleteEvents {
		const whole = this.isAtEventBoundary ? this.#pushFirst(chunk) : this.#pushNext(chunk);
		return {bytes: whole, ...positionOf(whole), count: countEvents(whole)};
	}

	#pushFirst(chunk: Buffer): Buffer {
		const end = endOfCompleteEvents(chunk);
		if (end < chunk.byteLength) {
			this.#incompleteEvent.append(chunk.subarray(end));
		}

		return chunk.subarray(0, end);
	}

	#pushNext(chunk: Buffer): Buffer {
		const searchFrom = Math.max(0, this.#incompleteEvent.length - boundaryOverlap);
		this.#incompleteEvent.append(chunk);
		const end = endOfCompleteEvents(this.#incompleteEvent.bytes.subarray(searchFrom));
		return end === 0 ? noBytes : this.#incompleteEvent.take(searchFrom + end);
	}
}

/** Returns the offset after the last blank line. */
function endOfCompleteEvents(bytes: Buffer): number {
	const plain = bytes.lastIndexOf('\n\n');
	const crlfBoundary = bytes.lastIndexOf('\n\r\n');
	return Math.max(plain === -1 ? 0 : plain + 2, crlfBoundary === -1 ? 0 : crlfBoundary + 3);
}

function positionOf(bytes: Buffer): Pick<CompleteEvents, 'lastId' | 'endsWithoutId'> {
	let endsWithoutId = false;
	let hasFields = false;
	for (let end = bytes.byteLength; end > 0;) {
		const start = bytes.lastIndexOf(lineFeed, end - 2) + 1;
		const line = trimLine(bytes.toString('latin1', start, end));
		if (line.startsWith('id:') && isHeaderValue(line)) {
			return {lastId: trimLine(line.slice(3)), endsWithoutId};
		}

		if (line === '') {
			endsWithoutId ||= hasFields;
			hasFields = false;
		} else {
			hasFields ||= !line.startsWith(':');
		}

		end = start;
	}

	return {endsWithoutId: endsWithoutId || hasFields};
}

function countEvents(bytes: Buffer): number {
	let count = 0;
	for (let at = bytes.indexOf('\n\n'); at !== -1; at = bytes.indexOf('\n\n', at + 2)) {
		count++;
	}

	return count;
}
