/**
Maintains a daemon's streams to control processes: initially the seeds, then some of those that the control processes advertise, or all of
them. The node lists received are merged: a daemon is present as long as one control process lists it, with the newest card.
A list shrinks for a moment after its control process has restarted, until all daemons have reconnected; the daemons listed
before are therefore retained for a short time.
*/

import {newerCard, RevisedCard} from './card-revision.js';
import {LinkClient} from './link-client.js';
import {type LinkCandidate, selectLinks} from './link-selection.js';
import type {DownMessage, NodeCard, UpMessage} from './messages.js';
import {PrimaryLink} from './primary-link.js';
import {RetainedCards, retentionEndMs} from './retained-cards.js';

/** A control process that is not a seed is removed after it has been unreachable for this long; while others advertise it, it is added again. */
const unreachableRemovalMs = 20_000;

/** Retention of the node list of a lost stream while other streams are connected. */
const cardRetentionMs = 3000;

/** A control process that has not answered for this long is replaced by another one, if there is one. */
const avoidAfterMs = 1500;

const updateIntervalMs = 250;

/** Number of control processes that an entry follows: enough for the loss of any two. */
export const followedControls = 5;

/** Number that an agent follows. It serves no callers: it needs to know the other agents, and two control processes that take its figures. */
export const followedByAgents = 3;

type CardChange = Pick<Extract<DownMessage, {type: 'nodesChanged'}>, 'cards' | 'goneIds'>;

type Link = {readonly client: LinkClient; cards: readonly NodeCard[]; lastConnectedAtMs: number};

