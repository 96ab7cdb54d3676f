/** The strictest objective for pauses between events among the routes of each service, computed once for each document. */

import type {DesiredState} from '@rattanspring/desired-state';

export class PauseObjectives {
	#state: DesiredState | undefined;
	#byService = new Map<string, number>();

	/** The objective in milliseconds; undefined if no route of the service has one. */
	of(state: DesiredState | undefined, service: string): number | undefined {
		if (state !== this.#state) {
			this.#state = state;
			this.#byService = strictestByService(state);
		}

		return this.#byService.get(service);
	}
}

function strictestByService(state: DesiredState | undefined): Map<string, number> {
	const strictest = new Map<string, number>();
	for (const {pauseObjectiveMs, split} of state?.routes ?? []) {
		for (const {service} of pauseObjectiveMs === undefined ? [] : split) {
			strictest.set(service, Math.min(strictest.get(service) ?? Number.POSITIVE_INFINITY, pauseObjectiveMs!));
		}
	}

	return strictest;
}
