/**
Limits the requests that each client account may have in progress at one entry.
*/

import type {ClientAccountId} from '@rattanspring/types';

/** Counts requests in progress by client account. */
export class AccountLimits {
	readonly #inProgress = new Map<ClientAccountId, number>();

	/** Number of requests of an account in progress. */
	inProgress(clientAccount: ClientAccountId): number {
		return this.#inProgress.get(clientAccount) ?? 0;
	}

	/** Counts a request unless the account is at its limit; returns whether it was counted. */
	acquire(clientAccount: ClientAccountId, limit: number): boolean {
		const inProgress = this.inProgress(clientAccount);
		if (inProgress >= limit) {
			return false;
		}

		this.#inProgress.set(clientAccount, inProgress + 1);
		return true;
	}

	/** Releases a request that was counted by `acquire`. */
	release(clientAccount: ClientAccountId): void {
		const remaining = this.inProgress(clientAccount) - 1;
		if (remaining > 0) {
			this.#inProgress.set(clientAccount, remaining);
		} else {
			this.#inProgress.delete(clientAccount);
		}
	}
}
