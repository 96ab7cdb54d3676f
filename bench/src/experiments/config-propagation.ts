/**
Time from the acceptance of a change until it is in force on every daemon.

One voter, relays and daemons use the real spread protocol over loopback within one process. They share one thread, so
the figures are upper bounds for separate machines. Half of the changes arrive at a steady rate far above the two-year
one, half in bursts; after every tenth change, a random daemon restarts without state.
*/

import {build} from 'hdr-histogram-js';
import {
	ConfigurationFollower, ConfigurationSpread, ControlRole, freePorts, GrpcListener, InForceConfiguration, MemoryFleetLog, SystemClock, waitUntil,
} from '@rattanspring/daemon';
import {WinstonLogger} from '@rattanspring/logger';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';

const host = '127.0.0.1';
const failureDomain = 'bench';
const changesTotal = 1000;
const steadyIntervalMs = 10;
const burstSize = 50;
const burstPauseMs = 500;
const relayCount = 4;
const sizes = [50, 100, 200];

/** Number of daemons at the two-year size. */
const twoYearDaemons = 3400;

/** Number of daemons in a current fleet: 11 entries and 19 targets. */
const todayDaemons = 30;

/** Number of changes per daemon restart. */
const changesPerRestart = 10;

/** Measurements over all daemons. */
class Observation {
	readonly acceptedAtMs: number[] = [0];
	readonly latency = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	reverted = 0;
	restarts = 0;
}

/** A configuration that records the time at which each revision comes into force. */
class ObservedConfiguration extends InForceConfiguration {
	readonly #observation: Observation;
	readonly #clock: SystemClock;
	#observedRevision: number;
	#highestRevision: number;

	constructor(observation: Observation, clock: SystemClock, start: {readonly revision: number; readonly heldBefore: number}) {
		super({clock, failureDomain});
		this.#observation = observation;
		this.#clock = clock;
		this.#observedRevision = start.revision;
		this.#highestRevision = start.heldBefore;
	}

	override applied(): void {
		super.applied();
		const {revision} = this.replica;
		this.#checkRevision();
		const nowMs = this.#clock.monotonicMs();
		for (let next = this.#observedRevision + 1; next <= revision; next++) {
			this.#observation.latency.recordValue(Math.round((nowMs - this.#observation.acceptedAtMs[next]) * 1000));
		}

		this.#observedRevision = Math.max(this.#observedRevision, revision);
	}

	override learn(knowledge: Parameters<InForceConfiguration['learn']>[0]): void {
		super.learn(knowledge);
		this.#checkRevision();
	}

	/** Counts a reversion if a confirmed revision is older than one held before, including before a restart of the daemon. */
	#checkRevision(): void {
		if (this.isConfirmed && this.replica.revision < this.#highestRevision) {
			this.#observation.reverted++;
		}

		this.#highestRevision = Math.max(this.#highestRevision, this.replica.revision);
	}
}

type BenchDaemon = {inForce: ObservedConfiguration; follower: ConfigurationFollower};

/** One voter with relays and daemons, in one process. */
class Fleet {
	readonly observation = new Observation();
	readonly #clock = new SystemClock();
	readonly #log = new MemoryFleetLog();
	readonly #daemons: BenchDaemon[] = [];
	readonly #relays: Array<{spread: ConfigurationSpread; listener: GrpcListener}> = [];
	readonly #random;
	#relayPorts: readonly number[] = [];
	#control: ControlRole | undefined;

	constructor(seed: number) {
		this.#random = xoroshiro128plus(seed);
	}

