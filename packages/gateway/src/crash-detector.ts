/**
Distinguishes target crashes from broken connections. A broken connection counts as a crash only if the target is unreachable shortly
afterwards: connections to healthy targets also break, and identical requests would accumulate such breaks as crashes.
*/

import {setTimeout as sleep} from 'node:timers/promises';
import type {CrashedRequest} from '@rattanspring/crash-evidence';
import type {TargetLifetime} from '@rattanspring/target-table';

/** A request whose connection broke. */
export type BrokenRequest = CrashedRequest & TargetLifetime & {readonly requestId?: string};

/** After this delay a crashed target no longer listens; it takes at least some seconds to restart. */
const defaultProbeDelayMs = 250;

const connectTimeoutMs = 400;

export type CrashDetectorOptions = {
	readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
	/** Called with the requests that were running on one lifetime of a target when it crashed. */
	readonly onCrash: (target: TargetLifetime, requests: readonly BrokenRequest[]) => void;
	readonly probeDelayMs?: number;
};

/** Checks targets after a broken connection. Connections that break while a check of an address is pending share that check. */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;
	readonly #checks = new Map<string, {readonly requests: BrokenRequest[]; readonly isCrashed: Promise<boolean>}>();

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/** Reports that the connection of a request broke. Resolves, once that is known, to whether its target has crashed; `onCrash` is called before. */
	async check(request: BrokenRequest, address: string): Promise<boolean> {
		const pending = this.#checks.get(address);
		if (pending) {
			pending.requests.push(request);
			return pending.isCrashed;
		}

		const requests = [request];
		const isCrashed = this.#probe(address, requests);
		this.#checks.set(address, {requests, isCrashed});
		return isCrashed;
	}

	async #probe(address: string, requests: readonly BrokenRequest[]): Promise<boolean> {
		await sleep(this.#options.probeDelayMs ?? defaultProbeDelayMs);
		const isReached = await this.#options.isReachable(address, connectTimeoutMs);
		this.#checks.delete(address);
		if (isReached) {
			return false;
		}

		for (const {targetId, bornMs} of new Map(requests.map(request => [request.bornMs, request])).values()) {
			this.#options.onCrash({targetId, bornMs}, requests.filter(request => request.bornMs === bornMs));
		}

		return true;
	}
}
