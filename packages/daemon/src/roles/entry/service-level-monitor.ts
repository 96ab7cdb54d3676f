/** Records the result of each request of this entry for metrics, logs and the service-level report. */

import type {DirectoryState} from '@rattanspring/directory';
import type {Logger} from '@rattanspring/logger';
import type {DaemonMetrics} from '@rattanspring/metrics';
import {defaultObjectives, ServiceLevelRecorder, type ServiceLevelSnapshot} from '@rattanspring/service-level';
import type {Clock, FleetConfiguration} from '@rattanspring/types';
import type {InForceConfiguration} from '../../in-force-configuration.js';
import {bearerSecret, findValidKey} from '../../secret-keys.js';
import type {ResponseMeasurements} from './measured-response.js';

/** Options of `ServiceLevelMonitor`. */
export type ServiceLevelMonitorOptions = {
	readonly directory: DirectoryState;
	readonly inForce: InForceConfiguration;
	readonly metrics: DaemonMetrics;
	readonly logger: Logger;
	readonly clock: Clock;
};

/** A request whose final response has been sent. */
export type MonitoredRequest = {readonly service: string; readonly clientAccount: string; readonly deadlineMs: number};

const msPerSecond = 1000;

/** Records the results of requests. */
export class ServiceLevelMonitor {
	readonly #options: ServiceLevelMonitorOptions;
	readonly #recorder = new ServiceLevelRecorder({objectives: defaultObjectives});

	constructor(options: ServiceLevelMonitorOptions) {
		this.#options = options;
	}

	/** Records a request whose final response has been sent. */
	record(request: MonitoredRequest, measurements: ResponseMeasurements): void {
		const {clock, metrics} = this.#options;
		const {service, clientAccount} = request;
		const {firstTokenMs, longestGapMs, isWhole, failure} = measurements;
		metrics.requests.inc({service, outcome: isWhole ? 'whole' : (failure?.type ?? 'cut')});
		if (firstTokenMs !== undefined) {
			metrics.firstByteSeconds.observe({service}, firstTokenMs / msPerSecond);
		}

		this.#recorder.record({
			service,
			clientAccount,
			place: this.#placeOf(measurements.targetId),
			firstTokenMs,
			longestGapMs,
			isWhole,
			isRefused: failure?.execution === 'didNotRun',
			isWithinDeadline: isWhole && clock.monotonicMs() <= request.deadlineMs,
		}, clock.wallMs());
		this.#log(request, measurements);
	}

	/** Returns the parts of the report: those of one client account, or all if no account is given. */
	parts(clientAccount?: string): ServiceLevelSnapshot[] {
		return this.#recorder.parts(this.#options.clock.wallMs(), clientAccount);
	}

	#placeOf(targetId: string | undefined): {target: string; failureDomain: string; revision: number} {
		const {directory, inForce} = this.#options;
		const known = targetId === undefined ? undefined : directory.targets.get(targetId);
		return {
			target: targetId ?? 'none', failureDomain: known?.announcement.failureDomain ?? 'unknown', revision: inForce.configuration.revision,
		};
	}

	#log({service, clientAccount}: MonitoredRequest, {failure, durationMs, targetId}: ResponseMeasurements): void {
		if (failure) {
			this.#options.logger.log('info', 'requestFailed', {
				service, clientAccount, target: targetId, type: failure.type, execution: failure.execution, durationMs: Math.round(durationMs), reason: failure.message,
			});
		}
	}
}

/** Whether an authorization header contains the secret of a valid operator key. */
export function isOperatorSecret(configuration: FleetConfiguration, authorization: string | undefined, nowMs: number): boolean {
	const secret = bearerSecret(authorization);
	return secret !== undefined && findValidKey(configuration.operatorKeys, secret, nowMs) !== undefined;
}
