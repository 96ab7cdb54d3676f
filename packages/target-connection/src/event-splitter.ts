/** Cuts a stream of server-sent events at the borders of events, so that only whole events are passed on. */

import {Buffer} from 'node:buffer';

/** Whole events, and the id of the last one that had any. */
export type WholeEvents = {readonly bytes: Buffer; readonly lastId?: string; readonly count: number};

/** Bytes of one event that may wait for its end. */
const maxEventBytes = 1_048_576;

const lineFeed = 10;

/** Keeps the beginning of an event until its end has come. */
export class EventSplitter {
	#rest: Buffer = Buffer.alloc(0);

	/** Whether the stream stands at the border of an event. */
	get isAtBorder(): boolean {
		return this.#rest.byteLength === 0;
	}

	/** Whether an event has grown beyond all bounds. */
	get isOversized(): boolean {
		return this.#rest.byteLength > maxEventBytes;
	}

	/** Adds bytes; returns the events that are whole by now. */
	push(chunk: Buffer): WholeEvents {
		const bytes = this.#rest.byteLength === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const end = endOfWhole(bytes);
		this.#rest = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		return {bytes: whole, lastId: lastIdOf(whole), count: countOf(whole)};
	}
}

/** The position after the last blank line. */
function endOfWhole(bytes: Buffer): number {
	const plain = bytes.lastIndexOf('\n\n');
	const withReturn = bytes.lastIndexOf('\n\r\n');
	return Math.max(plain === -1 ? 0 : plain + 2, withReturn === -1 ? 0 : withReturn + 3);
}

function lastIdOf(bytes: Buffer): string | undefined {
	for (let end = bytes.byteLength; end > 0;) {
		const start = bytes.lastIndexOf(lineFeed, end - 2) + 1;
		const line = bytes.toString('utf8', start, end).trim();
		if (line.startsWith('id:')) {
			return line.slice(3).trim();
		}

		end = start;
	}

	return undefined;
}

function countOf(bytes: Buffer): number {
	let count = 0;
	for (let at = bytes.indexOf('\n\n'); at !== -1; at = bytes.indexOf('\n\n', at + 2)) {
		count++;
	}

	return count;
}
