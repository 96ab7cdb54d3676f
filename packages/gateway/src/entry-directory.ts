/** The entries that this one knows: which of them a caller is told, and this entry's place among them. */

import type {NodeCard} from '@rattanspring/fleet-link';
import type {EntryPosition} from '@rattanspring/placement';

/** Maximum number of entry addresses returned to a caller. */
const maxAddresses = 64;

/** With at least this many entries in the caller's failure domain, only those are returned. */
const minLocalEntries = 2;

/** The list of entries, with this one in it. */
export class EntryDirectory {
	readonly #ownCard: () => NodeCard;
	#cards: readonly NodeCard[] = [];
	#position: EntryPosition = {index: 0, count: 1};

	constructor(ownCard: () => NodeCard) {
		this.#ownCard = ownCard;
	}

	/** Number of known entries; at least this one. */
	get count(): number {
		return Math.max(1, this.#cards.length);
	}

	/** Place of this entry among those that stay. */
	get position(): EntryPosition {
		return this.#position;
	}

	/** Replaces the list by the entries that control processes advertise. */
	update(cards: readonly NodeCard[]): void {
		const {nodeId} = this.#ownCard();
		this.#cards = cards;
		const ids = [...new Set([nodeId, ...cards.filter(card => !card.isLeaving).map(card => card.nodeId)])].toSorted();
		this.#position = {index: ids.indexOf(nodeId), count: ids.length};
	}

	/** Addresses of ready entries for a caller in the given failure domain: those of the same domain if there are enough. */
	addressesFor(failureDomain: string | undefined): string[] {
		const own = this.#ownCard();
		const cards = [...this.#cards.filter(card => card.nodeId !== own.nodeId), own].filter(card => !card.isLeaving && card.isReady !== false);
		const local = cards.filter(card => card.failureDomain === failureDomain);
		const selected = local.length >= minLocalEntries ? local : cards;
		return selected.flatMap(card => card.callerAddress ?? []).slice(0, maxAddresses);
	}
}
