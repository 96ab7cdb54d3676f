/** The control side of the link: streams of other daemons, and the messages that go to all of them. */

import type {ServerDuplexStream} from '@grpc/grpc-js';
import {
	visibleRoles, type DownMessage, type NodeCard, type NodeRole, type UpMessage,
} from './messages.js';

/** Time between beats on a stream. */
export const heartbeatIntervalMs = 800;

/** A stream on which nothing came for this long is given up. */
export const heartbeatTimeoutMs = 2200;

/** Bytes that may wait for one daemon; a daemon that does not read is cut off and has to follow anew. */
const maxWaitingBytes = 8_388_608;

/** Changes of the list of daemons are told together after this pause. */
const nodesPauseMs = 60;

type Call = ServerDuplexStream<UpMessage, DownMessage>;
type Follower = {readonly call: Call; card?: NodeCard; heardAtMs: number};

/** Options of the server side. */
export type LinkServerOptions = {
	readonly nowMs: () => number;
	readonly ownCard: () => NodeCard;
	/** Messages that bring a new follower of a role up to date, besides the list of daemons. */
	readonly initialMessages: (role: NodeRole) => DownMessage[];
	readonly onMessage: (message: UpMessage, from: NodeCard) => void;
};

/** Streams of all daemons that follow this control process. */
export class LinkServer {
	readonly #options: LinkServerOptions;
	readonly #followers = new Set<Follower>();
	readonly #timer: NodeJS.Timeout;
	#told = new Map<string, NodeCard>();
	#nodesTimer: NodeJS.Timeout | undefined;

	constructor(options: LinkServerOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatIntervalMs);
	}

	/** Daemons that follow now, and this one. */
	get cards(): NodeCard[] {
		return [...[...this.#followers].flatMap(({card}) => card ? [card] : []), this.#options.ownCard()];
	}

	/** Tells the followers of changes of the list, this daemon's own card included. */
	scheduleNodesUpdate(): void {
		this.#nodesTimer ??= setTimeout(() => {
			this.#nodesTimer = undefined;
			this.#tellChanges();
		}, nodesPauseMs);
	}

	/** Serves one stream. */
	accept(call: Call): void {
		const follower: Follower = {call, heardAtMs: this.#options.nowMs()};
		this.#followers.add(follower);
		call.on('data', (message: UpMessage) => {
			this.#onMessage(follower, message);
		});
		call.on('end', () => {
			call.end();
			this.#drop(follower);
		});
		call.on('cancelled', () => {
			this.#drop(follower);
		});
		call.on('error', () => {
			this.#drop(follower);
		});
	}

	/** Sends to all daemons of the given roles. */
	broadcast(message: DownMessage, roles: ReadonlyArray<NodeCard['role']>): void {
		for (const follower of this.#followers) {
			if (follower.card && roles.includes(follower.card.role)) {
				this.#send(follower, message);
			}
		}
	}

	/** Ends all streams. */
	close(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#nodesTimer);
		for (const {call} of this.#followers) {
			call.end();
		}
	}

	#onMessage(follower: Follower, message: UpMessage): void {
		follower.heardAtMs = this.#options.nowMs();
		if (message.type === 'hello') {
			const isNew = follower.card === undefined;
			follower.card = message.card;
			this.scheduleNodesUpdate();
			if (isNew) {
				const {role} = message.card;
				this.#send(follower, {type: 'nodes', cards: concerning(role, this.cards)});
				for (const welcome of this.#options.initialMessages(role)) {
					this.#send(follower, welcome);
				}
			}
		} else if (follower.card && message.type !== 'beat') {
			this.#options.onMessage(message, follower.card);
		}
	}

	#send(follower: Follower, message: DownMessage): void {
		if (follower.call.writableLength > maxWaitingBytes) {
			this.#cut(follower);
			return;
		}

		follower.call.write(message);
	}

	#beat(): void {
		const silentSinceMs = this.#options.nowMs() - heartbeatTimeoutMs;
		for (const follower of this.#followers) {
			if (follower.heardAtMs < silentSinceMs) {
				this.#cut(follower);
			} else {
				this.#send(follower, {type: 'beat'});
			}
		}
	}

	#cut(follower: Follower): void {
		follower.call.destroy();
		this.#drop(follower);
	}

	#drop(follower: Follower): void {
		if (this.#followers.delete(follower)) {
			this.scheduleNodesUpdate();
		}
	}

	#tellChanges(): void {
		const current = new Map(this.cards.map(card => [card.nodeId, card]));
		const changed = [...current.values()].filter(card => JSON.stringify(card) !== JSON.stringify(this.#told.get(card.nodeId)));
		const gone = [...this.#told.values()].filter(card => !current.has(card.nodeId));
		this.#told = current;
		for (const follower of this.#followers) {
			if (follower.card) {
				const {role} = follower.card;
				const cards = concerning(role, changed);
				const goneIds = concerning(role, gone).map(card => card.nodeId);
				if (cards.length + goneIds.length > 0) {
					this.#send(follower, {type: 'nodesChanged', cards, goneIds});
				}
			}
		}
	}
}

function concerning(role: NodeRole, cards: readonly NodeCard[]): NodeCard[] {
	return cards.filter(card => visibleRoles[role].includes(card.role));
}
