/** Passes the numbers of permits on to metrics, and logs refusals: one line for all of them since the last one. */

import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import type {PermitCounts, PermitHolder} from '@rattanspring/target-limits';

/** Options of the report. */
export type PermitReportOptions = {
	readonly permits: Pick<PermitHolder, 'counts'>;
	readonly logger: Logger;
	readonly metrics: Pick<DaemonMetrics, 'permits'>;
};

/** Reports on the permits of one entry. */
export class PermitReport {
	readonly #options: PermitReportOptions;
	#reported: PermitCounts;

	constructor(options: PermitReportOptions) {
		this.#options = options;
		this.#reported = options.permits.counts;
	}

	/** To be called now and then. */
	refresh(): void {
		const {permits, logger, metrics} = this.#options;
		const current = permits.counts;
		const since = Object.fromEntries(Object.entries(current).map(([outcome, count]) => [outcome, count - this.#reported[outcome as keyof PermitCounts]]));
		this.#reported = current;
		for (const [outcome, count] of Object.entries(since)) {
			metrics.permits.inc({outcome}, count);
		}

		if (since.refusals + since.unanswered > 0) {
			logger.log('info', 'permitsRefused', since);
		}
	}
}
