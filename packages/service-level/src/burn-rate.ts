/** Burn rate: how fast a service consumes the error budget of an objective. */

/** Request counts in a window. */
export type WindowCounts = {readonly total: number; readonly bad: number};

/** Share of bad requests divided by the share that the objective allows; 1 consumes the budget exactly. 0 without requests. */
export function burnRate(counts: WindowCounts, objective: number): number {
	if (counts.total === 0) {
		return 0;
	}

	return (counts.bad / counts.total) / (1 - objective);
}

/** Remaining fraction of the error budget of a window; negative once it is exceeded. */
export function budgetLeft(counts: WindowCounts, objective: number): number {
	return 1 - burnRate(counts, objective);
}
