/**
Repeats work on a disk that is full until it has room again. A full disk refuses a write and keeps what it has, so that the state on disk is known and the process
can wait; any other failure of a write leaves that state unknown.
*/

import {setTimeout as sleep} from 'node:timers/promises';

const defaultAttemptPauseMs = 100;

/** Error codes of a file system that has no room, or none left for this user. */
const fullCodes: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);

/** Options of a wait for room. */
export type DiskSpaceOptions = {
	/** Pause between attempts. */
	readonly attemptPauseMs?: number;
	/** Called when the disk refuses a write for want of room, once until it has room again. */
	readonly onFull?: (message: string) => void;
	/** Called when the disk has room again. */
	readonly onRoom?: (waitedMs: number) => void;
};

/** The wait for room of one disk. */
export class DiskSpace {
	readonly #options: DiskSpaceOptions;
	readonly #end = new AbortController();

	constructor(options: DiskSpaceOptions = {}) {
		this.#options = options;
	}

	/** Runs work that may be repeated, until it does not fail for want of room. Throws any other error, and the last one if waiting has ended. */
	async use<Value>(work: () => Promise<Value>): Promise<Value> {
		let fullSinceMs: number | undefined;
		for (;;) {
			try {
				const value = await work();
				if (fullSinceMs !== undefined) {
					this.#options.onRoom?.(performance.now() - fullSinceMs);
				}

				return value;
			} catch (error) {
				if (!isFull(error) || this.#end.signal.aborted) {
					throw error;
				}

				if (fullSinceMs === undefined) {
					fullSinceMs = performance.now();
					this.#options.onFull?.(String(error));
				}
			}

			await this.#pause();
		}
	}

	/** Ends all waits: work that the disk still refuses fails. */
	stopWaiting(): void {
		this.#end.abort();
	}

	async #pause(): Promise<void> {
		try {
			await sleep(this.#options.attemptPauseMs ?? defaultAttemptPauseMs, undefined, {signal: this.#end.signal});
		} catch {
			// Waiting has ended, and the next attempt is the last one.
		}
	}
}

/** Whether a write failed because the disk is full. After a failed sync it is not known what is on disk, for whatever reason it failed. */
export function isFull(error: unknown): boolean {
	const {code, syscall} = error as Partial<NodeJS.ErrnoException>;
	return fullCodes.has(code) && syscall !== 'fsync';
}
