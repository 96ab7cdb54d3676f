/** Clients for the engines of all ranks of a group. The engine of each rank is reached through the agent on its VM. */

import type {LinkCalls, NodeCard} from '@rattanspring/fleet-link';
import type {RankPlace} from '@rattanspring/target-table';
import {ReceivedSamples} from './count-samples.js';
import type {EngineClient} from './engine-client.js';
import {GroupRelay} from './group-relay.js';
import {RecentEngineClients} from './recent-engine-clients.js';
import {RemoteEngineClient, type UnansweredRequest} from './remote-engine-client.js';
import {TransferPacer} from './transfer-pacer.js';

/** The rank at which the group is held during a map switch, if the group has several ranks. */
export const holdingRank = 1;

/** Number of turns for which an outside process that did not answer is left out: some seconds, as a frozen VM may take. */
const turnsLeftOut = 20;

/** One formation of a group, with an engine client for each rank. */
export type GroupRanks = {
	readonly group: string;
	readonly epoch: number;
	readonly engines: readonly EngineClient[];
	/** Paces that the agents of the ranks have told. */
	readonly paces?: readonly number[];
	/** Sends hold orders to the holding rank through a process outside the group: if that process's VM is paused, no rank of the group is paused with it. */
	readonly holdEngine?: EngineClient;
	/** Reaches all ranks with few messages from this VM. */
	readonly relay?: GroupRelay;
};

/** Options of the clients. */
export type GroupEngineClientsOptions = {
	readonly nodeId: string;
	/** The engine on this VM. */
	readonly localEngine: EngineClient;
	readonly calls: Pick<LinkCalls, 'call'>;
	/** Creates a client that reaches the engine on another VM directly, bypassing its agent. */
	readonly createEngineClient: (targetAddress: string) => EngineClient;
	/** Called when the agent of a target did not answer in time. */
	readonly onAgentTimeout: (unanswered: UnansweredRequest) => void;
};

/** Creates clients for the engines of this agent's group, through their agents or directly. */
export class GroupEngineClients {
	readonly #options: GroupEngineClientsOptions;
	readonly #directClients: RecentEngineClients;
	readonly #samples = new ReceivedSamples();
	readonly #pacer = new TransferPacer();
	#outsideTurn = 0;
	/** Turn in which an outside process last did not answer, by its address. */
	readonly #silentTurns = new Map<string, number>();

	constructor(options: GroupEngineClientsOptions) {
		this.#options = options;
		this.#directClients = new RecentEngineClients(options.createEngineClient);
	}

	/** The ranks of the group that this place belongs to; undefined unless the agents of all ranks are known and report the same open formation. */
	ranks(place: RankPlace, cards: readonly NodeCard[]): GroupRanks | undefined {
		const {nodeId, localEngine} = this.#options;
		this.#samples.retain(new Set(cards.flatMap(({targetAddress}) => targetAddress ? [targetAddress] : [])));
		const ranks = findGroupRanks(place, cards, card => card.nodeId === nodeId ? localEngine : this.#createRemoteClient(card));
		return ranks && {...ranks, holdEngine: this.#createHoldEngine(place.group, cards), relay: this.#createRelay(place, ranks.cards)};
	}

	/** A client that reaches the engine directly, bypassing its agent. */
	directClient(targetAddress: string): EngineClient {
		return this.#directClients.of(targetAddress);
	}

	/** Closes the client of the local engine and all direct clients. */
	close(): void {
		this.#options.localEngine.close();
		this.#directClients.close();
	}

	#createRemoteClient({linkAddress, targetAddress}: NodeCard): EngineClient {
		return new RemoteEngineClient({
			calls: this.#options.calls,
			linkAddress: linkAddress!,
			targetAddress: targetAddress!,
			samples: this.#samples,
			pacer: this.#pacer,
			directClient: address => this.directClient(address),
			onAgentTimeout: this.#options.onAgentTimeout,
		});
	}

	#createRelay({rank}: RankPlace, cards: readonly NodeCard[]): GroupRelay {
		const members = cards.map((card, index) => ({rank: index, card})).filter(member => member.rank !== rank);
		return new GroupRelay({calls: this.#options.calls, local: {rank, engine: this.#options.localEngine}, members});
	}

	/** A client for the engine of the holding rank that goes through a process outside the group: an agent of another group, or else a control process. */
	#createHoldEngine(group: string, cards: readonly NodeCard[]): EngineClient | undefined {
		const turn = this.#outsideTurn++;
		const answering = cards.filter(({linkAddress = ''}) => turn - (this.#silentTurns.get(linkAddress) ?? Number.NEGATIVE_INFINITY) > turnsLeftOut);
		const outside = chooseOutsideAgent(group, answering, turn) ?? chooseControl(answering, turn);
		const holder = cards.find(({role, rankPlace}) => role === 'agent' && rankPlace?.group === group && rankPlace.rank === holdingRank);
		return outside && holder && new RemoteEngineClient({
			calls: this.#options.calls,
			linkAddress: outside.linkAddress!,
			targetAddress: holder.targetAddress!,
			onAgentTimeout: unanswered => {
				this.#silentTurns.set(outside.linkAddress!, turn);
				this.#options.onAgentTimeout(unanswered);
			},
		});
	}
}

/** The ranks of the group; undefined unless the agents of all ranks are known and report the same open formation. */
function findGroupRanks({group, epoch, size}: RankPlace, cards: Iterable<NodeCard>, clientOf: (card: NodeCard) => EngineClient): GroupRanks & {readonly cards: readonly NodeCard[]} | undefined {
	const byRank = new Map<number, NodeCard>();
	for (const card of cards) {
		if (card.role === 'agent' && card.rankPlace?.group === group && card.rankPlace.epoch === epoch && card.rankPlace.isOpen) {
			byRank.set(card.rankPlace.rank, card);
		}
	}

	const ordered = Array.from({length: size}, (_, rank) => byRank.get(rank));
	return ordered.every(card => card !== undefined)
		? {
			group, epoch, engines: ordered.map(card => clientOf(card)), paces: ordered.map(card => card.pace ?? 1), cards: ordered,
		}
		: undefined;
}

/** Chooses an agent that has no rank in the group, in rotation by turn. */
function chooseOutsideAgent(group: string, cards: Iterable<NodeCard>, turn: number): NodeCard | undefined {
	const outsideAgents = [...cards].filter(card => card.role === 'agent' && card.rankPlace !== undefined && card.rankPlace.group !== group && !card.isLeaving);
	return inTurn(outsideAgents, turn);
}

/** Chooses a control process, in rotation by turn. */
function chooseControl(cards: Iterable<NodeCard>, turn: number): NodeCard | undefined {
	return inTurn([...cards].filter(card => card.role === 'control' && !card.isLeaving), turn);
}

function inTurn(cards: readonly NodeCard[], turn: number): NodeCard | undefined {
	return cards.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1)[turn % Math.max(1, cards.length)];
}
