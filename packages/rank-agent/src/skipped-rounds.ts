/** Logs the rebalancing rounds that end without an attempt to switch: one line when the reason changes, with the number of rounds that the earlier reason ended. */

import type {Logger} from '@rattanspring/logger';

/** Why a round ended early. */
export type SkipReason = 'holdingRankSilent' | 'switchUnfinished' | 'groupRests' | 'mapUnknown' | 'countsMissing' | 'tooFewSelections' | 'backingOff' | 'gainTooSmall';

/** Counts the rounds that end early in succession for the same reason. */
export class SkippedRounds {
	readonly #logger: Pick<Logger, 'log'>;
	#reason: SkipReason | undefined;
	#rounds = 0;

	constructor(logger: Pick<Logger, 'log'>) {
		this.#logger = logger;
	}

	/** Records how a round ended; `undefined` stands for an attempt to switch. */
	observe(reason: SkipReason | undefined): void {
		if (reason === this.#reason) {
			this.#rounds++;
			return;
		}

		if (reason !== undefined) {
			this.#logger.log('info', 'rebalancingSkipped', {reason, earlierReason: this.#reason, earlierRounds: this.#rounds});
		}

		this.#reason = reason;
		this.#rounds = 1;
	}
}
