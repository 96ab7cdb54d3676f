/**
Starts the engines of an experiment, either on their own for the baselines or behind a fleet.
*/

import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {startTestFleet, type TestFleet, type TestFleetOptions} from '@rattanspring/daemon';
import {EngineServer, type EngineServerOptions} from '@rattanspring/stand-ins';
import type {ConfigurationEdit} from '@rattanspring/types';
import {
	FleetCaller, LeastOutstandingCaller, RoundRobinCaller, type Caller,
} from './caller.js';

/** The measured system: the fleet, or a baseline whose client calls the engines directly. */
export type System = 'fleet' | 'roundRobin' | 'leastOutstanding';

/** All systems, the baselines last. */
export const systems: readonly System[] = ['fleet', 'roundRobin', 'leastOutstanding'];

/** Wait after the start, so that announcements and load reports arrive before the first request. */
const settleMs = 1500;

/** Options of `startSystem`. */
export type BenchSystemOptions = {
	readonly engines: ReadonlyArray<Partial<EngineServerOptions>>;
	/** `capacityRequests` in the settings of each target. */
	readonly capacityRequests: number;
	readonly accounts: readonly string[];
	readonly entries: number;
	readonly edits?: readonly ConfigurationEdit[];
};

/** A running system. */
export type BenchSystem = {readonly engines: readonly EngineServer[]; readonly caller: Caller; readonly fleet?: TestFleet; stop(): Promise<void>};

/** Secret of the caller key of an account. */
export function secretOf(clientAccount: string): string {
	return `secret-of-${clientAccount}`;
}

/** Starts the engines, and the fleet in front of them unless a baseline is measured. */
export async function startSystem(system: System, options: BenchSystemOptions): Promise<BenchSystem> {
	const engines = options.engines.map(engine => new EngineServer({host: '127.0.0.1', port: 0, ...engine}));
	await Promise.all(engines.map(async engine => engine.start()));
	const urls = engines.map(engine => engine.url);
	const fleet = system === 'fleet' ? await startTestFleet(fleetOptions(urls, options)) : undefined;
	const caller = fleet ? new FleetCaller(fleet.entryUrls, secretOf) : baselineCaller(system, urls);
	await sleep(settleMs);
	const stop = async (): Promise<void> => {
		caller.close();
		await fleet?.stop();
		await Promise.all(engines.map(async engine => engine.stop()));
	};

	return {
		engines, caller, fleet, stop,
	};
}

function baselineCaller(system: System, urls: readonly string[]): Caller {
	return system === 'roundRobin' ? new RoundRobinCaller(urls) : new LeastOutstandingCaller(urls);
}

function fleetOptions(urls: readonly string[], options: BenchSystemOptions): TestFleetOptions {
	const {capacityRequests, accounts, entries, edits} = options;
	return {
		targets: urls.map((baseUrl, index) => ({
			targetId: `engine-${index}`, baseUrl, kind: 'model', services: ['draft-model'], capacityRequests,
		})),
		entries,
		edits: [...accounts.map(account => keyEdit(account)), ...edits ?? []],
	};
}

function keyEdit(clientAccount: string): ConfigurationEdit {
	const secretDigest = createHash('sha256').update(secretOf(clientAccount)).digest('hex');
	return {kind: 'addCallerKey', callerKey: {keyId: `key-${clientAccount}`, secretDigest, clientAccount}};
}
