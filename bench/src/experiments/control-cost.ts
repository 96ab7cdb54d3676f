/**
Cost of control work per daemon: processor time, memory and bytes of an idle entry, with each daemon in a separate process.

An idle entry does only control work: it follows the configuration, probes its freshness and watches the directory.
Slopes come from pairs of runs that differ in one size.
*/

import {readFile} from 'node:fs/promises';
import {GrpcControlAccess} from '@rattanspring/control-client';
import {freePorts} from '@rattanspring/daemon';
import type {FleetConfiguration} from '@rattanspring/types';
import {
	Experiment, type ExperimentOptions, type ExperimentResult,
} from '../experiment.js';
import {ProcessFleet, usageOf, type FleetProcess} from '../process-fleet.js';

const host = '127.0.0.1';
const settleMs = 3000;
const measureMs = 12_000;
const mebibyte = 1_048_576;

/** Rate of changes at the two-year size: 11,000 a day. */
const twoYearChangesPerSecond = 11_000 / 86_400;

/** Daemons behind one relay at the two-year size: 3,400 behind 18 relays. */
const twoYearDaemonsPerRelay = 189;

/** Targets whose announcements an entry holds at the two-year size if it watches only its failure domain: 10,000 over 18 domains. */
const twoYearTargets = 556;

const maxMemoryMib = 256_000_000 / mebibyte;
const cpuSource = 'at most 2.2% of a core for control';
const memorySource = 'at most 256 MB for control';
const bytesSource = 'at most 9 KB a second for control';

/** Sizes of one run. */
type Sizes = {readonly daemons: number; readonly targets: number; readonly changesPerSecond: number};

/** Cost in one run, as the mean over all entries unless named otherwise. */
type Cost = {cpuPercent: number; worstMemoryMib: number; bytesPerSecond: number; relayCpuPercent: number; relayMemoryMib: number};

const base: Sizes = {daemons: 8, targets: 10, changesPerSecond: twoYearChangesPerSecond};
const variants = {
	daemons: {...base, daemons: 24}, targets: {...base, targets: 210}, changes: {...base, changesPerSecond: 5},
} as const;

async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/** Bytes that a process has read and written, including sockets. */
async function ioBytesOf(started: FleetProcess): Promise<number> {
	const text = await readFile(`/proc/${started.pid}/io`, 'utf8');
	return Number(/rchar: (\d+)/.exec(text)?.[1]) + Number(/wchar: (\d+)/.exec(text)?.[1]);
}

type Sample = {cpuMs: number; bytes: number; memoryMib: number};

async function sample(started: FleetProcess): Promise<Sample> {
	const [usage, bytes] = await Promise.all([usageOf(started), ioBytesOf(started)]);
	return {cpuMs: usage.cpuMs, bytes, memoryMib: usage.residentBytes / mebibyte};
}

/** Submits changes at a fixed rate until stopped. */
class ChangeSubmitter {
	readonly #control: GrpcControlAccess;
	readonly #intervalMs: number;
	#isStopped = false;
	#running: Promise<void> | undefined;

	constructor(controlAddress: string, perSecond: number) {
		this.#control = new GrpcControlAccess({addresses: [controlAddress]});
		this.#intervalMs = 1000 / perSecond;
	}

	start(): void {
		this.#running = this.#run();
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#running;
		this.#control.close();
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			const configuration = await this.#control.read<FleetConfiguration>('configuration');
			if (configuration.ok) {
				const {revision} = configuration.value;
				await this.#control.submit({
					kind: 'change', change: {
						changeId: `c${revision}`, baseRevision: revision, operator: 'bench', reason: 'bench', edits: [{kind: 'setDefault', key: 'routing.sampleSize', value: 1 + (revision % 64)}],
					},
				});
			}

			await this.#pauseUnlessStopped();
		}
	}

	async #pauseUnlessStopped(): Promise<void> {
		const endMs = Date.now() + this.#intervalMs;
		while (!this.#isStopped && Date.now() < endMs) {
			await pause(Math.min(100, endMs - Date.now()));
		}
	}
}

/** Starts a fleet of processes, measures it and stops it. */
async function measure(sizes: Sizes): Promise<Cost> {
	const fleet = new ProcessFleet();
	try {
		return await measureFleet(fleet, sizes);
	} finally {
		await fleet.stop();
	}
}

