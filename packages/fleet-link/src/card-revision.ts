/** Revisions of cards: of two cards of a daemon, they tell which one is newer, however the cards arrived. */

import type {NodeCard} from './messages.js';

/** Adds revisions to the cards of one process. */
export class RevisedCard {
	readonly #card: () => NodeCard;
	readonly #bornMs: number;
	#text: string | undefined;
	#sequence = 0;

	constructor(card: () => NodeCard, bornMs: number) {
		this.#card = card;
		this.#bornMs = bornMs;
	}

	/** The current card. Its sequence is greater by one than that of the last one read if it has changed. */
	get current(): NodeCard {
		const card = this.#card();
		const text = JSON.stringify(card);
		if (text !== this.#text) {
			this.#text = text;
			this.#sequence++;
		}

		return {...card, revision: {bornMs: this.#bornMs, sequence: this.#sequence}};
	}
}

/** The newer one of two cards of a daemon; the second one if their revisions do not tell. */
export function newerCard(first: NodeCard, second: NodeCard): NodeCard {
	const {revision: left} = first;
	const {revision: right} = second;
	if (!left || !right) {
		return first.isLeaving ? first : second;
	}

	return (left.bornMs - right.bornMs || left.sequence - right.sequence) > 0 ? first : second;
}
