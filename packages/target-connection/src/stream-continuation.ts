/** Checks that a stream of another target goes on after the last event that was received before. */

import type {Buffer} from 'node:buffer';
import {trimLine} from './trim-line.js';

const decimalPattern = /^\d+$/;

/** Checks the first event of a stream that continues another one; comments may precede it. */
export class StreamContinuation {
	readonly #lastId: string | undefined;
	#isChecked = false;

	constructor(lastId: string | undefined) {
		this.#lastId = lastId;
	}

	/** Whether complete events, in the order of the stream, may follow what was received before. */
	accepts(bytes: Buffer): boolean {
		if (this.#isChecked) {
			return true;
		}

		const lines = bytes.toString('latin1').split('\n').map(line => trimLine(line));
		const start = lines.findIndex(line => line !== '' && !line.startsWith(':'));
		if (start === -1) {
			return true;
		}

		this.#isChecked = true;
		const end = lines.indexOf('', start);
		const id = lines.slice(start, end).find(line => line.startsWith('id:'))?.slice(3);
		return id !== undefined && follows(trimLine(id), this.#lastId);
	}
}

/** Whether an event may come after another one. The order of ids that are no numbers is unknown. */
function follows(id: string, lastId: string | undefined): boolean {
	if (lastId === undefined) {
		return false;
	}

	return decimalPattern.test(id) && decimalPattern.test(lastId) ? BigInt(id) > BigInt(lastId) : id !== lastId;
}
