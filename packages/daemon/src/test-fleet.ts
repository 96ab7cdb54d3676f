/** Starts a small fleet in one process, for tests and benchmarks. */

import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {parseSettings} from '@rattanspring/settings';
import {FailureError, type ConfigurationEdit} from '@rattanspring/types';
import {freePorts, waitUntil} from '@rattanspring/test-kit';
import {Daemon} from './daemon.js';

const host = '127.0.0.1';

/** Secret of the caller key that is configured in every test fleet. */
export const testCallerSecret = 'test-caller-key';

export {freePorts, waitUntil} from '@rattanspring/test-kit';

/** A target for a test fleet. */
export type TestTarget = {
	readonly targetId: string; readonly baseUrl: string; readonly kind: 'model' | 'plain'; readonly services: readonly string[]; readonly capacityRequests?: number;
};

/** Options of a test fleet. */
export type TestFleetOptions = {
	readonly targets: readonly TestTarget[];
	/** Number of daemons with the entry role. */
	readonly entries?: number;
	readonly edits?: readonly ConfigurationEdit[];
	/** Returns the transport settings between processes for a VM; plaintext by default. */
	readonly transportOf?: (vm: string) => unknown;
	/** Transport settings for callers; plaintext by default. */
	readonly callerTransport?: {readonly mode: 'tls'; readonly certificateFile: string; readonly privateKeyFile: string};
};

/** A running test fleet: one daemon with control and relay, one agent per target, and the entries. */
export type TestFleet = {
	readonly entryUrls: readonly string[];
	readonly controlAddress: string;
	readonly relayAddress: string;
	readonly control: Daemon;
	readonly agents: readonly Daemon[];
	readonly entries: readonly Daemon[];
	stop(): Promise<void>;
};

/** Starts a daemon from the parsed content of a settings file. */
export async function startDaemon(content: unknown): Promise<Daemon> {
	const settings = parseSettings('test', JSON.stringify(content));
	if (!settings.ok) {
		throw new FailureError(settings.failure[0]);
	}

	return Daemon.start(settings.value);
}

/** Starts a fleet and waits until every role is ready. */
export async function startTestFleet(options: TestFleetOptions): Promise<TestFleet> {
	const entryCount = options.entries ?? 1;
	const ports = await freePorts(3 + (2 * options.targets.length) + (2 * entryCount));
	const nextPort = (): number => ports.pop()!;
	const folder = await mkdtemp(path.join(tmpdir(), 'rattanspring-test-'));
	const initialConfigurationFile = path.join(folder, 'initial.json');
	await writeFile(initialConfigurationFile, JSON.stringify(initialChange(options.edits ?? [])));
	const [controlPort, relayPort] = [nextPort(), nextPort()];
	const controlAddress = `${host}:${controlPort}`;
	const relayAddress = `${host}:${relayPort}`;
	const common = {
		region: 'test', failureDomain: 'test-a', logLevel: 'error',
	};
	const transportOf = options.transportOf ?? (() => ({mode: 'plaintext'}));
	const control = await startDaemon({
		...common,
		vm: 'control-1',
		transport: transportOf('control-1'),
		dataFolder: folder,
		admin: {listen: {host, port: nextPort()}},
		roles: {
			control: {
				listen: {host, port: controlPort}, voterId: 'voter-1', initialVoters: [{voterId: 'voter-1', address: controlAddress}], initialConfigurationFile,
			},
			relay: {listen: {host, port: relayPort}, controlAddresses: [controlAddress]},
		},
	});
	const agents: Daemon[] = [];
	for (const target of options.targets) {
		agents.push(await startDaemon({
			...common,
			vm: `vm-${target.targetId}`,
			transport: transportOf(`vm-${target.targetId}`),
			admin: {listen: {host, port: nextPort()}},
			roles: {
				agent: {
					listen: {host, port: nextPort()}, relayAddresses: [relayAddress], targets: [target], announceIntervalMs: 100,
				},
			},
		}));
	}

	const entries: Daemon[] = [];
	const entryUrls: string[] = [];
	for (let index = 1; index <= entryCount; index++) {
		const entryPort = nextPort();
		const entryUrl = `${options.callerTransport ? 'https' : 'http'}://${host}:${entryPort}`;
		entryUrls.push(entryUrl);
		entries.push(await startDaemon({
			...common,
			vm: `entry-${index}`,
			transport: transportOf(`entry-${index}`),
			admin: {listen: {host, port: nextPort()}},
			roles: {
				entry: {
					listen: {host, port: entryPort}, advertisedUrl: entryUrl, relayAddresses: [relayAddress], controlAddresses: [controlAddress], transport: options.callerTransport ?? {mode: 'plaintext'},
				},
			},
		}));
	}

	await waitUntil(() => [control, ...agents, ...entries].every(daemon => daemon.isReady));
	const stop = async (): Promise<void> => {
		await Promise.all(entries.map(async daemon => daemon.stop()));
		await Promise.all(agents.map(async daemon => daemon.stop()));
		await control.stop();
		await rm(folder, {recursive: true, force: true});
	};

	return {
		entryUrls, controlAddress, relayAddress, control, agents, entries, stop,
	};
}

function initialChange(edits: readonly ConfigurationEdit[]): unknown {
	const secretDigest = createHash('sha256').update(testCallerSecret).digest('hex');
	return {
		changeId: 'initial',
		baseRevision: 0,
		operator: 'test',
		reason: 'initial configuration',
		edits: [
			{kind: 'setDefault', key: 'routes.idempotent', value: ['POST /v1/chat/completions', 'GET /orders/*']},
			{kind: 'addCallerKey', callerKey: {keyId: 'test', secretDigest, clientAccount: 'test-account'}},
			...edits,
		],
	};
}
