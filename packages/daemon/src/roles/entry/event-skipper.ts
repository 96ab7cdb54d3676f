/**
Finds the place in a stream of server-sent events after which a caller has seen nothing yet.
*/

import {Buffer} from 'node:buffer';

const eventEnd = '\n\n';

/** Skips events up to and including the one with a given id. */
export class EventSkipper {
	readonly #lastEventId: string;
	#pending = Buffer.alloc(0);
	#isFound: boolean;

	/** An empty id skips nothing. */
	constructor(lastEventId: string) {
		this.#lastEventId = lastEventId;
		this.#isFound = lastEventId === '';
	}

	/** Whether the event was found. */
	get isFound(): boolean {
		return this.#isFound;
	}

	/** Takes the next bytes of the stream; returns those that come after the event. */
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
