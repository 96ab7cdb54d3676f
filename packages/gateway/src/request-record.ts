/** What is kept of a request when it has ended: its log line and its metrics. */

import type {TargetView} from '@rattanspring/placement';
import type {GatewayContext} from './gateway-context.js';
import type {ResponseProgress} from './response-progress.js';
import type {RoutedRequest} from './routed-request.js';

/** How a request ended, and the data that decided it. Times are milliseconds of the context's clock. */
export type RequestEnd = {
	readonly outcome: string;
	/** Status of the answer; 0 without one. */
	readonly status: number;
	readonly reason?: string;
	readonly suspectedComponents: readonly string[];
	/** Component for which the request was a trial. */
	readonly trialOf?: string;
	/** Data from which the last target was chosen. */
	readonly view?: TargetView;
	/** Targets that were left out for their outcomes. */
	readonly leftOut?: string;
	readonly sentCount: number;
	/** What a refused caller was told. */
	readonly retryAfterMs?: number;
	/** Least time since the caller's first try. */
	readonly sinceFirstTryMs: number;
	readonly mayBeRetry: boolean;
	readonly admittedAtMs?: number;
	readonly progress: ResponseProgress;
};

/** Writes the log line of a request and counts its outcome, what refused callers are told, and what becomes of callers who are known to have tried before. */
export function recordEnd({logger, metrics, nowMs, plannedStop}: GatewayContext, {metadata, route, service, arrivedAtMs, connectionRequest}: RoutedRequest, end: RequestEnd): void {
	const {outcome, view, retryAfterMs, sinceFirstTryMs, suspectedComponents} = end;
	const {firstByteAtMs, longestEventGapMs} = end.progress;
	metrics.requests.inc({service, outcome});
	if (retryAfterMs !== undefined) {
		metrics.returnDelaySeconds.observe({service}, retryAfterMs / 1000);
	}

	if (sinceFirstTryMs > 0) {
		metrics.returns.inc({service, outcome});
	}

	if (firstByteAtMs !== undefined) {
		metrics.firstByteSeconds.observe({service}, (firstByteAtMs - arrivedAtMs) / 1000);
	}

	logger.log(outcome === 'cut' ? 'warn' : 'info', 'requestEnded', {
		requestId: metadata.requestId,
		route: route.name,
		objectiveMs: route.objectiveMs,
		pauseObjectiveMs: route.pauseObjectiveMs,
		outcome,
		status: end.status,
		reason: end.reason,
		...(suspectedComponents.length > 0 && {components: suspectedComponents.join(',')}),
		trialOf: end.trialOf,
		targetId: view?.report.targetId,
		busy: view?.busy,
		limit: view?.limit,
		loadAgeMs: sinceMs(0, view?.loadAgeMs),
		leftOut: end.leftOut,
		sent: end.sentCount,
		retryAfterMs: sinceMs(0, retryAfterMs),
		sinceFirstTryMs: end.mayBeRetry ? Math.round(sinceFirstTryMs) : undefined,
		waitedMs: sinceMs(arrivedAtMs, end.admittedAtMs),
		firstByteMs: sinceMs(arrivedAtMs, firstByteAtMs),
		pauseMs: sinceMs(0, longestEventGapMs),
		tookMs: sinceMs(arrivedAtMs, nowMs()),
		connectionRequest,
		sinceStopMs: sinceMs(0, plannedStop.sinceBegunMs(arrivedAtMs)),
	});
}

function sinceMs(startMs: number, endMs: number | undefined): number | undefined {
	return endMs === undefined ? undefined : Math.round(endMs - startMs);
}
