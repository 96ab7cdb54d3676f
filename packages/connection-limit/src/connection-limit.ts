/**
The connections of one listener. When there are too many, those are closed on which nothing has moved for longest: that needs no knowledge of who opened them, and a caller
who opens one and uses it is never the one. A connection with a request that is being worked on stays.
*/

import type {Socket} from 'node:net';

/** Connections are closed in groups of this share of the maximum, since each search looks at all of them. */
const groupShare = 1 / 16;

/** Connections that moved something are told from silent ones this often, while there are many. */
const watchIntervalMs = 1000;
const watchedShare = 1 / 2;

/** What was done as there were too many connections. */
export type LimitExceeded = {
	/** Silent connections that were closed. */
	readonly closedCount: number;
	/** New connections that were refused, since all others were in use. */
	readonly refusedCount: number;
	readonly openCount: number;
	readonly maxConnections: number;
};

/** Options of a limit. */
export type ConnectionLimitOptions = {
	readonly maxConnections: number;
	/** Whether a request of this connection is being worked on; none is by default. */
	readonly isBusy?: (socket: Socket) => boolean;
	readonly onExceeded?: (event: LimitExceeded) => void;
	readonly nowMs?: () => number;
};

type Activity = {movedBytes: number; silentSinceMs: number};

/** Bounds the connections of one listener. */
export class ConnectionLimit {
	readonly #isBusy: (socket: Socket) => boolean;
	readonly #onExceeded: (event: LimitExceeded) => void;
	readonly #nowMs: () => number;
	readonly #open = new Map<Socket, Activity>();
	#maxConnections: number;
	#watch: NodeJS.Timeout | undefined;

	constructor({maxConnections, isBusy = () => false, onExceeded = () => undefined, nowMs = () => performance.now()}: ConnectionLimitOptions) {
		this.#maxConnections = maxConnections;
		this.#isBusy = isBusy;
		this.#onExceeded = onExceeded;
		this.#nowMs = nowMs;
	}

	get openCount(): number {
		return this.#open.size;
	}

	/** Applies another maximum to connections that are opened from now on. */
	setMaximum(maxConnections: number): void {
		this.#maxConnections = maxConnections;
	}

	/** Counts a new connection. Closes silent ones to make room for it; if there are none, the new one is closed and false returned. */
	admit(socket: Socket): boolean {
		if (this.#open.size >= this.#maxConnections && this.#closeSilent() === 0) {
			socket.destroy();
			this.#tell({closedCount: 0, refusedCount: 1});
			return false;
		}

		this.#open.set(socket, {movedBytes: movedBytesOf(socket), silentSinceMs: this.#nowMs()});
		socket.once('close', () => {
			this.#open.delete(socket);
		});
		this.#watchIfMany();
		return true;
	}

	#closeSilent(): number {
		this.#noteActivity();
		const silent = [...this.#open].filter(([socket]) => !this.#isBusy(socket)).toSorted(([, left], [, right]) => left.silentSinceMs - right.silentSinceMs);
		const excess = this.#open.size + 1 - this.#maxConnections;
		const group = Math.min(Math.ceil(silent.length / 2), Math.max(excess, Math.ceil(this.#maxConnections * groupShare)));
		for (const [socket] of silent.slice(0, group)) {
			// The descriptor is free in the next turn of the event loop at the latest, before the next connection is accepted.
			socket.destroy();
			this.#open.delete(socket);
		}

		if (group > 0) {
			this.#tell({closedCount: group, refusedCount: 0});
		}

		return group;
	}

	#noteActivity(): void {
		const nowMs = this.#nowMs();
		for (const [socket, activity] of this.#open) {
			const movedBytes = movedBytesOf(socket);
			if (movedBytes !== activity.movedBytes) {
				activity.movedBytes = movedBytes;
				activity.silentSinceMs = nowMs;
			}
		}
	}

	#watchIfMany(): void {
		const isMany = () => this.#open.size > this.#maxConnections * watchedShare;
		if (!isMany()) {
			return;
		}

		this.#watch ??= setInterval(() => {
			if (isMany()) {
				this.#noteActivity();
			} else {
				clearInterval(this.#watch);
				this.#watch = undefined;
			}
		}, watchIntervalMs).unref();
	}

	#tell(event: Pick<LimitExceeded, 'closedCount' | 'refusedCount'>): void {
		this.#onExceeded({...event, openCount: this.#open.size, maxConnections: this.#maxConnections});
	}
}

/** Bytes that were received, and those that the other side has taken. */
function movedBytesOf(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}
