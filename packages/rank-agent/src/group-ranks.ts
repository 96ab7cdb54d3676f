/** The engines of all ranks of one group, each asked and ordered by the agent on its own VM. */

import {type LinkCalls, linkService, type NodeCard} from '@rattanspring/fleet-link';
import type {RankPlace} from '@rattanspring/target-table';
import {
	EngineDoor, type EngineOrder, type EngineState, type ExpertCounts, type HeldExperts, type OrderOutcome,
} from './engine-door.js';

const callTimeoutMs = 700;

/** The engine behind another agent. */
export class RemoteEngine extends EngineDoor {
	readonly #calls: LinkCalls;
	readonly #linkAddress: string;
	readonly #targetAddress: string;

	constructor(calls: LinkCalls, linkAddress: string, targetAddress: string) {
		super();
		this.#calls = calls;
		this.#linkAddress = linkAddress;
		this.#targetAddress = targetAddress;
	}

	async state(): Promise<EngineState | undefined> {
		return this.#ask<EngineState>({kind: 'state'});
	}

	async counts(): Promise<ExpertCounts | undefined> {
		return this.#ask<ExpertCounts>({kind: 'counts'});
	}

	async experts(): Promise<HeldExperts | undefined> {
		return this.#ask<HeldExperts>({kind: 'experts'});
	}

	async order(order: EngineOrder): Promise<OrderOutcome> {
		return await this.#ask<OrderOutcome>({kind: 'order', order}) ?? 'unknown';
	}

	close(): void {
		// The calls are shared.
	}

	async #ask<Answer>(question: {readonly kind: 'state' | 'counts' | 'experts'} | {readonly kind: 'order'; readonly order: EngineOrder}): Promise<Answer | undefined> {
		const reply = await this.#calls.call(this.#linkAddress, linkService.rank, {targetAddress: this.#targetAddress, ...question}, callTimeoutMs);
		return reply?.answer as Answer | undefined;
	}
}

/** One formation of a group, with an engine for each rank. */
export type GroupRanks = {readonly group: string; readonly epoch: number; readonly engines: readonly EngineDoor[]};

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
