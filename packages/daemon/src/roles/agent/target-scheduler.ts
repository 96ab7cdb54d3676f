/**
The scheduling state of one target: its work queue and the load to announce.
*/

import type {TargetSettings} from '@rattanspring/settings';
import type {Clock, TargetLoad} from '@rattanspring/types';
import {EngineLoad} from './engine-load.js';
import {WorkQueue} from './work-queue.js';

export type TargetSchedulerOptions = {readonly target: TargetSettings; readonly clock: Clock};

/** Work queue and load of one target. */
export class TargetScheduler {
	readonly queue: WorkQueue;
	readonly #engineLoad: EngineLoad;

	constructor({target, clock}: TargetSchedulerOptions) {
		this.queue = new WorkQueue({capacityRequests: target.capacityRequests, clock});
		this.#engineLoad = new EngineLoad(target);
	}

	/** Whether the target's address refuses connections; the target is then not announced and its lease expires. */
	get isUnreachable(): boolean {
		return this.#engineLoad.refusesConnections;
	}

	/** Load to announce: the agent's own counts, which do not lag, and the speed that the engine reports. */
	get load(): TargetLoad {
		const {queuedTokens, prefillTokens, requests, limit, tokensPerSecond} = this.queue.load;
		const {report} = this.#engineLoad;
		return {
			queuedTokens,
			prefillTokens,
			inProgressRequests: requests,
			capacityRequests: limit,
			tokensPerSecond: report?.tokensPerSecond ?? tokensPerSecond,
			stepTimeSkew: 1,
		};
	}

	/** Requests a new load report from the engine. */
	async refreshLoad(): Promise<void> {
		await this.#engineLoad.refresh();
	}
}