async function measureFleet(fleet: ProcessFleet, sizes: Sizes): Promise<Cost> {
	const ports = await freePorts(5 + (2 * sizes.daemons));
	const nextPort = (): number => ports.pop()!;
	const [control, relay] = [nextPort(), nextPort()];
	const common = {
		region: 'bench', failureDomain: 'bench-a', transport: {mode: 'plaintext'}, logLevel: 'error',
	};
	const controlAddress = `${host}:${control}`;
	const relayAddresses = [`${host}:${relay}`];
	const adminPorts: number[] = [];
	const admin = (): {listen: {host: string; port: number}} => {
		adminPorts.push(nextPort());
		return {listen: {host, port: adminPorts.at(-1)!}};
	};

	const controlAndRelay = await fleet.startDaemon({
		...common,
		vm: 'center',
		dataFolder: await fleet.folder(),
		admin: admin(),
		roles: {
			control: {
				listen: {host, port: control}, voterId: 'v', start: 'newGroup', initialVoters: [{voterId: 'v', address: controlAddress}],
			},
			relay: {listen: {host, port: relay}, controlAddresses: [controlAddress]},
		},
	});
	await fleet.startDaemon({
		...common,
		vm: 'agent',
		admin: admin(),
		roles: {
			agent: {
				listen: {host, port: nextPort()}, relayAddresses, targets: Array.from({length: sizes.targets}, (_unused, index) => ({
					targetId: `target-${index}`, baseUrl: `http://${host}:1`, kind: 'plain', services: ['orders'],
				})),
			},
		},
	});
	const entries: FleetProcess[] = [];
	for (let index = 0; index < sizes.daemons; index++) {
		const port = nextPort();
		entries.push(await fleet.startDaemon({
			...common,
			vm: `entry-${index}`,
			admin: admin(),
			roles: {
				entry: {
					listen: {host, port}, advertisedUrl: `http://${host}:${port}`, relayAddresses, controlAddresses: [controlAddress], transport: {mode: 'plaintext'},
				},
			},
		}));
	}

	await Promise.all(adminPorts.map(async port => fleet.ready(port)));
	const changes = new ChangeSubmitter(controlAddress, sizes.changesPerSecond);
	changes.start();
	await pause(settleMs);
	const processes = [controlAndRelay, ...entries];
	const before = await Promise.all(processes.map(async started => sample(started)));
	const startedMs = Date.now();
	await pause(measureMs);
	const after = await Promise.all(processes.map(async started => sample(started)));
	const passedMs = Date.now() - startedMs;
	await changes.stop();
	return costOf(before, after, passedMs);
}

function costOf(before: readonly Sample[], after: readonly Sample[], passedMs: number): Cost {
	const [controlAndRelay, ...entries] = after.map((last, index) => ({
		cpuPercent: (last.cpuMs - before[index].cpuMs) * 100 / passedMs,
		bytesPerSecond: (last.bytes - before[index].bytes) * 1000 / passedMs,
		memoryMib: last.memoryMib,
	}));
	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		cpuPercent: mean(entries.map(entry => entry.cpuPercent)),
		worstMemoryMib: Math.max(...entries.map(entry => entry.memoryMib)),
		bytesPerSecond: mean(entries.map(entry => entry.bytesPerSecond)),
		relayCpuPercent: controlAndRelay.cpuPercent,
		relayMemoryMib: controlAndRelay.memoryMib,
	};
}

class ControlCost extends Experiment {
	get summary(): string {
		return 'processor time, memory and bytes that control costs a daemon';
	}

	async run(options: ExperimentOptions): Promise<ExperimentResult> {
		const rows: Array<Sizes & Cost> = [];
		const run = async (sizes: Sizes): Promise<Cost> => {
			const cost = await measure(sizes);
			rows.push({...sizes, ...cost});
			options.log(JSON.stringify(rows.at(-1)));
			return cost;
		};

		const today = await run(base);
		const [byDaemons, byTargets, byChanges] = [await run(variants.daemons), await run(variants.targets), await run(variants.changes)];
		const slope = (figure: keyof Cost, cost: Cost, steps: number): number => (cost[figure] - today[figure]) / steps;
		const perTarget = variants.targets.targets - base.targets;
		const perDaemon = variants.daemons.daemons - base.daemons;
		const perChange = variants.changes.changesPerSecond - base.changesPerSecond;
		const atTwoYears = (figure: 'cpuPercent' | 'worstMemoryMib' | 'bytesPerSecond'): number => today[figure]
			+ (Math.max(0, slope(figure, byTargets, perTarget)) * (twoYearTargets - base.targets))
			+ (Math.max(0, slope(figure, byDaemons, perDaemon)) * (twoYearDaemonsPerRelay - base.daemons));
		return {
			figures: {
				cpuPercent: today.cpuPercent,
				memoryMib: today.worstMemoryMib,
				bytesPerSecond: today.bytesPerSecond,
				twoYearCpuPercent: atTwoYears('cpuPercent'),
				twoYearMemoryMib: atTwoYears('worstMemoryMib'),
				twoYearBytesPerSecond: atTwoYears('bytesPerSecond'),
				cpuPercentPerTarget: slope('cpuPercent', byTargets, perTarget),
				bytesPerSecondPerTarget: slope('bytesPerSecond', byTargets, perTarget),
				cpuPercentPerDaemon: slope('cpuPercent', byDaemons, perDaemon),
				bytesPerSecondPerDaemon: slope('bytesPerSecond', byDaemons, perDaemon),
				cpuPercentPerChangeRate: slope('cpuPercent', byChanges, perChange),
				bytesPerSecondPerChangeRate: slope('bytesPerSecond', byChanges, perChange),
				relayCpuPercentPerDaemon: slope('relayCpuPercent', byDaemons, perDaemon),
				runs: rows,
			},
			bounds: [
				{figure: 'cpuPercent', atMost: 2.2, source: cpuSource},
				{figure: 'twoYearCpuPercent', atMost: 2.2, source: cpuSource},
				{figure: 'memoryMib', atMost: maxMemoryMib, source: memorySource},
				{figure: 'twoYearMemoryMib', atMost: maxMemoryMib, source: memorySource},
				{figure: 'bytesPerSecond', atMost: 9000, source: bytesSource},
				{figure: 'twoYearBytesPerSecond', atMost: 9000, source: bytesSource},
			],
		};
	}
}

const experiment = new ControlCost();
export default experiment;
