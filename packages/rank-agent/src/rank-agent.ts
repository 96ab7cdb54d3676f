/** One agent: measures the load of the target on its VM, where that is free and fresh, and tells control. */

import {ControlLinks, type NodeCard} from '@rattanspring/fleet-link';
import type {Logger} from '@rattanspring/logger';
import type {TargetLoad} from '@rattanspring/target-table';
import type {Clock} from '@rattanspring/types';
import type {EngineDoor, EngineState} from './engine-door.js';

/** Time between measurements. */
const measureIntervalMs = 120;

/** Unchanged figures are told again after this time. */
const repeatAfterMs = 600;

/** Options of an agent. */
export type RankAgentOptions = {
	readonly nodeId: string;
	readonly failureDomain: string;
	/** Where other agents reach this one. */
	readonly linkAddress: string;
	/** The target on this VM. */
	readonly targetAddress: string;
	readonly seeds: () => readonly string[];
	readonly door: EngineDoor;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** One agent. */
export class RankAgent {
	readonly #options: RankAgentOptions;
	readonly #links: ControlLinks;
	#timer: NodeJS.Timeout | undefined;
	#isMeasuring = false;
	#isReachable = true;
	#told: TargetLoad | undefined;
	#toldAtMs = Number.NEGATIVE_INFINITY;
	#isLeaving = false;

	constructor(options: RankAgentOptions) {
		this.#options = options;
		this.#links = new ControlLinks({
			nowMs: () => options.clock.monotonicMs(),
			seeds: options.seeds,
			card: () => this.#card(),
			onMessage() {
				// Nothing that control tells concerns the load.
			},
			onState(linkAddress, isUp) {
				options.logger.log(isUp ? 'info' : 'warn', isUp ? 'controlReached' : 'controlLost', {linkAddress});
			},
		});
	}

	/** Starts to measure. */
	start(): void {
		this.#timer = setInterval(() => {
			void this.#measure();
		}, measureIntervalMs);
	}

	/** Tells control that this agent is about to stop. */
	leave(): void {
		this.#isLeaving = true;
		this.#links.sayHello();
	}

	/** Stops. */
	close(): void {
		clearInterval(this.#timer);
		this.#links.close();
		this.#options.door.close();
	}

	async #measure(): Promise<void> {
		if (this.#isMeasuring) {
			return;
		}

		this.#isMeasuring = true;
		const state = await this.#options.door.state();
		this.#isMeasuring = false;
		if ((state !== undefined) !== this.#isReachable) {
			this.#isReachable = state !== undefined;
			this.#options.logger.log(this.#isReachable ? 'info' : 'warn', this.#isReachable ? 'engineReached' : 'engineLost', {});
		}

		if (state) {
			this.#tell(state);
		}
	}

	#tell(state: EngineState): void {
		const load = loadOf(this.#options.targetAddress, state);
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#toldAtMs < repeatAfterMs && this.#told && isSameLoad(load, this.#told)) {
			return;
		}

		const [nearest] = this.#links.upAddresses(this.#options.failureDomain);
		if (nearest !== undefined) {
			this.#links.send({type: 'load', load}, nearest);
			this.#told = load;
			this.#toldAtMs = nowMs;
		}
	}

	#card(): NodeCard {
		const {nodeId, failureDomain, linkAddress, targetAddress} = this.#options;
		return {
			nodeId, role: 'agent', failureDomain, linkAddress, targetAddress, isLeaving: this.#isLeaving,
		};
	}
}

function loadOf(address: string, {bornMs, active, queued, memoryShare, pace, rankPlace}: EngineState): TargetLoad {
	return {
		address, bornMs, active, queued, memoryShare, pace, ...(rankPlace && {rankPlace}),
	};
}

function isSameLoad(left: TargetLoad, right: TargetLoad): boolean {
	return left.active === right.active && left.queued === right.queued && left.bornMs === right.bornMs && left.pace === right.pace && left.rankPlace?.isOpen === right.rankPlace?.isOpen;
}
