/** Cards that a control process listed on its previous stream. It may list them again as soon as their daemons reconnect to it. */

import type {NodeCard} from './messages.js';

type Retained = {readonly card: NodeCard; readonly untilMs: number};

/** Cards with an expiry. */
export class RetainedCards {
	readonly #retained = new Map<string, Retained>();

	get cards(): NodeCard[] {
		return [...this.#retained.values()].map(({card}) => card);
	}

	retain(cards: Iterable<NodeCard>, untilMs: number): void {
		for (const card of cards) {
			this.#retained.set(card.nodeId, {card, untilMs});
		}
	}

	remove(nodeIds: Iterable<string>): void {
		for (const nodeId of nodeIds) {
			this.#retained.delete(nodeId);
		}
	}

	removeExpired(nowMs: number): void {
		for (const [nodeId, {untilMs}] of this.#retained) {
			if (untilMs <= nowMs) {
				this.#retained.delete(nodeId);
			}
		}
	}
}
