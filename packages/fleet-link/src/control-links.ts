/**
The streams of a daemon to all control processes it knows of: the seeds at first, then those that control names. What
the streams tell is joined: a daemon exists as long as one control process sees it.
*/

import {LinkClient} from './link-client.js';
import type {DownMessage, NodeCard, UpMessage} from './messages.js';

/** A control process that is not reached for this long, and that nobody names, is dropped. */
const forgetAfterMs = 20_000;

/** What a lost stream told is kept for this long while others are up. */
const keepLostMs = 3000;

const sweepIntervalMs = 1000;

type Link = {readonly client: LinkClient; cards: readonly NodeCard[]; upAtMs: number};

/** Options of the streams. */
export type ControlLinksOptions = {
	readonly nowMs: () => number;
	readonly seeds: () => readonly string[];
	readonly card: () => NodeCard;
	/** A message other than beats and lists of daemons. */
	readonly onMessage: (message: DownMessage, linkAddress: string) => void;
	readonly onNodes?: (cards: readonly NodeCard[]) => void;
	readonly onConnectionChange?: (linkAddress: string, isUp: boolean) => void;
};

/** All streams to control. */
export class ControlLinks {
	readonly #options: ControlLinksOptions;
	readonly #links = new Map<string, Link>();
	readonly #timer: NodeJS.Timeout;
	#nodes = new Map<string, NodeCard>();

	constructor(options: ControlLinksOptions) {
		this.#options = options;
		this.#sweep();
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepIntervalMs);
	}

	/** Daemons that some control process sees. */
	get nodes(): ReadonlyMap<string, NodeCard> {
		return this.#nodes;
	}

	/** Addresses of control processes whose streams are up; those of the given failure domain first. */
	connectedAddresses(failureDomain?: string): string[] {
		const near = new Set([...this.#nodes.values()].filter(card => card.role === 'control' && card.failureDomain === failureDomain).map(card => card.linkAddress));
		const up = [...this.#links].filter(([, {client}]) => client.isConnected).map(([address]) => address);
		return up.toSorted((left, right) => Number(near.has(right)) - Number(near.has(left)));
	}

	/** All known addresses. */
	get addresses(): string[] {
		return [...this.#links.keys()];
	}

	/** Sends to one control process, or to all. */
	send(message: UpMessage, linkAddress?: string): void {
		for (const [address, {client}] of this.#links) {
			if (linkAddress === undefined || address === linkAddress) {
				client.send(message);
			}
		}
	}

	/** Tells all control processes of a change of this daemon's card. */
	sendHello(): void {
		for (const {client} of this.#links.values()) {
			client.sendHello();
		}
	}

	/** Closes all streams. */
	close(): void {
		clearInterval(this.#timer);
		for (const {client} of this.#links.values()) {
			client.close();
		}
	}

	#sweep(): void {
		const nowMs = this.#options.nowMs();
		const seeds = new Set(this.#options.seeds());
		const own = this.#options.card().linkAddress;
		const named = [...this.#nodes.values()].flatMap(card => card.role === 'control' && card.linkAddress ? [card.linkAddress] : []);
		for (const address of new Set([...seeds, ...named])) {
			if (address !== own && !this.#links.has(address)) {
				this.#add(address, nowMs);
			}
		}

		for (const [address, link] of this.#links) {
			if (link.client.isConnected) {
				link.upAtMs = nowMs;
			} else if (!seeds.has(address) && nowMs - link.upAtMs > forgetAfterMs) {
				link.client.close();
				this.#links.delete(address);
			}
		}

		this.#join();
	}

	#add(address: string, nowMs: number): void {
		const {card, onConnectionChange, onMessage} = this.#options;
		const client = new LinkClient({
			address,
			nowMs: this.#options.nowMs,
			card,
			onMessage: message => {
				if (message.type === 'nodes' || message.type === 'nodesChanged') {
					const link = this.#links.get(address)!;
					link.cards = message.type === 'nodes' ? message.cards : changedCards(link.cards, message);
					this.#join();
				} else if (message.type !== 'beat') {
					onMessage(message, address);
				}
			},
			onConnectionChange(isUp) {
				onConnectionChange?.(address, isUp);
			},
		});
		this.#links.set(address, {
			client, cards: [], upAtMs: nowMs,
		});
	}

	#join(): void {
		const nowMs = this.#options.nowMs();
		const isAnyUp = [...this.#links.values()].some(({client}) => client.isConnected);
		const nodes = new Map<string, NodeCard>();
		for (const {client, cards, upAtMs} of this.#links.values()) {
			if (client.isConnected || !isAnyUp || nowMs - upAtMs < keepLostMs) {
				for (const card of cards) {
					const known = nodes.get(card.nodeId);
					nodes.set(card.nodeId, known?.isLeaving ? known : card);
				}
			}
		}

		this.#nodes = nodes;
		this.#options.onNodes?.([...nodes.values()]);
	}
}

function changedCards(cards: readonly NodeCard[], {cards: changed, goneIds}: {readonly cards: readonly NodeCard[]; readonly goneIds: readonly string[]}): NodeCard[] {
	const replaced = new Set([...goneIds, ...changed.map(card => card.nodeId)]);
	return [...cards.filter(card => !replaced.has(card.nodeId)), ...changed];
}
