/** Handles orders to the ranks of this agent: runs a state machine for each rank and applies its effects to the rank's engine. */

import {status as grpcStatus, type sendUnaryData, type ServerUnaryCall} from '@grpc/grpc-js';
import {
	newRank, type NextStep, nextStep, type RankEffect, type RankEvent, type RankReply, type RankState, stepRank,
} from '@rattanspring/expert-map';
import {ordersProtocol} from '@rattanspring/protocol';
import type {TargetSettings} from '@rattanspring/settings';
import type {Incarnation} from '@rattanspring/types';
import {orderFromMessage, replyToMessage} from '../../adapters/order-messages.js';
import {HttpRankEngine, type RankEngine} from './rank-engine.js';

/** Delay before retrying a step that could not begin or weights that failed to load. */
const retryIntervalMs = 5;

type GiveOrderCall = ServerUnaryCall<ordersProtocol.GiveOrderRequest, ordersProtocol.RankReport>;
type ShowRanksCall = ServerUnaryCall<ordersProtocol.ShowRanksRequest, ordersProtocol.ShowRanksReply>;

export type RankOptions = {readonly groupId: string; readonly rank: number; readonly engine: RankEngine};

export type OrdersOptions = {readonly incarnation: Incarnation; readonly ranks: readonly RankOptions[]};

type RankRuntime = {readonly engine: RankEngine; state: RankState};

/** Returns the ranks among an agent's targets. */
export function localRanks(targets: readonly TargetSettings[]): RankOptions[] {
	return targets.flatMap(({groupId, rank, groupUrl, baseUrl}) => groupId === undefined || rank === undefined || groupUrl === undefined
		? []
		: [{groupId, rank, engine: new HttpRankEngine({rank, engineUrl: baseUrl, groupUrl})}]);
}

/** Executes orders for the ranks of one agent. */
export class Orders {
	/** Implementation of the gRPC service. */
	readonly service = {giveOrder: this.#giveOrder.bind(this), showRanks: this.#showRanks.bind(this)};
	readonly #ranks: RankRuntime[];
	#isStopped = false;

	constructor({incarnation, ranks}: OrdersOptions) {
		this.#ranks = ranks.map(({groupId, rank, engine}) => ({
			engine, state: newRank({groupId, rank, rankIncarnation: incarnation}),
		}));
	}

	/** Begins steps as the ranks' state machines allow them, until `stop`. */
	start(): void {
		for (const rank of this.#ranks) {
			void this.#runSteps(rank);
		}
	}

	/** Begins no further step. */
	stop(): void {
		this.#isStopped = true;
	}

	#giveOrder(call: GiveOrderCall, done: sendUnaryData<ordersProtocol.RankReport>): void {
		const order = orderFromMessage(call.request);
		const rank = order && this.#ranks.find(({state}) => state.groupId === order.groupId && state.rank === order.rank);
		if (!order || !rank) {
			done({code: order ? grpcStatus.NOT_FOUND : grpcStatus.INVALID_ARGUMENT, details: order ? 'This agent does not serve the ordered rank.' : 'The order is malformed.'});
			return;
		}

		const reply = this.#step(rank, {kind: 'order', order});
		done(null, reply && replyToMessage(reply));
	}

	#showRanks(_call: ShowRanksCall, done: sendUnaryData<ordersProtocol.ShowRanksReply>): void {
		const ranks = this.#ranks.map(({state}) => toRankRow(state));
		done(null, {ranks});
	}

	/** Applies an event to a rank's state machine and runs the resulting effects; returns the reply, if any. */
	#step(rank: RankRuntime, event: RankEvent): RankReply | undefined {
		const {state, effects} = stepRank(rank.state, event);
		rank.state = state;
		let reply: RankReply | undefined;
		for (const effect of effects) {
			if (effect.kind === 'reply') {
				reply = effect.reply;
			} else {
				void this.#applyEffect(rank, effect);
			}
		}

		return reply;
	}

	async #applyEffect(rank: RankRuntime, effect: Exclude<RankEffect, {kind: 'reply'}>): Promise<void> {
		if (effect.kind === 'loadWeights') {
			const {formation, map: {version}} = effect;
			const verified = await rank.engine.loadWeights(rank.state.fencing, version);
			if (!verified) {
				await pause();
			}

			if (!this.#isStopped) {
				this.#step(rank, {
					kind: 'weightsLoaded', formation, version, verified,
				});
			}
		} else if (effect.kind === 'orderEngine') {
			const taken = await rank.engine.order(effect.fencing, effect.action, effect.name);
			this.#step(rank, {kind: 'engineOrdered', orderNumber: effect.orderNumber, taken});
		}
	}

	async #runSteps(rank: RankRuntime): Promise<void> {
		while (!this.#isStopped) {
			const next = nextStep(rank.state);
			await (next.kind === 'begin' ? this.#beginStep(rank, next) : pause());
		}
	}

	/** Marks the step as begun before asking the engine, so that the rank can no longer be armed for a map switch at that step. */
	async #beginStep(rank: RankRuntime, {formation, step, version}: Extract<NextStep, {kind: 'begin'}>): Promise<void> {
		this.#step(rank, {kind: 'stepBegun', formation, step});
		while (!this.#isStopped && rank.state.status.formation === formation) {
			if (await rank.engine.beginStep({formation, step, version})) {
				return;
			}

			await pause();
		}
	}
}

function toRankRow({groupId, rank, rankIncarnation, fencing, status}: RankState): ordersProtocol.RankRow {
	return ordersProtocol.RankRow.create({
		...status, groupId, rank, rankIncarnation, fencing, pendingVersion: status.pending?.version ?? 0, pendingPhase: status.pending?.phase ?? '',
	});
}

async function pause(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, retryIntervalMs);
	});
}
