/**
Tells crashes of targets from broken connections. A request whose connection broke is suspected only if its target is
gone a moment later: connections also break at sound targets, and many requests ask for the same.
*/

import type {Crash} from '@rattanspring/placement';

/** A crashed target no longer listens after this time, and is back after some seconds at the earliest. */
const lookAfterMs = 250;

const connectTimeoutMs = 400;

/** Options of the watch. */
export type CrashWatchOptions = {
	readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
	readonly onCrash: (crash: Crash) => void;
	readonly lookAfterMs?: number;
};

/** Looks at targets at which a connection broke; each start of a target is looked at once at a time. */
export class CrashWatch {
	readonly #options: CrashWatchOptions;
	readonly #suspects = new Map<string, Crash[]>();

	constructor(options: CrashWatchOptions) {
		this.#options = options;
	}

	/** Takes it that a request's connection broke. */
	suspect(crash: Crash, address: string): void {
		const waiting = this.#suspects.get(address);
		if (waiting) {
			waiting.push(crash);
			return;
		}

		this.#suspects.set(address, [crash]);
		setTimeout(() => {
			void this.#look(address);
		}, this.#options.lookAfterMs ?? lookAfterMs);
	}

	async #look(address: string): Promise<void> {
		const reached = await this.#options.isReachable(address, connectTimeoutMs);
		const crashes = this.#suspects.get(address) ?? [];
		this.#suspects.delete(address);
		if (!reached) {
			for (const crash of crashes) {
				this.#options.onCrash(crash);
			}
		}
	}
}
