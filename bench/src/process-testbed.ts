/**
A testbed of daemons in separate processes: one with the control and relay roles, one agent per target, and entries. Each
can be killed, stopped gracefully and restarted with the same addresses.
*/

import {createHash} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {freePorts} from '@rattanspring/daemon';
import {
	ProcessFleet, type DaemonProcessSettings, type FleetProcess,
} from './process-fleet.js';

const host = '127.0.0.1';

/** Secret of the caller key in the initial configuration of every testbed. */
export const callerSecret = 'bench-caller-key';

/** A target of a testbed. */
export type TestbedTarget = {readonly targetId: string; readonly baseUrl: string; readonly kind: 'model' | 'plain'; readonly services: readonly string[]; readonly capacityRequests: number};

/** Options of a testbed. */
export type ProcessTestbedOptions = {readonly targets: readonly TestbedTarget[]; readonly entries: number};

/** One daemon of a testbed; `process` is replaced with each start. */
export type TestbedDaemon = {readonly settings: DaemonProcessSettings; readonly adminPort: number; process: FleetProcess};

/** The running daemons of a testbed. */
export class ProcessTestbed {
	/** Starts a testbed and waits until every daemon is ready. */
	static async start(options: ProcessTestbedOptions): Promise<ProcessTestbed> {
		const testbed = new ProcessTestbed();
		await testbed.#start(options);
		return testbed;
	}

	readonly agents: TestbedDaemon[] = [];
	readonly entries: TestbedDaemon[] = [];
	readonly entryUrls: string[] = [];
	readonly #fleet = new ProcessFleet();
	#control: TestbedDaemon | undefined;

	/** The daemon with the control and relay roles. */
	get control(): TestbedDaemon {
		return this.#control!;
	}

	/** Kills a daemon with SIGKILL, as if its VM crashed, and restarts it. */
	async crash(daemon: TestbedDaemon): Promise<void> {
		await this.#fleet.end(daemon.process, 'SIGKILL');
		await this.restart(daemon);
	}

	/** Stops a daemon gracefully with SIGTERM and resolves when its process has exited. */
	async drain(daemon: TestbedDaemon): Promise<void> {
		await this.#fleet.end(daemon.process, 'SIGTERM');
	}

	/** Restarts a daemon and waits until it is ready. */
	async restart(daemon: TestbedDaemon): Promise<void> {
		daemon.process = await this.#fleet.startDaemon(daemon.settings);
		await this.#fleet.ready(daemon.adminPort);
	}

	/** Kills all processes. */
	async stop(): Promise<void> {
		await this.#fleet.stop();
	}

	async #start(options: ProcessTestbedOptions): Promise<void> {
		const ports = await freePorts(3 + (2 * (options.targets.length + options.entries)));
		const nextPort = (): number => ports.pop()!;
		const common = {
			region: 'bench', failureDomain: 'bench-a', transport: {mode: 'plaintext'}, logLevel: 'error',
		};
		const [controlPort, relayPort] = [nextPort(), nextPort()];
		const controlAddress = `${host}:${controlPort}`;
		const relayAddresses = [`${host}:${relayPort}`];
		const initialConfigurationFile = path.join(await this.#fleet.folder(), 'initial.json');
		await writeFile(initialConfigurationFile, JSON.stringify(initialChange()));
		this.#control = await this.#launch(nextPort(), {
			...common,
			vm: 'control-1',
			dataFolder: path.join(await this.#fleet.folder(), 'control-1'),
			roles: {
				control: {
					listen: {host, port: controlPort}, voterId: 'voter-1', initialVoters: [{voterId: 'voter-1', address: controlAddress}], initialConfigurationFile,
				},
				relay: {listen: {host, port: relayPort}, controlAddresses: [controlAddress]},
			},
		});
		for (const target of options.targets) {
			const agent = {listen: {host, port: nextPort()}, relayAddresses, targets: [target]};
			this.agents.push(await this.#launch(nextPort(), {...common, vm: `vm-${target.targetId}`, roles: {agent}}));
		}

		for (let index = 1; index <= options.entries; index++) {
			const port = nextPort();
			const advertisedUrl = `http://${host}:${port}`;
			const entry = {
				listen: {host, port}, advertisedUrl, relayAddresses, controlAddresses: [controlAddress], transport: {mode: 'plaintext'},
			};
			this.entryUrls.push(advertisedUrl);
			this.entries.push(await this.#launch(nextPort(), {...common, vm: `entry-${index}`, roles: {entry}}));
		}
	}

	async #launch(adminPort: number, content: DaemonProcessSettings): Promise<TestbedDaemon> {
		const settings = {...content, admin: {listen: {host, port: adminPort}}};
		const process = await this.#fleet.startDaemon(settings);
		await this.#fleet.ready(adminPort);
		return {settings, adminPort, process};
	}
}

function initialChange(): unknown {
	const secretDigest = createHash('sha256').update(callerSecret).digest('hex');
	return {
		changeId: 'initial',
		baseRevision: 0,
		operator: 'bench',
		reason: 'bench',
		edits: [
			{kind: 'setDefault', key: 'routes.idempotent', value: ['POST /v1/chat/completions', 'GET /orders/*']},
			{kind: 'setDefault', key: 'account.concurrentRequests', value: 2000},
			{kind: 'addCallerKey', callerKey: {keyId: 'bench', secretDigest, clientAccount: 'bench'}},
		],
	};
}