	async start(daemonCount: number): Promise<void> {
		const [controlPort, ...relayPorts] = await freePorts(1 + relayCount);
		this.#relayPorts = relayPorts;
		this.#control = new ControlRole({
			settings: {
				listen: {host, port: controlPort}, voterId: 'v', start: 'newGroup', initialVoters: [],
			}, log: this.#log, clock: this.#clock, logger: new WinstonLogger({level: 'error'}),
		});
		await this.#control.start();
		for (const port of relayPorts) {
			const listener = new GrpcListener({listen: {host, port}});
			const spread = new ConfigurationSpread({
				daemonId: `relay-${port}`, failureDomain, controlAddresses: [`${host}:${controlPort}`], clock: this.#clock,
			});
			spread.addTo(listener);
			await listener.start();
			spread.start();
			this.#relays.push({spread, listener});
		}

		for (let index = 0; index < daemonCount; index++) {
			this.#daemons.push(await this.#startDaemon(index, {revision: 0, heldBefore: 0}));
		}

		await this.#waitForRevision(0);
	}

	async change(): Promise<void> {
		const revision = this.observation.acceptedAtMs.length - 1;
		this.observation.acceptedAtMs.push(this.#clock.monotonicMs());
		await this.#log.submit({
			kind: 'change', change: {
				changeId: `c${revision}`, baseRevision: revision, operator: 'bench', reason: 'bench', edits: [{kind: 'setDefault', key: 'routing.sampleSize', value: 1 + (revision % 64)}],
			},
		});
		if (revision % changesPerRestart === 0) {
			await this.#restartOne();
		}
	}

	async settle(): Promise<void> {
		await this.#waitForRevision(this.observation.acceptedAtMs.length - 1);
	}

	async stop(): Promise<void> {
		await Promise.all(this.#daemons.map(async daemon => daemon.follower.stop()));
		for (const {spread, listener} of this.#relays) {
			spread.stop();
			await listener.stop(100);
		}

		await this.#control?.stop();
	}

	async #waitForRevision(revision: number): Promise<void> {
		await waitUntil(() => this.#daemons.every(daemon => daemon.inForce.isConfirmed && daemon.inForce.replica.revision === revision));
	}

	/** Starts a daemon; only revisions accepted after its start count towards the latency. */
	async #startDaemon(index: number, start: {readonly revision: number; readonly heldBefore: number}): Promise<BenchDaemon> {
		const inForce = new ObservedConfiguration(this.observation, this.#clock, start);
		const daemonId = `daemon-${index}`;
		const ports = this.#relayPorts.map((_port, offset) => this.#relayPorts[(index + offset) % relayCount]);
		const follower = new ConfigurationFollower({
			follower: {
				daemonId, vm: daemonId, failureDomain, roles: ['entry'],
			}, relayAddresses: ports.map(port => `${host}:${port}`), inForce, clock: this.#clock,
		});
		await follower.start();
		return {inForce, follower};
	}

	async #restartOne(): Promise<void> {
		const index = uniformInt(this.#random, 0, this.#daemons.length - 1);
		this.observation.restarts++;
		await this.#daemons[index].follower.stop();
		const heldBefore = this.#daemons[index].inForce.replica.revision;
		this.#daemons[index] = await this.#startDaemon(index, {revision: this.observation.acceptedAtMs.length - 1, heldBefore});
	}
}

async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

type Row = {daemons: number; worstMs: number; p99Ms: number; medianMs: number; reverted: number; restarts: number};

async function measure(daemons: number, seed: number): Promise<Row> {
	const fleet = new Fleet(seed);
	await fleet.start(daemons);
	for (let index = 0; index < changesTotal / 2; index++) {
		await fleet.change();
		await pause(steadyIntervalMs);
	}

	await fleet.settle();
	for (let index = 0; index < changesTotal / 2; index++) {
		await fleet.change();
		if (index % burstSize === burstSize - 1) {
			await pause(burstPauseMs);
		}
	}

	await fleet.settle();
	await fleet.stop();
	const {latency, reverted, restarts} = fleet.observation;
	const toMs = (percentile: number): number => latency.getValueAtPercentile(percentile) / 1000;
	return {
		daemons, worstMs: latency.maxValue / 1000, p99Ms: toMs(99), medianMs: toMs(50), reverted, restarts,
	};
}

/** Slope of the least-squares line of the worst time over the number of daemons. */
function slopeOf(rows: readonly Row[]): number {
	const meanX = rows.reduce((sum, row) => sum + row.daemons, 0) / rows.length;
	const meanY = rows.reduce((sum, row) => sum + row.worstMs, 0) / rows.length;
	const covariance = rows.reduce((sum, row) => sum + ((row.daemons - meanX) * (row.worstMs - meanY)), 0);
	const variance = rows.reduce((sum, row) => sum + ((row.daemons - meanX) ** 2), 0);
	return covariance / variance;
}

class ConfigPropagation extends Experiment {
	get summary(): string {
		return 'time from an accepted change until it is in force on every daemon';
	}

	async run(options: ExperimentOptions): Promise<ExperimentResult> {
		const today = await measure(todayDaemons, options.seed);
		options.log(JSON.stringify(today));
		const rows: Row[] = [];
		for (const daemons of sizes) {
			rows.push(await measure(daemons, options.seed));
			options.log(JSON.stringify(rows.at(-1)));
		}

		const slope = Math.max(0, slopeOf(rows));
		const largest = rows.at(-1)!;
		return {
			figures: {
				worstTodayMs: today.worstMs,
				worstTwoYearMs: largest.worstMs + (slope * (twoYearDaemons - largest.daemons)),
				slopeMsPerDaemon: slope,
				reverted: [today, ...rows].reduce((sum, row) => sum + row.reverted, 0),
				changes: changesTotal,
				relays: relayCount,
				sizes: [today, ...rows],
			},
			bounds: [
				{figure: 'worstTodayMs', atMost: 3000, source: 'in force within seconds, fleet of today'},
				{figure: 'worstTwoYearMs', atMost: 15_000, source: 'in force everywhere within 15 s at the two-year size'},
				{figure: 'reverted', atMost: 0, source: 'an accepted configuration never reverts'},
			],
		};
	}
}

const experiment = new ConfigPropagation();
export default experiment;
