/** The engines of all ranks of one group, each asked and ordered by the agent on its own VM. */

import type {LinkCalls, NodeCard} from '@rattanspring/fleet-link';
import type {RankPlace} from '@rattanspring/target-table';
import type {EngineClient} from './engine-door.js';
import {RemoteEngine} from './remote-engine.js';

/** The rank at which the group is held, if there are several. */
export const holdingRank = 1;

/** One formation of a group, with an engine for each rank. */
export type GroupRanks = {
	readonly group: string;
	readonly epoch: number;
	readonly engines: readonly EngineClient[];
	/** Orders the engine of the holding rank through an agent outside the group: if that VM stands still, no rank of the group does. */
	readonly holdThrough?: EngineClient;
};

/** Options of the doors. */
export type GroupDoorsOptions = {
	readonly nodeId: string;
	/** The engine on this VM. */
	readonly own: EngineClient;
	readonly calls: LinkCalls;
	/** Reaches the engine on another VM past its agent. */
	readonly createEngineClient: (targetAddress: string) => EngineClient;
	/** Called when the agent of a target did not answer. */
	readonly onSilent: (targetAddress: string) => void;
};

/** Doors to the engines of this agent's group, and past their agents. */
export class GroupDoors {
	readonly #options: GroupDoorsOptions;
	readonly #direct = new Map<string, EngineClient>();
	#holdCount = 0;

	constructor(options: GroupDoorsOptions) {
		this.#options = options;
	}

	/** The ranks of the group that this place belongs to, if all of them are known and its formation is whole. */
	ranks(place: RankPlace, cards: readonly NodeCard[]): GroupRanks | undefined {
		const {nodeId, own} = this.#options;
		const ranks = ranksOf(place, cards, card => card.nodeId === nodeId ? own : this.#remote(card));
		return ranks && {...ranks, holdThrough: this.#fromOutside(place.group, cards)};
	}

	/** The engine itself, past its agent. */
	direct(targetAddress: string): EngineClient {
		const door = this.#direct.get(targetAddress) ?? this.#options.createEngineClient(targetAddress);
		this.#direct.set(targetAddress, door);
		return door;
	}

	/** Closes all doors. */
	close(): void {
		this.#options.own.close();
		for (const door of this.#direct.values()) {
			door.close();
		}
	}

	#remote({linkAddress, targetAddress}: NodeCard): EngineClient {
		return new RemoteEngine({
			calls: this.#options.calls,
			linkAddress: linkAddress!,
			targetAddress: targetAddress!,
			direct: address => this.direct(address),
			onSilent: this.#options.onSilent,
		});
	}

	/** The engine of the holding rank, reached through an agent outside the group. */
	#fromOutside(group: string, cards: readonly NodeCard[]): EngineClient | undefined {
		const outsider = outsiderOf(group, cards, this.#holdCount++);
		const holder = cards.find(({role, rankPlace}) => role === 'agent' && rankPlace?.group === group && rankPlace.rank === holdingRank);
		return outsider && holder && new RemoteEngine({calls: this.#options.calls, linkAddress: outsider.linkAddress!, targetAddress: holder.targetAddress!});
	}
}

/** The ranks of the group, if the agents of all of them are known and its formation is whole. */
function ranksOf({group, epoch, size}: RankPlace, cards: Iterable<NodeCard>, engineOf: (card: NodeCard) => EngineClient): GroupRanks | undefined {
	const byRank = new Map<number, NodeCard>();
	for (const card of cards) {
		if (card.role === 'agent' && card.rankPlace?.group === group && card.rankPlace.epoch === epoch && card.rankPlace.isOpen) {
			byRank.set(card.rankPlace.rank, card);
		}
	}

	const ordered = Array.from({length: size}, (_, rank) => byRank.get(rank));
	return ordered.every(card => card !== undefined) ? {group, epoch, engines: ordered.map(card => engineOf(card))} : undefined;
}

/** An agent that has no rank in the group; another one for each turn. */
function outsiderOf(group: string, cards: Iterable<NodeCard>, turn: number): NodeCard | undefined {
	const outsiders = [...cards].filter(card => card.role === 'agent' && card.rankPlace !== undefined && card.rankPlace.group !== group && !card.isLeaving);
	return outsiders.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1)[turn % Math.max(1, outsiders.length)];
}
