/** Cards that a control process listed on its previous stream. It may list them again as soon as their daemons reconnect to it. */

import type {NodeCard} from './messages.js';

/** Retention after a new stream began, and the least of it: daemons reconnect within that time, also on slow VMs. */
const retentionMs = 3000;
const minRetentionMs = 1500;

/** Cards of the previous stream are retained for this long after it was lost: nothing has confirmed them since, and callers may not be sent to daemons that died long ago. */
const maxUnconfirmedMs = 3500;

type Retained = {readonly card: NodeCard; readonly untilMs: number};

/** When cards expire that were last listed on a stream lost at `lostAtMs`, if a new stream begins now. */
export function retentionEndMs(nowMs: number, lostAtMs: number): number {
	return Math.min(nowMs + retentionMs, Math.max(nowMs + minRetentionMs, lostAtMs + maxUnconfirmedMs));
}

/** Cards with an expiry. */
export class RetainedCards {
	readonly #retained = new Map<string, Retained>();

	/** Number of cards that have not expired. */
	get size(): number {
		return this.#retained.size;
	}

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
