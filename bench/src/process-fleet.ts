/**
Runs daemons and stand-ins as separate processes, for experiments in which they must not share one event loop.
*/

import {type ChildProcess, spawn} from 'node:child_process';
import {
	readFile, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import Wreck from '@hapi/wreck';
import {FailureError} from '@rattanspring/types';

const host = '127.0.0.1';
const readyTimeoutMs = 30_000;
const readyPollMs = 25;

/** Clock ticks per second in which the kernel reports processor time. */
const ticksPerSecond = 100;

const daemonProgram = fileURLToPath(import.meta.resolve('@rattanspring/daemon').replace(/index\.js$/, 'main.js'));
const standInProgram = fileURLToPath(import.meta.resolve('@rattanspring/stand-ins').replace(/index\.js$/, 'main.js'));

/** A child process that an experiment started. */
export type FleetProcess = {readonly name: string; readonly child: ChildProcess; readonly pid: number};

/** Content of a settings file; the daemon validates it. */
export type DaemonProcessSettings = Readonly<Record<string, unknown>> & {readonly vm: string};

/** Processor time and resident memory of a process. */
export type ProcessUsage = {readonly cpuMs: number; readonly residentBytes: number};

/** Starts child processes and ends all of them on `stop`. */
export class ProcessFleet {
	readonly #processes: FleetProcess[] = [];
	#folder: Promise<string> | undefined;

	/** Temporary folder for settings and state, created on first use. */
	async folder(): Promise<string> {
		this.#folder ??= mkdtemp(path.join(tmpdir(), 'rattanspring-bench-'));
		return this.#folder;
	}

	/** Starts a daemon with these settings without waiting for it; see `ready`. */
	async startDaemon(settings: DaemonProcessSettings): Promise<FleetProcess> {
		const file = path.join(await this.folder(), `${settings.vm}.json`);
		await writeFile(file, JSON.stringify(settings));
		return this.#start(settings.vm, [daemonProgram, '--settings', file]);
	}

	/** Starts a stand-in and waits until it has printed its URL. */
	async startStandIn(name: string, ...options: readonly string[]): Promise<FleetProcess> {
		const started = this.#start(name, [standInProgram, ...options]);
		await new Promise<void>(resolve => {
			started.child.stdout?.once('data', () => {
				resolve();
			});
		});
		return started;
	}

	/** Waits until the daemon with this admin port is ready. */
	async ready(adminPort: number): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs;
		while (!await isReady(adminPort)) {
			if (Date.now() > deadline) {
				throw new FailureError({type: 'daemonNotReady', message: `The daemon at ${host}:${adminPort} is not ready after ${readyTimeoutMs} ms.`});
			}

			await new Promise(resolve => {
				setTimeout(resolve, readyPollMs);
			});
		}
	}

	/** Signals a process and resolves when it has exited. */
	async end(started: FleetProcess, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
		if (started.child.exitCode !== null || started.child.signalCode !== null) {
			return;
		}

		const gone = new Promise<void>(resolve => {
			started.child.once('exit', () => {
				resolve();
			});
		});
		started.child.kill(signal);
		await gone;
	}

	/** Kills all processes and removes the folder. */
	async stop(): Promise<void> {
		await Promise.all(this.#processes.map(async started => this.end(started, 'SIGKILL')));
		if (this.#folder) {
			await rm(await this.#folder, {recursive: true, force: true});
		}
	}

	#start(name: string, args: readonly string[]): FleetProcess {
		const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
		const started = {name, child, pid: child.pid ?? 0};
		this.#processes.push(started);
		return started;
	}
}

/** Processor time that a process has used so far, and its resident memory. */
export async function usageOf(started: FleetProcess): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all(['stat', 'status'].map(async name => readFile(`/proc/${started.pid}/${name}`, 'utf8')));
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
	return {cpuMs: ticks * 1000 / ticksPerSecond, residentBytes: residentKib * 1024};
}

async function isReady(adminPort: number): Promise<boolean> {
	try {
		const answer = await Wreck.request('GET', `http://${host}:${adminPort}/readyz`, {timeout: 1000});
		await Wreck.read(answer, {});
		return answer.statusCode === 200;
	} catch {
		return false;
	}
}
