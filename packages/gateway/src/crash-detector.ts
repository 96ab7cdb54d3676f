/**
Distinguishes target crashes from broken connections. A broken connection counts as a crash only if the target is unreachable shortly
afterwards: connections to healthy targets also break, and identical requests would accumulate such breaks as crashes.
*/

import type {Crash} from '@rattanspring/placement';

/** A request whose connection broke. */
export type BrokenRequest = Crash & {
	readonly requestId?: string;
	readonly components: readonly string[];
	/** How long ago the target had begun its answer; undefined if it had not. */
	readonly answerBegunMs?: number;
};

/** After this delay a crashed target no longer listens; it takes at least some seconds to restart. */
const defaultProbeDelayMs = 250;

const connectTimeoutMs = 400;

export type CrashDetectorOptions = {
	readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
	readonly onCrash: (crash: BrokenRequest) => void;
	readonly probeDelayMs?: number;
};

/** Checks targets after a broken connection. Connections that break while a check of an address is pending share that check. */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	readonly #suspects = new Map<string, BrokenRequest[]>();

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Reports that the connection of a request broke. `crash` is passed to `onCrash` if the target is unreachable. */
	suspect(crash: BrokenRequest, address: string): void {
		const pending = this.#suspects.get(address);
		if (pending) {
			pending.push(crash);
			return;
		}

		this.#suspects.set(address, [crash]);
		setTimeout(() => {
			void this.#probe(address);
		}, this.#options.probeDelayMs ?? defaultProbeDelayMs);
	}

	async #probe(address: string): Promise<void> {
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
