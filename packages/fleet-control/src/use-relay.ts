/**
Adds up what client accounts use, over all entries. Each entry tells one control process; control processes tell each other the sums of what they were told, and their entries the
sums of all. Each of them sends one message to each other control process and to each entry that takes its figures from it, however many entries there are.
*/

import {type AccountUse, UseSums} from '@rattanspring/account-shares';
import type {DownMessage, Receivers} from '@rattanspring/fleet-link';

/** Interval of the sums. */
const sumIntervalMs = 1000;

/** Options of a relay. */
export type UseRelayOptions = {
	readonly nodeId: string;
	readonly broadcast: (message: DownMessage, receivers: Receivers) => void;
	readonly nowMs: () => number;
};

/** The sums at one control process. */
export class UseRelay {
	readonly #options: UseRelayOptions;
	readonly #ofEntries = new UseSums();
	readonly #ofControls = new UseSums();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: UseRelayOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.tell();
		}, sumIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Records what an entry told this process. */
	recordEntry(entryId: string, uses: readonly AccountUse[]): void {
		this.#ofEntries.set(entryId, uses, this.#options.nowMs());
	}

	/** Records what another control process was told. */
	recordControl(nodeId: string, uses: readonly AccountUse[]): void {
		this.#ofControls.set(nodeId, uses, this.#options.nowMs());
	}

	/** Tells the other control processes and the entries. Nothing is sent while nobody uses anything. */
	tell(): void {
		const {nodeId, broadcast, nowMs} = this.#options;
		const own = this.#ofEntries.sums(nowMs());
		if (own.length > 0) {
			broadcast({type: 'use', nodeId, uses: own}, {roles: ['control']});
		}

		this.#ofControls.set(nodeId, own, nowMs());
		const uses = this.#ofControls.sums(nowMs());
		if (uses.length > 0) {
			broadcast({type: 'useTotals', uses}, {roles: ['entry'], onlyPrimary: true});
		}
	}
}
