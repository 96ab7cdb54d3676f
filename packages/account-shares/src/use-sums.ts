/** Adds up the uses that several daemons have told. What one of them told counts until it tells something newer, or for some seconds. */

import {type AccountUse, largestUses} from './account-use.js';

/** Time for which what a daemon told counts: a few of its messages. */
export const useLifetimeMs = 3000;

type Told = {readonly uses: readonly AccountUse[]; readonly atMs: number};

/** Uses by the daemon that told them. */
export class UseSums {
	readonly #told = new Map<string, Told>();

	/** Replaces what a daemon has told. */
	set(source: string, uses: readonly AccountUse[], nowMs: number): void {
		this.#told.set(source, {uses, atMs: nowMs});
	}

	/** The sums over all daemons, bounded in the number of accounts. */
	sums(nowMs: number): AccountUse[] {
		const sums = new Map<string, AccountUse>();
		for (const [source, {uses, atMs}] of this.#told) {
			if (nowMs - atMs >= useLifetimeMs) {
				this.#told.delete(source);
				continue;
			}

			for (const use of uses) {
				const key = `${use.service} ${use.account}`;
				const sum = sums.get(key);
				sums.set(key, {...use, asked: use.asked + (sum?.asked ?? 0), admitted: use.admitted + (sum?.admitted ?? 0)});
			}
		}

		return largestUses([...sums.values()]);
	}
}
