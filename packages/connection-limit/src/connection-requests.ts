/**
The requests of one connection. Callers send a request once the one before it is answered; whoever sends many behind each other has all of them parsed in one turn of the event
loop, and their objects alive at once, even if each is answered as soon as it comes.
*/

import type {Socket} from 'node:net';

/** Requests that one connection may have in progress, and that may come with one read. */
export const maxRequestsAtOnce = 16;

/** Counts the requests of one connection. */
export class ConnectionRequests {
	readonly #socket: Pick<Socket, 'bytesRead'>;
	#readBytes = -1;
	#inRead = 0;

	constructor(socket: Pick<Socket, 'bytesRead'>) {
		this.#socket = socket;
	}

	/** Counts a request, with the number of those in progress, itself included. Returns false if too many came at once. */
	begin(inProgress: number): boolean {
		const {bytesRead} = this.#socket;
		this.#inRead = bytesRead === this.#readBytes ? this.#inRead + 1 : 1;
		this.#readBytes = bytesRead;
		return inProgress <= maxRequestsAtOnce && this.#inRead <= maxRequestsAtOnce;
	}
}
