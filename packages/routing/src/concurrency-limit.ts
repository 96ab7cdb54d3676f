/**
Adaptive limit on the concurrent requests of a target, derived from measured latency (a gradient limit): the limit shrinks while
the latency is well above the baseline, that is the latency without queueing, and grows by a small step otherwise. The baseline is the
latency of requests that started while at most half of the limit was in use. If there are none for long, a probe phase restricts
concurrency to half of the limit to measure it.
*/

export type ConcurrencyLimitOptions = {
	readonly initial: number;
	readonly minimum: number;
	readonly maximum: number;
	/** Ratio of latency to baseline that still counts as free of queueing; below 2. */
	readonly tolerance: number;
	/** Weight of the newly computed limit in the smoothed limit, per sample. */
	readonly smoothing: number;
	/** Number of samples between two probes of the baseline. */
	readonly samplesBetweenProbes: number;
};

/** Default options, for a model engine. */
export const defaultConcurrencyLimitOptions: ConcurrencyLimitOptions = {
	initial: 16, minimum: 2, maximum: 1024, tolerance: 1.2, smoothing: 0.1, samplesBetweenProbes: 500,
};

/** The latency of one finished request. */
export type LatencySample = {
	/** Latency, divided by the amount of work if that differs between requests. */
	readonly latencyMs: number;
	/** Requests in progress when this one started. */
	readonly inProgress: number;
};

/** Weight of a new sample in the moving averages of the recent latency and the baseline. */
const sampleWeight = 0.1;

/** Minimum number of samples for a measurement of the baseline. */
const minProbeSamples = 10;

/** Share of the limit that is used during a probe. */
const probeShare = 0.5;

/** Lower bound of the factor by which one sample reduces the limit. */
const minGradient = 0.5;

/** Ratio to the limit at the last probe at or below which a limit counts as unsettled and is probed again sooner. */
const settledShare = 0.9;

/** Share of `samplesBetweenProbes` after which the next probe starts while the limit is not settled. */
const unsettledSampleShare = 0.2;

/** A probe ends after this multiple of its required samples, even if not enough of them measured the baseline. */
const probeTimeoutFactor = 4;

type Probe = {samplesToSkip: number; samplesLeft: number; samplesUntilTimeout: number; sumMs: number; samples: number};

/** Concurrency limit that adapts to the measured latency. */
export class ConcurrencyLimit {
	readonly #options: ConcurrencyLimitOptions;
	#limit: number;
	#baselineMs: number | undefined;
	#recentMs: number | undefined;
	#samplesUntilProbe: number;
	#limitAtProbe = 0;
	#probe: Probe | undefined;

	constructor(options: Partial<ConcurrencyLimitOptions> = {}) {
		this.#options = {...defaultConcurrencyLimitOptions, ...options};
		this.#limit = this.#options.initial;
		this.#samplesUntilProbe = this.#unsettledSamples;
	}

	/** Number of requests that may be in progress at once; lower during a probe. */
	get limit(): number {
		const limit = this.#probe ? this.#limit * probeShare : this.#limit;
		return Math.floor(Math.max(this.#options.minimum, limit));
	}

	/** Number of requests that may be in progress at once outside a probe, for work that must not wait for a probe. */
	get fullLimit(): number {
		return Math.floor(Math.max(this.#options.minimum, this.#limit));
	}

	/** Moving average of the latency; undefined before the first sample. */
	get recentMs(): number | undefined {
		return this.#recentMs;
	}

	/** Records a measured latency. */
	record(sample: LatencySample): void {
		const latencyMs = Math.max(sample.latencyMs, Number.EPSILON);
		this.#recentMs = ((this.#recentMs ?? latencyMs) * (1 - sampleWeight)) + (latencyMs * sampleWeight);
		if (this.#probe) {
			this.#continueProbe(this.#probe, sample.inProgress, latencyMs);
			return;
		}

		if (sample.inProgress <= this.#limit * probeShare) {
			this.#updateBaseline(latencyMs);
		}

		this.#adjust(sample.inProgress, this.#recentMs);
		this.#samplesUntilProbe--;
		if (this.#samplesUntilProbe <= 0) {
			this.#startProbe();
		}
	}

	get #unsettledSamples(): number {
		return this.#options.samplesBetweenProbes * unsettledSampleShare;
	}

	/** Updates the baseline with the latency of a request that started while at most half of the limit was in use, and delays the next probe. */
	#updateBaseline(latencyMs: number): void {
		const {samplesBetweenProbes} = this.#options;
		this.#baselineMs = ((this.#baselineMs ?? latencyMs) * (1 - sampleWeight)) + (latencyMs * sampleWeight);
		this.#samplesUntilProbe = Math.min(samplesBetweenProbes, this.#samplesUntilProbe + (samplesBetweenProbes / minProbeSamples));
	}

	#adjust(inProgress: number, recentMs: number): void {
		if (this.#baselineMs === undefined) {
			return;
		}

		const {tolerance, smoothing, minimum, maximum} = this.#options;
		const gradient = Math.max(minGradient, Math.min(1, tolerance * this.#baselineMs / recentMs));
		if (gradient === 1 && inProgress < Math.floor(this.#limit)) {
			// A lower concurrency without queueing does not show whether the limit would cause queueing.
			return;
		}

		const growth = Math.max(1, Math.sqrt(this.#limit) / 4);
		const next = (this.#limit * gradient) + growth;
		const smoothed = (this.#limit * (1 - smoothing)) + (next * smoothing);
		this.#limit = Math.max(minimum, Math.min(maximum, smoothed));
	}

	#startProbe(): void {
		// The latency of requests that started before the probe includes queueing.
		const samplesToSkip = Math.ceil(this.#limit);
		const samplesLeft = Math.max(minProbeSamples, Math.ceil(this.#limit * probeShare));
		this.#probe = {
			samplesToSkip, samplesLeft, samplesUntilTimeout: samplesLeft * probeTimeoutFactor, sumMs: 0, samples: 0,
		};
	}

	/** Only requests that started within the probe's concurrency measure the baseline; others may have been started outside the probe's limit. */
	#continueProbe(probe: Probe, inProgress: number, latencyMs: number): void {
		if (probe.samplesToSkip > 0) {
			probe.samplesToSkip--;
			return;
		}

		probe.samplesUntilTimeout--;
		if (inProgress <= Math.max(this.#options.minimum, this.#limit * probeShare)) {
			probe.sumMs += latencyMs;
			probe.samples++;
			probe.samplesLeft--;
		}

		if (probe.samplesLeft <= 0 || probe.samplesUntilTimeout <= 0) {
			this.#endProbe(probe);
		}
	}

	#endProbe(probe: Probe): void {
		if (probe.samples > 0) {
			this.#baselineMs = probe.sumMs / probe.samples;
			this.#recentMs = this.#baselineMs;
		}

		const isSettled = this.#limit > this.#limitAtProbe * settledShare;
		this.#samplesUntilProbe = isSettled ? this.#options.samplesBetweenProbes : this.#unsettledSamples;
		this.#limitAtProbe = this.#limit;
		this.#probe = undefined;
	}
}
