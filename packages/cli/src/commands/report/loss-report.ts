/**
What callers lost, and why, from the log lines of entries: each `requestEnded` line is one request, counted in the interval in which it arrived.

A stream is on time if its first event came within the objective and no pause was longer than the objective for pauses; the first reason that made it late counts.
*/

/** What became of a request, from the best to the worst for its caller. */
export const requestFates = [
	'onTime', 'lateAfterReturn', 'lateInQueue', 'lateAfterRetry', 'lateAtTarget', 'latePause', 'refused', 'failed', 'callerLeft',
] as const;

export type RequestFate = typeof requestFates[number];

/** The requests that arrived within an interval. */
export type LossInterval = {
	/** Start of the interval, in milliseconds since the epoch. */
	readonly fromMs: number;
	readonly counts: Readonly<Record<RequestFate, number>>;
	/** Reasons of refused and failed requests. */
	readonly reasons: Readonly<Record<string, number>>;
};

/** Share of the objective from which a return or a wait at the entry is the reason for a late first event. */
const decisiveShare = 0.5;

/** Sorts the requests of log lines into intervals. Lines without a request that ended are passed over. */
export function buildLossReport(lines: Iterable<string>, intervalMs: number): LossInterval[] {
	const intervals = new Map<number, {counts: Record<RequestFate, number>; reasons: Record<string, number>}>();
	for (const line of lines) {
		const fields = fieldsOf(line);
		const endedAtMs = Date.parse(fields.get('time') ?? '');
		if (fields.get('event') !== 'requestEnded' || Number.isNaN(endedAtMs)) {
			continue;
		}

		const arrivedAtMs = endedAtMs - numberOf(fields, 'tookMs');
		const fromMs = Math.floor(arrivedAtMs / intervalMs) * intervalMs;
		const interval = intervals.get(fromMs) ?? {counts: noCounts(), reasons: {}};
		intervals.set(fromMs, interval);
		const fate = fateOf(fields);
		interval.counts[fate]++;
		if (fate === 'refused' || fate === 'failed') {
			const reason = fields.get('reason') ?? 'unknown';
			interval.reasons[reason] = (interval.reasons[reason] ?? 0) + 1;
		}
	}

	return [...intervals].toSorted(([left], [right]) => left - right).map(([fromMs, interval]) => ({fromMs, ...interval}));
}

/** What became of the request of one line. */
function fateOf(fields: ReadonlyMap<string, string>): RequestFate {
	const outcome = fields.get('outcome');
	if (outcome === 'refused' || outcome === 'callerLeft') {
		return outcome;
	}

	if (outcome !== 'answered') {
		return 'failed';
	}

	const objectiveMs = numberOf(fields, 'objectiveMs', Number.POSITIVE_INFINITY);
	const sinceFirstTryMs = numberOf(fields, 'sinceFirstTryMs');
	if (sinceFirstTryMs + numberOf(fields, 'firstByteMs') > objectiveMs) {
		if (sinceFirstTryMs > objectiveMs * decisiveShare) {
			return 'lateAfterReturn';
		}

		if (numberOf(fields, 'waitedMs') > objectiveMs * decisiveShare) {
			return 'lateInQueue';
		}

		return numberOf(fields, 'sent') > 0 ? 'lateAfterRetry' : 'lateAtTarget';
	}

	return numberOf(fields, 'pauseMs') > numberOf(fields, 'pauseObjectiveMs', Number.POSITIVE_INFINITY) ? 'latePause' : 'onTime';
}

/** The key=value pairs of a line, whatever stands before them. */
function fieldsOf(line: string): Map<string, string> {
	return new Map([...line.matchAll(/(\w+)=("[^"]*"|\S*)/g)].map(([, key, value]) => [key, value]));
}

function numberOf(fields: ReadonlyMap<string, string>, name: string, missing = 0): number {
	const value = Number(fields.get(name) ?? Number.NaN);
	return Number.isFinite(value) ? value : missing;
}

function noCounts(): Record<RequestFate, number> {
	return {
		onTime: 0, lateAfterReturn: 0, lateInQueue: 0, lateAfterRetry: 0, lateAtTarget: 0, latePause: 0, refused: 0, failed: 0, callerLeft: 0,
	};
}
