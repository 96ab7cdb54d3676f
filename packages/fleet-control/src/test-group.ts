/** Control processes of one deployment in a test, each with a disk of its own. */

import {setTimeout as sleep} from 'node:timers/promises';
import {FatalErrorHandler} from '@rattanspring/log-storage';
import {Logger, type LogLevel} from '@rattanspring/logger';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {SystemClock} from '@rattanspring/voter-group';
import {FleetControl} from './fleet-control.js';
import {TestDisk} from './test-disk.js';

/** Timeout for a group of processes to reach an expected state. */
const settleTimeoutMs = 15_000;

/** Time between the starts of the first and the last process. */
const startSpreadMs = 300;

/** Folder on the disk of each process. */
const dataFolder = '/data';

/** Maximum number of seeds in the settings. */
const seedCount = 3;

class ThrowingFatalErrorHandler extends FatalErrorHandler {
	end(): void {
		throw new Error('unexpected storage failure');
	}
}

/** Counts the lines of each event. */
class CountingLogger extends Logger {
	readonly #counts = new Map<string, number>();

	log(_level: LogLevel, event: string): void {
		this.#counts.set(event, this.linesOf(event) + 1);
	}

	linesOf(event: string): number {
		return this.#counts.get(event) ?? 0;
	}
}

export type TestGroupOptions = {
	readonly size: number;
	/** Number of VMs whose loss at the same time has to be tolerated. */
	readonly faultTolerance: number;
	readonly failureDomainCount: number;
	/** Positions of processes without a disk. */
	readonly diskless?: readonly number[];
};

export class TestGroup {
	static async create(options: TestGroupOptions): Promise<TestGroup> {
		const ports = await freePorts(options.size);
		return new TestGroup(options, ports.map(port => `127.0.0.1:${port}`));
	}

	readonly #options: TestGroupOptions;
	readonly #addresses: readonly string[];
	readonly #logger = new CountingLogger();
	readonly #running = new Map<number, FleetControl>();
	readonly #disks = new Map<number, TestDisk>();

	private constructor(options: TestGroupOptions, addresses: readonly string[]) {
		this.#options = options;
		this.#addresses = addresses;
	}

	/** Positions of all processes, running or not. */
	get positions(): number[] {
		return this.#addresses.map((_address, index) => index);
	}

	/** Number of lines that all processes have logged for an event. */
	linesOf(event: string): number {
		return this.#logger.linesOf(event);
	}

	/** Position of the process that leads; -1 while there is none. */
	get leader(): number {
		return this.positions.find(index => this.#running.get(index)?.isLeader) ?? -1;
	}

	addressOf(index: number): string {
		return this.#addresses[index];
	}

	get(index: number): FleetControl {
		return this.#running.get(index)!;
	}

	/** Starts all processes for the first time, the last one first, within the time that deployments allow. */
	async startFirst(): Promise<void> {
		const stepMs = startSpreadMs / this.#addresses.length;
		await Promise.all(this.positions.toReversed().map(async (index, position) => {
			await sleep(position * stepMs);
			await this.start(index, true);
		}));
	}

	async start(index: number, isFirstStart = false): Promise<void> {
		const {faultTolerance, failureDomainCount, diskless = []} = this.#options;
		const control = new FleetControl({
			nodeId: `n${index}`,
			failureDomain: `z${index % failureDomainCount}`,
			linkAddress: this.#addresses[index],
			...(!diskless.includes(index) && {dataFolder, fileSystem: this.#diskOf(index)}),
			seeds: () => this.#addresses.slice(0, seedCount),
			faultTolerance,
			isFirstStart,
			clock: new SystemClock(),
			logger: this.#logger,
			fatalErrorHandler: new ThrowingFatalErrorHandler(),
		});
		this.#running.set(index, control);
		await control.start();
	}

	async stop(...indices: readonly number[]): Promise<void> {
		await Promise.all(indices.map(async index => {
			const control = this.#running.get(index);
			this.#running.delete(index);
			await control?.stop();
		}));
	}

	/** Fills the disk of a process, or gives it room again. */
	setDiskFull(index: number, isFull: boolean): void {
		this.#diskOf(index).isFull = isFull;
	}

	/** Empties the disks of stopped processes. */
	wipe(...indices: readonly number[]): void {
		for (const index of indices) {
			this.#disks.delete(index);
		}
	}

	/** Offers a document to a process until it is acknowledged. */
	async replace(index: number, version: number): Promise<void> {
		await this.eventually(async () => await this.get(index).replace({version, text: `document ${version}`}) !== undefined);
	}

	/** Version of the document that a confirmed read at a process returns. */
	async confirmedVersion(index: number): Promise<number | undefined> {
		let version: number | undefined;
		await this.eventually(async () => {
			const {isConfirmed, document} = await this.get(index).read();
			version = document?.version;
			return isConfirmed;
		});
		return version;
	}

	async eventually(condition: () => Promise<boolean>): Promise<void> {
		await waitUntil(condition, {timeoutMs: settleTimeoutMs, pollMs: 30});
	}

	async close(): Promise<void> {
		for (const disk of this.#disks.values()) {
			disk.isFull = false;
		}

		await this.stop(...this.#running.keys());
	}

	#diskOf(index: number): TestDisk {
		const disk = this.#disks.get(index) ?? new TestDisk();
		this.#disks.set(index, disk);
		return disk;
	}
}
