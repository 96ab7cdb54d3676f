/** What client accounts ask of services at this entry: for the shares that order its queue, and for the metrics from which shares are audited. */

import {
	type AccountUse, type RequestWork, ShareTable, UseRecord,
} from '@rattanspring/account-shares';
import type {DaemonMetrics} from '@rattanspring/metrics';

/** Accounts that have metrics of their own at an entry; the others are counted together. */
const maxMeasuredAccounts = 100;
const otherAccountsLabel = 'other';

/** Options of the usage. */
export type AccountUsageOptions = {
	readonly failureDomain: string;
	readonly metrics: Pick<DaemonMetrics, 'accountWork' | 'accountWaitSeconds'>;
	readonly nowMs: () => number;
};

/** The usage at one entry. */
export class AccountUsage {
	readonly shares = new ShareTable();
	readonly #options: AccountUsageOptions;
	readonly #record = new UseRecord();
	readonly #measured = new Set<string>();

	constructor(options: AccountUsageOptions) {
		this.#options = options;
	}

	/** Records that a request came. */
	asked(request: RequestWork): void {
		this.#record.recordAsked(request, this.#options.nowMs());
		this.#count(request, 'asked');
	}

	/** Records that a request was sent to its first target. */
	admitted(request: RequestWork, waitedMs: number): void {
		this.#record.recordAdmitted(request, this.#options.nowMs());
		this.#count(request, 'admitted');
		const {failureDomain, metrics} = this.#options;
		metrics.accountWaitSeconds.observe({service: request.service, account: this.#labelOf(request.account), failureDomain}, waitedMs / 1000);
	}

	/** Records that a request was refused. */
	refused(request: RequestWork): void {
		this.#count(request, 'refused');
	}

	/** Records the sums over all entries. */
	setTotals(uses: readonly AccountUse[]): void {
		this.shares.setTotals(uses, this.#options.nowMs());
	}

	/** Works out the shares anew; returns this entry's own uses, to be told to the others. */
	update(): AccountUse[] {
		const nowMs = this.#options.nowMs();
		const uses = this.#record.uses(nowMs);
		this.shares.update(uses, nowMs);
		return uses;
	}

	#count({service, account, work}: RequestWork, step: 'asked' | 'admitted' | 'refused'): void {
		const {failureDomain, metrics} = this.#options;
		metrics.accountWork.inc({
			service, account: this.#labelOf(account), failureDomain, step,
		}, work);
	}

	#labelOf(account: string): string {
		if (this.#measured.size < maxMeasuredAccounts) {
			this.#measured.add(account);
		}

		return this.#measured.has(account) ? account : otherAccountsLabel;
	}
}
