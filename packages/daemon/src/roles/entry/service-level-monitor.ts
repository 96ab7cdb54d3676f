/** Records how each request of this entry went, for metrics, logs and the service-level report. */

import type {DirectoryState} from '@rattanspring/directory';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {defaultObjectives, ServiceLevelRecorder, type ServiceLevelSnapshot} from '@rattanspring/service-level';
import type {Clock, FleetConfiguration} from '@rattanspring/types';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {bearerSecret, findValidKey} from '../../secret-keys.js';
import type {AnswerNotes} from './measured-answer.js';

/** Options of the monitor. */
export type ServiceLevelMonitorOptions = {
	readonly directory: DirectoryState;
	readonly inForce: InForceConfiguration;
	readonly metrics: DaemonMetrics;
	readonly logger: Logger;
	readonly clock: Clock;
};

/** The request that was answered. */
export type MonitoredRequest = {readonly service: string; readonly clientAccount: string; readonly deadlineMs: number};

const msPerSecond = 1000;

/** Records requests. */
export class ServiceLevelMonitor {
	readonly #options: ServiceLevelMonitorOptions;
	readonly #recorder = new ServiceLevelRecorder({objectives: defaultObjectives});

	constructor(options: ServiceLevelMonitorOptions) {
		this.#options = options;
	}

	/** Takes in a request that has its final answer. */
	record(request: MonitoredRequest, notes: AnswerNotes): void {
		const {clock, metrics} = this.#options;
		const {service, clientAccount} = request;
		const {firstTokenMs, longestGapMs, isWhole, failure} = notes;
		metrics.requests.inc({service, outcome: isWhole ? 'whole' : (failure?.type ?? 'cut')});
		if (firstTokenMs !== undefined) {
			metrics.firstByteSeconds.observe({service}, firstTokenMs / msPerSecond);
		}

		this.#recorder.record({
			service,
			clientAccount,
			place: this.#placeOf(notes.targetId),
			firstTokenMs,
			longestGapMs,
			isWhole,
			isRefused: failure?.execution === 'didNotRun',
			isWithinDeadline: isWhole && clock.monotonicMs() <= request.deadlineMs,
		}, clock.wallMs());
		this.#log(request, notes);
	}

	/** Parts for the report: all for an operator's key, one client account's for a caller. */
	parts(clientAccount?: string): ServiceLevelSnapshot[] {
		return this.#recorder.snapshots(this.#options.clock.wallMs(), clientAccount);
	}

	#placeOf(targetId: string | undefined): {target: string; failureDomain: string; revision: number} {
		const {directory, inForce} = this.#options;
		const known = targetId === undefined ? undefined : directory.targets.get(targetId);
		return {
			target: targetId ?? 'none', failureDomain: known?.announcement.failureDomain ?? 'unknown', revision: inForce.configuration.revision,
		};
	}

	#log({service, clientAccount}: MonitoredRequest, {failure, durationMs, targetId}: AnswerNotes): void {
		if (failure) {
			this.#options.logger.log('info', 'requestFailed', {
				service, clientAccount, target: targetId, type: failure.type, execution: failure.execution, durationMs: Math.round(durationMs), reason: failure.message,
			});
		}
	}
}

/** Whether a bearer secret is that of a valid operator key. */
export function isOperatorSecret(configuration: FleetConfiguration, authorization: string | undefined, nowMs: number): boolean {
	const secret = bearerSecret(authorization);
	return secret !== undefined && findValidKey(configuration.operatorKeys, secret, nowMs) !== undefined;
}
