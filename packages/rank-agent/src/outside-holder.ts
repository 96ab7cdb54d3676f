/**
Gives hold orders for engines on other VMs, on behalf of a coordinator. The process that gives them has no rank in the group: if its VM fails while the group is held, every
rank can still be armed and released.
*/

import type {RankReply, RankRequest} from '@rattanspring/fleet-link';
import {type EngineClient, isEngineOrder} from './engine-client.js';
import {RecentEngineClients} from './recent-engine-clients.js';

/** Applies hold orders of coordinators, and no other requests. */
export class OutsideHolder {
	readonly #clients: RecentEngineClients;

	/** The client is created once for each engine. */
	constructor(createEngineClient: (targetAddress: string) => EngineClient) {
		this.#clients = new RecentEngineClients(createEngineClient);
	}

	/** The outcome of a hold order; other requests are refused. */
	async handle(request: RankRequest): Promise<RankReply> {
		const order = request.kind === 'order' ? request.order : undefined;
		if (!isEngineOrder(order) || order.kind !== 'hold') {
			return {answer: 'refused'};
		}

		return {answer: await this.#clients.of(request.targetAddress).order(order)};
	}

	close(): void {
		this.#clients.close();
	}
}
