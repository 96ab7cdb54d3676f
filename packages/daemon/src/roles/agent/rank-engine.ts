/** Interface to the engine of one rank, and its HTTP adapter. */

import Wreck from '@hapi/wreck';
import type {EngineAction} from '@rattanspring/expert-map';
import type {FencingNumber} from '@rattanspring/types';

/** Timeout of an order to an engine. */
const orderTimeoutMs = 120_000;

/** Timeout of a request to begin a step. */
const beginTimeoutMs = 5000;

/** A step of a formation under a map version. */
export type EngineStep = {readonly formation: number; readonly step: number; readonly version: number};

/** Operations of the engine of a rank. */
export abstract class RankEngine {
	/** Loads and verifies the weights of a map version; resolves to whether the verification succeeded. */
	abstract loadWeights(fencing: FencingNumber, version: number): Promise<boolean>;
	/** Forwards an order for a model, adapter, version or role; resolves to whether the engine accepted it. */
	abstract order(fencing: FencingNumber, action: EngineAction, name: string): Promise<boolean>;
	/** Begins a step; resolves to whether it has begun. */
	abstract beginStep(step: EngineStep): Promise<boolean>;
}

/** Options of the adapter. */
export type HttpRankEngineOptions = {
	readonly rank: number;
	/** Base URL at which the engine accepts orders. */
	readonly engineUrl: string;
	/** Base URL of the group's step synchronization. */
	readonly groupUrl: string;
};

/** Reaches the engine over HTTP. An order without a response counts as not accepted; orders are idempotent. */
export class HttpRankEngine extends RankEngine {
	readonly #options: HttpRankEngineOptions;

	constructor(options: HttpRankEngineOptions) {
		super();
		this.#options = options;
	}

	async loadWeights(fencing: FencingNumber, version: number): Promise<boolean> {
		return this.#order(fencing, 'loadExperts', String(version));
	}

	async order(fencing: FencingNumber, action: EngineAction, name: string): Promise<boolean> {
		return this.#order(fencing, action, name);
	}

	async beginStep(step: EngineStep): Promise<boolean> {
		const {groupUrl, rank} = this.#options;
		try {
			const {payload} = await Wreck.post<{begun?: boolean}>(new URL(`/ranks/${rank}/begin`, groupUrl).href, {
				payload: step, json: true, timeout: beginTimeoutMs,
			});
			return payload.begun === true;
		} catch {
			return false;
		}
	}

	async #order(fencingNumber: FencingNumber, kind: EngineAction | 'loadExperts', name: string): Promise<boolean> {
		try {
			await Wreck.post(new URL('/orders', this.#options.engineUrl).href, {payload: {fencingNumber, kind, name}, timeout: orderTimeoutMs});
			return true;
		} catch {
			return false;
		}
	}
}
