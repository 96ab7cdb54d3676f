/**
Finds the position in a stream of server-sent events at which a caller resumes.
*/

import {Buffer} from 'node:buffer';

const eventEnd = '\n\n';

/** Skips the events up to and including the one with the given id. */
export class EventSkipper {
	readonly #lastEventId: string;
	#pending = Buffer.alloc(0);
	#isFound: boolean;

	/** With an empty id no event is skipped. */
	constructor(lastEventId: string) {
		this.#lastEventId = lastEventId;
		this.#isFound = lastEventId === '';
	}

	/** Whether the event with the given id has been found. */
	get isFound(): boolean {
		return this.#isFound;
	}

	/** Processes the next bytes of the stream; returns those that follow the event. */
	bytesAfterEvent(bytes: Uint8Array): Uint8Array {
		if (this.#isFound) {
			return bytes;
		}

		this.#pending = Buffer.concat([this.#pending, bytes]);
		let end = this.#pending.indexOf(eventEnd);
		while (end !== -1 && !this.#isFound) {
			this.#isFound = parseEventId(this.#pending.subarray(0, end)) === this.#lastEventId;
			this.#pending = this.#pending.subarray(end + eventEnd.length);
			end = this.#pending.indexOf(eventEnd);
		}

		return this.#isFound ? this.#pending : new Uint8Array();
	}
}

function parseEventId(event: Uint8Array): string | undefined {
	return /^id: ?(.*)$/m.exec(Buffer.from(event).toString('utf8'))?.[1];
}
