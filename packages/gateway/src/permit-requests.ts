/** Asks for permits for targets that name a limit, as many at a time as requests wait for a target, and at least one ahead. */

import type {PermitDecision, PermitHolder} from '@rattanspring/target-limits';
import type {LimitedTarget} from '@rattanspring/placement';

const maxCallsAtOnce = 8;

/** Options of the requests. */
export type PermitRequestsOptions = {
	readonly permits: PermitHolder;
	/** Targets of a service that accept work and name a limit. */
	readonly limitedTargets: (service: string) => readonly LimitedTarget[];
	readonly waitingCount: () => number;
	/** Asks the authority of a target; resolves with `undefined` if it does not answer. */
	readonly take: (target: LimitedTarget) => Promise<PermitDecision | undefined>;
	readonly onGranted: () => void;
	readonly nowMs: () => number;
};

/** The requests of one entry. */
export class PermitRequests {
	readonly #options: PermitRequestsOptions;
	#calls = 0;

	constructor(options: PermitRequestsOptions) {
		this.#options = options;
	}

	/** Asks for permits for a service to which requests have come or wait. */
	ask(service: string): void {
		const {permits, limitedTargets, waitingCount, nowMs} = this.#options;
		const targets = limitedTargets(service);
		const wanted = Math.min(maxCallsAtOnce, Math.max(1, waitingCount())) - targets.filter(target => permits.has(target, nowMs())).length;
		while (this.#calls < wanted) {
			const next = permits.nextToAsk(targets, nowMs());
			const target = targets.find(({targetId}) => targetId === next?.targetId);
			if (!target) {
				return;
			}

			void this.#ask(target);
		}
	}

	async #ask(target: LimitedTarget): Promise<void> {
		const {permits, take, onGranted, nowMs} = this.#options;
		this.#calls++;
		const decision = await take(target);
		this.#calls--;
		permits.record(target, decision, nowMs());
		if (decision?.isGranted) {
			onGranted();
		}
	}
}
