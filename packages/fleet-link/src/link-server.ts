/** The control side of the streams: accepts streams from other daemons and broadcasts messages to them. */

import type {ServerDuplexStream} from '@grpc/grpc-js';
import {newerCard} from './card-revision.js';
import {
	FollowerStream, sized, type SizedMessage, type WaitingTotal,
} from './follower-stream.js';
import {
	type Audience, audienceOf, type DownMessage, type NodeCard, type NodeRole, type UpMessage, visibleRoles,
} from './messages.js';
import {isReadableCard} from './node-card.js';

/** Interval between heartbeats on a stream. */
export const heartbeatIntervalMs = 800;

/** A stream that received no message for this long is closed. */
export const heartbeatTimeoutMs = 2200;

/** Limit of what waits to be sent to one daemon. A daemon that does not read is disconnected and has to open a new stream. */
const maxWaitingBytes = 8_388_608;

/** Limit of what waits for all daemons, unless another one is set: those for which most waits are disconnected, until so much of it is free. */
const defaultMaxAllWaitingBytes = 33_554_432;
const freedShare = 1 / 8;

/** A new daemon is told what there is once less than this part of the limit waits for others. */
const greetingShare = 1 / 2;

/** A daemon that has taken nothing for this long, while others wait to be told, is disconnected. */
const unreadTimeoutMs = heartbeatTimeoutMs;

const audiences = Object.keys(visibleRoles) as Audience[];

/** The daemons that follow this control process, or those that follow any. */
type CardScope = 'direct' | 'all';

const scopes: Readonly<Record<Audience, CardScope>> = {
	control: 'direct', entry: 'all', agent: 'all', coordinatingAgent: 'all',
};

/** Changes of the node list are batched for this long. */
const nodesUpdateDelayMs = 60;

const beat = sized({type: 'beat'});

type Call = ServerDuplexStream<UpMessage, DownMessage>;
type Hello = Extract<UpMessage, {readonly type: 'hello'}>;
type Follower = {
	readonly stream: FollowerStream;
	card?: NodeCard;
	isPrimary: boolean;
	heardAtMs: number;
	/** The number of messages that it had taken, and since when: now if none waits. */
	takenCount: number;
	takenAtMs: number;
};

/** The followers that a message goes to: those with one of the roles, or of them only those for which this is the primary stream. */
export type Receivers = {readonly roles: readonly NodeRole[]; readonly onlyPrimary?: boolean};

/** Options of `LinkServer`. */
export type LinkServerOptions = {
	readonly nowMs: () => number;
	readonly ownCard: () => NodeCard;
	/** Daemons that follow other control processes; none by default. Followers other than control processes are told about them, too. */
	readonly relayedCards?: () => Iterable<NodeCard>;
	/** Messages that bring a new follower of a role up to date, in addition to the node list. */
	readonly initialMessages: (role: NodeRole) => DownMessage[];
	readonly onMessage: (message: UpMessage, from: NodeCard) => void;
	/** Bytes that may wait to be sent to all followers. */
	readonly maxAllWaitingBytes?: number;
	/** Called when a follower was disconnected as too much waited for all of them. */
	readonly onUnread?: (event: {readonly waitingBytes: number; readonly allWaitingBytes: number}) => void;
	/** Called when a daemon was disconnected whose card is none, or too large. */
	readonly onCardRefused?: () => void;
};

/** The streams of all daemons that follow this control process. */
export class LinkServer {
	readonly #options: LinkServerOptions;
	readonly #followers = new Set<Follower>();
	/** Daemons that have said who they are, and are told what there is once the others have read more. */
	readonly #waitingHellos = new Map<Follower, Hello>();
	readonly #waiting: WaitingTotal = {bytes: 0};
	readonly #timer: NodeJS.Timeout;
	readonly #sentCards: Record<CardScope, Map<string, NodeCard>> = {direct: new Map(), all: new Map()};
	#nodesTimer: NodeJS.Timeout | undefined;