/** Options of `ControlLinks`. */
export type ControlLinksOptions = {
	readonly nowMs: () => number;
	readonly seeds: () => readonly string[];
	readonly card: () => NodeCard;
	/** Number of control processes to follow; all by default. */
	readonly followedCount?: number;
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
	readonly #primary = new PrimaryLink();
	/** Control processes that did not answer, and until when they are avoided. */
	readonly #avoidedUntilMs = new Map<string, number>();
	#nodes = new Map<string, NodeCard>();
	/** Whether a stream was connected, lost or closed since the lists were merged. */
	#haveStreamsChanged = true;

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
		return this.#byDomain(failureDomain).filter(([, {client}]) => client.isConnected).map(([address]) => address);
	}

	/** Addresses of all known control processes, connected or not. */
	get addresses(): string[] {
		return [...this.#links.keys()];
	}

	/** Address of the control process from which this daemon takes load figures. */
	get primaryAddress(): string | undefined {
		return this.#primary.address;
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
		for (const link of this.#links.values()) {
			link.lastConnectedAtMs = link.client.isConnected ? nowMs : link.lastConnectedAtMs;
		}

		const wanted = this.#wantedAddresses(nowMs);
		for (const address of wanted) {
			if (!this.#links.has(address)) {
				this.#add(address, nowMs);
			}
		}

		this.#closeUnwanted(wanted, nowMs);
		this.#updatePrimary(nowMs);
		if (this.#mayListsExpire) {
			this.#mergeNodes();
		}
	}

	/** Whether the merged list may change by the passing of time. Changes that control processes tell are merged as they arrive. */
	get #mayListsExpire(): boolean {
		const hasLostList = [...this.#links.values()].some(({client, cards}) => !client.isConnected && cards.length > 0);
		return this.#haveStreamsChanged || hasLostList || this.#retained.size > 0;
	}

	/** Seeds are always known; other control processes while they are advertised. */
	#candidates(nowMs: number): LinkCandidate[] {
		const ownAddress = this.#options.card().linkAddress;
		const advertised = new Map([...this.#nodes.values()].flatMap(card => card.role === 'control' && card.linkAddress ? [[card.linkAddress, card] as const] : []));
		const addresses = [...new Set([...this.#options.seeds(), ...advertised.keys()])].filter(address => address !== ownAddress);
		return addresses.map(linkAddress => {
			const card = advertised.get(linkAddress);
			return {
				linkAddress, failureDomain: card?.failureDomain, servesDocument: card?.servesDocument ?? false, isAvoided: (card?.isLeaving ?? false) || this.#isAvoided(linkAddress, nowMs),
			};
		});
	}

	#isAvoided(address: string, nowMs: number): boolean {
		const link = this.#links.get(address);
		if (link && !link.client.isConnected && nowMs - link.lastConnectedAtMs > avoidAfterMs) {
			this.#avoidedUntilMs.set(address, nowMs + unreachableRemovalMs);
		} else if (link?.client.isConnected) {
			this.#avoidedUntilMs.delete(address);
		}

		return (this.#avoidedUntilMs.get(address) ?? nowMs) > nowMs;
	}

	#wantedAddresses(nowMs: number): Set<string> {
		const {followedCount = Number.POSITIVE_INFINITY} = this.#options;
		const {nodeId, failureDomain} = this.#options.card();
		return selectLinks(this.#candidates(nowMs), {nodeId, failureDomain, count: followedCount});
	}

	/** Closes streams that are no longer wanted, once all wanted ones are connected, and those of processes that are gone. */
	#closeUnwanted(wanted: ReadonlySet<string>, nowMs: number): void {
		const areWantedConnected = [...wanted].every(address => this.#links.get(address)?.client.isConnected);
		const seeds = new Set(this.#options.seeds());
		for (const [address, link] of this.#links) {
			const isSuperfluous = !wanted.has(address) && areWantedConnected && this.#options.followedCount !== undefined;
			const isGone = !seeds.has(address) && nowMs - link.lastConnectedAtMs > unreachableRemovalMs;
			if (isSuperfluous || isGone) {
				link.client.close();
				this.#links.delete(address);
				this.#haveStreamsChanged = true;
			}
		}
	}

	/** The streams by preference: those to the daemon's own failure domain first. */
	#updatePrimary(nowMs: number): void {
		const {failureDomain} = this.#options.card();
		const primary = this.#primary.update(this.#byDomain(failureDomain).map(([linkAddress, {client}]) => ({linkAddress, isConnected: client.isConnected})), nowMs);
		for (const [address, {client}] of this.#links) {
			client.setPrimary(address === primary);
		}
	}

	#byDomain(failureDomain: string | undefined): Array<[string, Link]> {
		const sameDomain = new Set([...this.#nodes.values()].filter(card => card.role === 'control' && card.failureDomain === failureDomain).map(card => card.linkAddress));
		return [...this.#links].toSorted(([left], [right]) => Number(sameDomain.has(right)) - Number(sameDomain.has(left)));
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
					this.#noteFigures(message, address);
					onMessage(message, address);
				}
			},
			onConnectionChange: isUp => {
				this.#haveStreamsChanged = true;
				onConnectionChange?.(address, isUp);
				this.#updatePrimary(this.#options.nowMs());
			},
			isPrimary: false,
		});
		this.#links.set(address, {
			client, cards: [], lastConnectedAtMs: nowMs,
		});
	}

	#noteFigures({type}: DownMessage, address: string): void {
		if (type === 'loads' || type === 'heartbeats') {
			this.#primary.heard(address, this.#options.nowMs());
		}
	}

	/** Stores the first list of a new stream and retains the daemons that were listed before; if no other stream is connected, from any stream. */
	#replaceCards(link: Link, cards: readonly NodeCard[]): void {
		const isOnlyStream = [...this.#links.values()].every(other => other === link || !other.client.isConnected);
		const previous = isOnlyStream ? this.#nodes.values() : link.cards.filter(({nodeId}) => this.#nodes.has(nodeId));
		const lostAtMs = isOnlyStream ? Math.max(...[...this.#links.values()].map(other => other.lastConnectedAtMs)) : link.lastConnectedAtMs;
		this.#retained.retain(previous, retentionEndMs(this.#options.nowMs(), lostAtMs));
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
		this.#haveStreamsChanged = false;
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
