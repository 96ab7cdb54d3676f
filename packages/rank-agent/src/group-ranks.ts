/** The engines of all ranks of one group, each asked and ordered by the agent on its own VM. */

import {type LinkCalls, linkService, type NodeCard} from '@rattanspring/fleet-link';
import type {RankPlace} from '@rattanspring/target-table';
import {
	EngineDoor, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';

/** Orders and states are answered at once by an agent that runs. */
const orderTimeoutMs = 200;

/** Counts and lists are long. */
const readTimeoutMs = 700;

type Question = {readonly kind: 'state' | 'counts' | 'experts'} | {readonly kind: 'order'; readonly order: EngineOrder};

/** Options of an engine behind another agent. */
export type RemoteEngineOptions = {
	readonly calls: Pick<LinkCalls, 'call'>;
	readonly linkAddress: string;
	readonly targetAddress: string;
	/** Reaches the engine past its agent: its state is some hundred milliseconds old then, and orders and counts have a price. */
	readonly direct?: (targetAddress: string) => EngineDoor;
};

/**
The engine behind another agent. Where the agent does not answer, orders go straight to the engine, which checks no fencing numbers: a group
must not stand still for as long as the agent does.
*/
export class RemoteEngine extends EngineDoor {
	readonly #options: RemoteEngineOptions;
	#isSilent = false;

	constructor(options: RemoteEngineOptions) {
		super();
		this.#options = options;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#ask({kind: 'state'}, orderTimeoutMs, async door => door.state());
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#ask({kind: 'counts'}, readTimeoutMs);
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#ask({kind: 'experts'}, readTimeoutMs, async door => door.experts());
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		const past = async (door: EngineDoor): Promise<OrderOutcome> => order.kind === 'fence' ? 'done' : door.order(order);
		return await this.#ask({kind: 'order', order}, orderTimeoutMs, past) ?? 'unknown';
	}

	close(): void {
		// The calls are shared.
	}

	/** Asks the agent, or the engine itself once the agent has not answered. */
	async #ask<Answer>(question: Question, timeoutMs: number, past?: (door: EngineDoor) => Promise<Answer | undefined>): Promise<Answer | undefined> {
		const {calls, linkAddress, targetAddress, direct} = this.#options;
		if (!this.#isSilent) {
			const reply = await calls.call(linkAddress, linkService.rank, {targetAddress, ...question}, timeoutMs);
			if (reply) {
				return reply.answer as Answer | undefined;
			}

			this.#isSilent = direct !== undefined;
		}

		return direct && past?.(direct(targetAddress));
	}
}

/** One formation of a group, with an engine for each rank. */
export type GroupRanks = {
	readonly group: string;
	readonly epoch: number;
	readonly engines: readonly EngineDoor[];
	/** Orders the engine of the holding rank through an agent outside the group: if that VM stands still, no rank of the group does. */
	readonly holdThrough?: EngineDoor;
};

/** The ranks of the group, if the agents of all of them are known and its formation is whole. */
export function ranksOf({group, epoch, size}: RankPlace, cards: Iterable<NodeCard>, engineOf: (card: NodeCard) => EngineDoor): GroupRanks | undefined {
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
export function outsiderOf(group: string, cards: Iterable<NodeCard>, turn: number): NodeCard | undefined {
	const outsiders = [...cards].filter(card => card.role === 'agent' && card.rankPlace !== undefined && card.rankPlace.group !== group && !card.isLeaving);
	return outsiders.toSorted((left, right) => left.nodeId < right.nodeId ? -1 : 1)[turn % Math.max(1, outsiders.length)];
}
