/**
Prometheus metrics of a daemon.
*/

import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const latencyBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.034, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 30];

const waitBucketsSeconds = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

/** Default sampling interval of the event-loop delay. */
const defaultEventLoopPrecisionMs = 10;

/** Options of `DaemonMetrics`. */
export type DaemonMetricsOptions = {
	/** Sampling interval of the event-loop delay; a longer one saves wake-ups on VMs with a fraction of a core. */
	readonly eventLoopPrecisionMs?: number;
};

/** All metrics of one daemon. */
export class DaemonMetrics {
	readonly registry = new Registry();

	readonly requests = new Counter({
		name: 'rattanspring_requests_total',
		help: 'Requests ended at this entry, by service and outcome.',
		labelNames: ['service', 'outcome'] as const,
		registers: [this.registry],
	});

	readonly firstByteSeconds = new Histogram({
		name: 'rattanspring_first_byte_seconds',
		help: 'Time from receiving a request to the first byte of its answer.',
		labelNames: ['service'] as const,
		buckets: latencyBucketsSeconds,
		registers: [this.registry],
	});

	readonly returnDelaySeconds = new Histogram({
		name: 'rattanspring_return_delay_seconds',
		help: 'Time after which refused callers were told to come back.',
		labelNames: ['service'] as const,
		buckets: latencyBucketsSeconds,
		registers: [this.registry],
	});

	readonly returns = new Counter({
		name: 'rattanspring_returns_total',
		help: 'Requests ended at this entry whose callers had tried before, by service and outcome.',
		labelNames: ['service', 'outcome'] as const,
		registers: [this.registry],
	});

	readonly revisionInForce = new Gauge({
		name: 'rattanspring_configuration_revision',
		help: 'Configuration revision in force on this daemon.',
		registers: [this.registry],
	});

	readonly newestRevision = new Gauge({
		name: 'rattanspring_configuration_newest_revision',
		help: 'Highest configuration revision announced to this daemon; above the revision in force while the daemon is behind.',
		registers: [this.registry],
	});

	readonly targetsKnown = new Gauge({
		name: 'rattanspring_targets_known',
		help: 'Targets with a valid announcement, as this daemon sees them.',
		registers: [this.registry],
	});

	readonly domainsDrained = new Gauge({
		name: 'rattanspring_failure_domains_drained',
		help: 'Failure domains that this daemon sends no requests to, by order of an operator.',
		registers: [this.registry],
	});

	readonly domainRegisterRevision = new Gauge({
		name: 'rattanspring_failure_domain_register_revision',
		help: 'Revision of the register of drained failure domains in force on this daemon.',
		registers: [this.registry],
	});

	readonly targetsCold = new Gauge({
		name: 'rattanspring_targets_cold',
		help: 'Targets that have said that they are cold, as this entry knows it.',
		registers: [this.registry],
	});

	readonly permits = new Counter({
		name: 'rattanspring_permits_total',
		help: 'Calls for permits for limited and cold targets (asked, refused, unanswered), and permits that were given and that ended unused.',
		labelNames: ['outcome'] as const,
		registers: [this.registry],
	});

	readonly targetsEjected = new Gauge({
		name: 'rattanspring_targets_ejected',
		help: 'Targets that this entry leaves out for the outcomes of requests, those on probation included.',
		registers: [this.registry],
	});

	readonly limitsMet = new Counter({
		name: 'rattanspring_limits_met_total',
		help: 'Times that something was closed, refused or ended as a limit of the process was met, by limit.',
		labelNames: ['limit'] as const,
		registers: [this.registry],
	});

	readonly targetCrashes = new Counter({
		name: 'rattanspring_requests_on_crashed_targets_total',
		help: 'Requests of this entry that were running on a target when it crashed.',
		registers: [this.registry],
	});

	readonly accountWork = new Counter({
		name: 'rattanspring_account_work_total',
		help: 'Work of the requests of client accounts at this entry, by what became of them: asked, admitted, refused.',
		labelNames: ['service', 'account', 'failureDomain', 'step'] as const,
		registers: [this.registry],
	});

	readonly accountWaitSeconds = new Histogram({
		name: 'rattanspring_account_wait_seconds',
		help: 'Time that admitted requests of client accounts waited for a target.',
		labelNames: ['service', 'account', 'failureDomain'] as const,
		buckets: waitBucketsSeconds,
		registers: [this.registry],
	});

	constructor(options: DaemonMetricsOptions = {}) {
		collectDefaultMetrics({register: this.registry, eventLoopMonitoringPrecision: options.eventLoopPrecisionMs ?? defaultEventLoopPrecisionMs});
	}

	/** Returns all metrics in the Prometheus text exposition format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}
}
