/**
Sends one request to all ranks of a group through a tree of two levels: some agents pass it on to others and return the answers of all of them. With
n ranks, no agent sends more than about the square root of n messages. A rank whose answer is missing is asked directly afterwards by
the caller; since orders carry fencing numbers and may be repeated, the way that they took does not matter.
*/

import {
	type LinkCalls, linkService, type NodeCard, type RankReply, type RankRequest, type RelayChild, type RelayedRequest,
} from '@rattanspring/fleet-link';
import type {
	EngineClient, EngineOrder, EngineState, OrderOutcome,
} from './engine-client.js';
import {encodeMap} from './map-encoding.js';
import {relayTimeoutMs, slowestBytesPerMs} from './relay-limits.js';

/** A rank of the group: its position, and the card of its agent. */
export type RelayMember = {readonly rank: number; readonly card: NodeCard};

/** Options of a relay. */
export type GroupRelayOptions = {
	readonly calls: Pick<LinkCalls, 'call'>;
	/** The engine on this VM, and its rank. */
	readonly local: {readonly rank: number; readonly engine: EngineClient};
	/** All other ranks. */
	readonly members: readonly RelayMember[];
};

/** Requests to all ranks of one formation. */
export class GroupRelay {
	readonly #options: GroupRelayOptions;
	readonly #branches: RelayMember[][];

	constructor(options: GroupRelayOptions) {
		this.#options = options;
		this.#branches = branchesOf(options.members);
	}

	/** The states by rank; undefined for a rank whose answer is missing. */
	async states(): Promise<Array<EngineState | undefined>> {
		const {engine} = this.#options.local;
		return this.#ask({kind: 'state'}, undefined, async () => engine.state());
	}

	/** Gives an order to all ranks; the outcome by rank, undefined if the answer is missing. */
	async order(order: EngineOrder): Promise<Array<OrderOutcome | undefined>> {
		const {engine} = this.#options.local;
		const attachment = order.kind === 'prepare' ? encodeMap(order.map) : undefined;
		const body = order.kind === 'prepare' && attachment ? {...order, map: []} : order;
		return this.#ask({kind: 'order', order: body}, attachment, async () => engine.order(order));
	}

	async #ask<Answer>(request: RelayedRequest, attachment: Uint8Array | undefined, askLocal: () => Promise<Answer | undefined>): Promise<Array<Answer | undefined>> {
		const answers: Array<Answer | undefined> = [];
		const sendingMs = (attachment?.length ?? 0) * this.#branches.length / slowestBytesPerMs;
		await Promise.all([
			askLocal().then(answer => {
				answers[this.#options.local.rank] = answer;
			}),
			...this.#branches.map(async branch => {
				const branchAnswers = await this.#askBranch<Answer>(branch, request, attachment, sendingMs);
				for (const [index, {rank}] of branch.entries()) {
					answers[rank] = branchAnswers[index];
				}
			}),
		]);
		return answers;
	}

	async #askBranch<Answer>([head, ...others]: readonly RelayMember[], request: RelayedRequest, attachment: Uint8Array | undefined, sendingMs: number): Promise<Array<Answer | undefined>> {
		const children = others.map(({card}): RelayChild => ({linkAddress: card.linkAddress!, targetAddress: card.targetAddress!}));
		const relayed: RankRequest = {
			kind: 'relay', targetAddress: head.card.targetAddress!, request, children, ...(attachment && {attachment}),
		};
		const timeoutMs = relayTimeoutMs(children.length, attachment?.length) + sendingMs;
		const reply: RankReply | undefined = await this.#options.calls.call(head.card.linkAddress!, linkService.rank, relayed, timeoutMs);
		const answers = Array.isArray(reply?.answer) ? reply.answer as Array<Answer | null> : [];
		return [head, ...others].map((_, index) => answers[index] ?? undefined);
	}
}

/** Divides the ranks into about as many branches as each has ranks; agents of the same failure domain share branches. */
function branchesOf(members: readonly RelayMember[]): RelayMember[][] {
	const size = Math.max(1, Math.ceil(Math.sqrt(members.length)));
	const ordered = members.toSorted((left, right) => left.card.failureDomain === right.card.failureDomain ? left.rank - right.rank : (left.card.failureDomain < right.card.failureDomain ? -1 : 1));
	return Array.from({length: Math.ceil(ordered.length / size)}, (_, index) => ordered.slice(index * size, (index + 1) * size));
}