	constructor(options: LinkServerOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatIntervalMs);
	}

	/** Cards of the connected daemons and of this one. */
	get cards(): NodeCard[] {
		return [...[...this.#followers].flatMap(({card}) => card ? [card] : []), this.#options.ownCard()];
	}

	/** Schedules an update that sends changes of the node list, including this daemon's own card, to the followers. */
	scheduleNodesUpdate(): void {
		this.#nodesTimer ??= setTimeout(() => {
			this.#nodesTimer = undefined;
			this.#sendNodeChanges();
		}, nodesUpdateDelayMs);
	}

	/** Handles a new stream. */
	accept(call: Call): void {
		const nowMs = this.#options.nowMs();
		const stream = new FollowerStream({
			call, total: this.#waiting, onTaken: () => {
				this.#greetWaiting();
			},
		});
		const follower: Follower = {
			stream, isPrimary: true, heardAtMs: nowMs, takenCount: 0, takenAtMs: nowMs,
		};
		this.#followers.add(follower);
		call.on('data', (message: UpMessage) => {
			this.#onMessage(follower, message);
		});
		call.on('end', () => {
			call.end();
			this.#removeFollower(follower);
		});
		call.on('cancelled', () => {
			this.#removeFollower(follower);
		});
		call.on('error', () => {
			this.#removeFollower(follower);
		});
	}

	/** Sends a message to all connected daemons with one of the given roles. */
	broadcast(message: DownMessage, {roles, onlyPrimary = false}: Receivers): void {
		this.#sendTo(message, follower => roles.includes(follower.card!.role) && (follower.isPrimary || !onlyPrimary));
	}

	close(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#nodesTimer);
		for (const {stream} of this.#followers) {
			stream.end();
		}
	}

	/** The cards that followers of a role are told about. Control processes follow each other, so that each tells the others about its own followers only. */
	#cardsIn(scope: CardScope): Map<string, NodeCard> {
		const cards = new Map<string, NodeCard>();
		for (const card of scope === 'all' ? this.#options.relayedCards?.() ?? [] : []) {
			cards.set(card.nodeId, card);
		}

		for (const card of this.cards) {
			const relayed = cards.get(card.nodeId);
			cards.set(card.nodeId, relayed ? newerCard(relayed, card) : card);
		}

		return cards;
	}

	#onMessage(follower: Follower, message: UpMessage): void {
		if (!this.#followers.has(follower)) {
			return;
		}

		follower.heardAtMs = this.#options.nowMs();
		if (message.type === 'hello') {
			this.#onHello(follower, message);
		} else if (follower.card && message.type !== 'beat') {
			this.#options.onMessage(message, follower.card);
		}
	}

	#onHello(follower: Follower, hello: Hello): void {
		if (!isReadableCard(hello.card)) {
			this.#options.onCardRefused?.();
			this.#disconnect(follower);
			return;
		}

		const isTold = follower.card !== undefined;
		if (isTold || this.#hasRoomToGreet) {
			this.#greet(follower, hello);
		} else {
			this.#waitingHellos.set(follower, hello);
		}
	}

	get #maxAllWaitingBytes(): number {
		return this.#options.maxAllWaitingBytes ?? defaultMaxAllWaitingBytes;
	}

	get #hasRoomToGreet(): boolean {
		return this.#waiting.bytes <= this.#maxAllWaitingBytes * greetingShare;
	}

	#greetWaiting(): void {
		for (const [follower, hello] of this.#waitingHellos) {
			if (!this.#hasRoomToGreet) {
				return;
			}

			this.#waitingHellos.delete(follower);
			this.#greet(follower, hello);
		}
	}

	#greet(follower: Follower, {card, isPrimary = true}: Hello): void {
		const isNew = follower.card === undefined;
		const audience = audienceOf(card);
		const isOtherAudience = follower.card === undefined || audienceOf(follower.card) !== audience;
		follower.card = card;
		follower.isPrimary = isPrimary;
		this.scheduleNodesUpdate();
		if (isOtherAudience) {
			this.#send(follower, sized({type: 'nodes', cards: visibleTo(audience, this.#cardsIn(scopes[audience]).values())}));
		}

		if (isNew) {
			for (const initialMessage of this.#options.initialMessages(card.role)) {
				this.#send(follower, sized(initialMessage));
			}
		}
	}

	/** Sends a message to the followers that have sent their card and are receivers. */
	#sendTo(message: DownMessage, isReceiver: (follower: Follower) => boolean): void {
		const sizedMessage = sized(message);
		for (const follower of this.#followers) {
			if (follower.card && isReceiver(follower)) {
				this.#send(follower, sizedMessage);
			}
		}
	}

	#send(follower: Follower, message: SizedMessage): void {
		if (follower.stream.waitingBytes > maxWaitingBytes) {
			this.#disconnect(follower);
			return;
		}

		if (this.#waiting.bytes + message.sizeBytes > this.#maxAllWaitingBytes) {
			this.#disconnectUnread();
		}

		if (this.#followers.has(follower)) {
			follower.stream.write(message);
		}
	}

	#beat(): void {
		const nowMs = this.#options.nowMs();
		for (const follower of this.#followers) {
			this.#noteTaken(follower, nowMs);
			const isSilent = follower.heardAtMs < nowMs - heartbeatTimeoutMs;
			const keepsOthersWaiting = this.#waitingHellos.size > 0 && follower.takenAtMs < nowMs - unreadTimeoutMs;
			if (isSilent || keepsOthersWaiting) {
				this.#disconnect(follower);
			} else {
				this.#send(follower, beat);
			}
		}

		this.#greetWaiting();
	}

	#noteTaken(follower: Follower, nowMs: number): void {
		const {takenCount, waitingBytes} = follower.stream;
		if (takenCount !== follower.takenCount || waitingBytes === 0) {
			follower.takenCount = takenCount;
			follower.takenAtMs = nowMs;
		}
	}

	/** Disconnects those for which most waits, until there is room again. */
	#disconnectUnread(): void {
		const {onUnread} = this.#options;
		const targetBytes = this.#maxAllWaitingBytes * (1 - freedShare);
		for (const follower of [...this.#followers].toSorted((left, right) => right.stream.waitingBytes - left.stream.waitingBytes)) {
			const {waitingBytes} = follower.stream;
			if (this.#waiting.bytes <= targetBytes || waitingBytes === 0) {
				return;
			}

			onUnread?.({waitingBytes, allWaitingBytes: this.#waiting.bytes});
			this.#disconnect(follower);
		}
	}

	#disconnect(follower: Follower): void {
		follower.stream.destroy();
		this.#removeFollower(follower);
	}

	#removeFollower(follower: Follower): void {
		if (this.#followers.delete(follower)) {
			this.#waitingHellos.delete(follower);
			follower.stream.forget();
			this.scheduleNodesUpdate();
		}
	}

	#sendNodeChanges(): void {
		for (const scope of ['direct', 'all'] as const) {
			const earlier = this.#sentCards[scope];
			const current = this.#cardsIn(scope);
			const changed = [...current.values()].filter(card => !isSameCard(card, earlier.get(card.nodeId)));
			const gone = [...earlier.values()].filter(card => !current.has(card.nodeId));
			this.#sentCards[scope] = current;
			for (const audience of audiences.filter(audience => scopes[audience] === scope)) {
				const cards = visibleTo(audience, changed);
				const goneIds = visibleTo(audience, gone).map(card => card.nodeId);
				if (cards.length + goneIds.length > 0) {
					this.#sendTo({type: 'nodesChanged', cards, goneIds}, follower => audienceOf(follower.card!) === audience);
				}
			}
		}
	}
}

function isSameCard(card: NodeCard, earlier: NodeCard | undefined): boolean {
	return card === earlier || JSON.stringify(card) === JSON.stringify(earlier);
}

function visibleTo(audience: Audience, cards: Iterable<NodeCard>): NodeCard[] {
	return [...cards].filter(card => visibleRoles[audience].includes(card.role));
}
