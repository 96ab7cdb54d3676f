/**
Maintains a daemon's streams to all known control processes: initially the seeds, then also those that the control
processes advertise. The node lists received are merged: a daemon is present as long as one control process lists it, with the newest card.
A list shrinks for a moment after its control process has restarted, until all daemons have reconnected; the daemons listed
before are therefore retained for a short time.
*/

import {newerCard, RevisedCard} from './card-revision.js';
import {LinkClient} from './link-client.js';
import type {DownMessage, NodeCard, UpMessage} from './messages.js';
import {RetainedCards} from './retained-cards.js';

/** A control process that is not a seed is removed after it has been unreachable for this long; while others advertise it, it is added again. */
const unreachableRemovalMs = 20_000;

/** Retention of the node list of a lost stream while other streams are connected, and of the previous list after a new stream began. */
const cardRetentionMs = 3000;

const updateIntervalMs = 1000;

type CardChange = Pick<Extract<DownMessage, {type: 'nodesChanged'}>, 'cards' | 'goneIds'>;

type Link = {readonly client: LinkClient; cards: readonly NodeCard[]; lastConnectedAtMs: number};

/** Options of `ControlLinks`. */
export type ControlLinksOptions = {
	readonly nowMs: () => number;
	readonly seeds: () => readonly string[];
	readonly card: () => NodeCard;
	/** Called for every message except heartbeats and node lists. */
	readonly onMessage: (message: DownMessage, linkAddress: string) => void;
	readonly onNodes?: (cards: readonly NodeCard[]) => void;
	readonly onConnectionChange?: (linkAddress: string, isUp: boolean) => void;
};

/** The streams to all known control processes. */
export class ControlLinks {
	readonly #options: ControlLinksOptions;
	readonly #links = new Map<string, Link>();
	readonly #timer: NodeJS.Timeout;
	readonly #card: RevisedCard;
	readonly #retained = new RetainedCards();
	#nodes = new Map<string, NodeCard>();

	constructor(options: ControlLinksOptions) {
		this.#options = options;
		this.#card = new RevisedCard(options.card, Date.now());
		this.#updateLinks();
		this.#timer = setInterval(() => {
			this.#updateLinks();
		}, updateIntervalMs);
	}

	/** This daemon's card, with its revision. */
	get card(): NodeCard {
		return this.#card.current;
	}

	/** Daemons that at least one control process lists, by node ID. */
	get nodes(): ReadonlyMap<string, NodeCard> {
		return this.#nodes;
	}

	/** Addresses of control processes with a connected stream; those in the given failure domain come first. */
	connectedAddresses(failureDomain?: string): string[] {
		const sameDomain = new Set([...this.#nodes.values()].filter(card => card.role === 'control' && card.failureDomain === failureDomain).map(card => card.linkAddress));
		const connected = [...this.#links].filter(([, {client}]) => client.isConnected).map(([address]) => address);
		return connected.toSorted((left, right) => Number(sameDomain.has(right)) - Number(sameDomain.has(left)));
	}

	/** Addresses of all known control processes, connected or not. */
	get addresses(): string[] {
		return [...this.#links.keys()];
	}

	/** Sends a message to one control process, or to all if no address is given. */
	send(message: UpMessage, linkAddress?: string): void {
		for (const [address, {client}] of this.#links) {
			if (linkAddress === undefined || address === linkAddress) {
				client.send(message);
			}
		}
	}

	/** Sends this daemon's updated card to all control processes. */
	sendHello(): void {
		for (const {client} of this.#links.values()) {
			client.sendHello();
		}
	}

	close(): void {
		clearInterval(this.#timer);
		for (const {client} of this.#links.values()) {
			client.close();
		}
	}

	#updateLinks(): void {
		const nowMs = this.#options.nowMs();
		const seeds = new Set(this.#options.seeds());
		const ownAddress = this.#options.card().linkAddress;
		const advertised = [...this.#nodes.values()].flatMap(card => card.role === 'control' && card.linkAddress ? [card.linkAddress] : []);
		for (const address of new Set([...seeds, ...advertised])) {
			if (address !== ownAddress && !this.#links.has(address)) {
				this.#add(address, nowMs);
			}
		}

		for (const [address, link] of this.#links) {
			if (link.client.isConnected) {
				link.lastConnectedAtMs = nowMs;
			} else if (!seeds.has(address) && nowMs - link.lastConnectedAtMs > unreachableRemovalMs) {
				link.client.close();
				this.#links.delete(address);
			}
		}

		this.#mergeNodes();
	}

	#add(address: string, nowMs: number): void {
		const {onConnectionChange, onMessage} = this.#options;
		const client = new LinkClient({
			address,
			nowMs: this.#options.nowMs,
			card: () => this.card,
			onMessage: message => {
				if (message.type === 'nodes') {
					this.#replaceCards(this.#links.get(address)!, message.cards);
				} else if (message.type === 'nodesChanged') {
					this.#changeCards(this.#links.get(address)!, message);
				} else if (message.type !== 'beat') {
					onMessage(message, address);
				}
			},
			onConnectionChange(isUp) {
				onConnectionChange?.(address, isUp);
			},
		});
		this.#links.set(address, {
			client, cards: [], lastConnectedAtMs: nowMs,
		});
	}

	/** Stores the first list of a new stream and retains the daemons that were listed before; if no other stream is connected, from any stream. */
	#replaceCards(link: Link, cards: readonly NodeCard[]): void {
		const isOnlyStream = [...this.#links.values()].every(other => other === link || !other.client.isConnected);
		const previous = isOnlyStream ? this.#nodes.values() : link.cards.filter(({nodeId}) => this.#nodes.has(nodeId));
		this.#retained.retain(previous, this.#options.nowMs() + cardRetentionMs);
		link.cards = cards;
		this.#mergeNodes();
	}

	/** Applies changes to the list of a stream. The removals take precedence over cards that no connected stream lists. */
	#changeCards(link: Link, change: CardChange): void {
		link.cards = applyCardChanges(link.cards, change);
		const {goneIds} = change;
		this.#retained.remove(goneIds);
		for (const other of this.#links.values()) {
			if (!other.client.isConnected) {
				other.cards = applyCardChanges(other.cards, {cards: [], goneIds});
			}
		}

		this.#mergeNodes();
	}

	#mergeNodes(): void {
		const nowMs = this.#options.nowMs();
		const isAnyConnected = [...this.#links.values()].some(({client}) => client.isConnected);
		if (isAnyConnected) {
			this.#retained.removeExpired(nowMs);
		}

		const nodes = new Map<string, NodeCard>();
		for (const {client, cards, lastConnectedAtMs} of this.#links.values()) {
			if (client.isConnected || !isAnyConnected || nowMs - lastConnectedAtMs < cardRetentionMs) {
				addCards(nodes, cards);
			}
		}

		addCards(nodes, this.#retained.cards.filter(({nodeId}) => !nodes.has(nodeId)));
		this.#nodes = nodes;
		this.#options.onNodes?.([...nodes.values()]);
	}
}

function addCards(nodes: Map<string, NodeCard>, cards: readonly NodeCard[]): void {
	for (const card of cards) {
		const known = nodes.get(card.nodeId);
		nodes.set(card.nodeId, known ? newerCard(known, card) : card);
	}
}

function applyCardChanges(cards: readonly NodeCard[], {cards: changed, goneIds}: CardChange): NodeCard[] {
	const replaced = new Set([...goneIds, ...changed.map(card => card.nodeId)]);
	return [...cards.filter(card => !replaced.has(card.nodeId)), ...changed];
}
