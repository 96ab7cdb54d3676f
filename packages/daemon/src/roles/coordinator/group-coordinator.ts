/**
Coordinates one group: holds its lease, drives the coordinator's state machine, and sends orders to the agents of the
ranks. Runs next to an agent; of several coordinators, the one that holds the lease is active.
*/

import {Metadata} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {
	type CoordinatorEffect, type CoordinatorEvent, type CoordinatorPhase, type CoordinatorState, type EngineAction,
	type LayerMap, newCoordinator, type Order, stepCoordinator,
} from '@rattanspring/expert-map';
import type {Logger} from '@rattanspring/logger';
import {type KeyMaterial, ordersProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import {orderToMessage, replyFromMessage} from '../../adapters/order-messages.js';
import type {LeaseSource} from '../../ports/lease-source.js';

/** Timeout of an order to an agent; the order is sent again at the next tick. */
const orderTimeoutMs = 2000;

/** Options of a coordinator. */
export type GroupCoordinatorOptions = {
	readonly groupId: string;
	/** Addresses of the ranks' agents, indexed by rank. */
	readonly agentAddresses: readonly string[];
	/** Layers of the first map of a group that has none yet. */
	readonly firstLayers: readonly LayerMap[];
	readonly leases: LeaseSource;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly keys?: KeyMaterial;
	/** Interval at which the lease is requested, the ranks are polled and orders are retransmitted. */
	readonly tickMs?: number;
};

/** Runs the coordinator of one group. */
export class GroupCoordinator {
	readonly #options: Required<Omit<GroupCoordinatorOptions, 'keys'>>;
	readonly #clients: GrpcClientPool<ordersProtocol.OrdersClient>;
	#state: CoordinatorState;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor({keys, ...options}: GroupCoordinatorOptions) {
		this.#options = {tickMs: 100, ...options};
		this.#clients = new GrpcClientPool({clientClass: ordersProtocol.OrdersClient, keys});
		this.#state = newCoordinator({groupId: options.groupId, rankCount: options.agentAddresses.length}, options.firstLayers);
	}

	/** The current phase of the coordinator. */
	get phase(): CoordinatorPhase['kind'] {
		return this.#state.phase.kind;
	}

	/** Version of the map in force, as far as this coordinator knows; 0 if it knows none yet. */
	get version(): number {
		return this.#state.version;
	}

	/** Starts acquiring the lease and sending orders. */
	start(): void {
		this.#timer = setInterval(() => {
			void this.#tick();
		}, this.#options.tickMs);
	}

	/** Stops at once; the lease is not released but expires. */
	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#clients.close();
	}

	/** Starts the switch to a planned map; has no effect while another switch is in progress. */
	plan(layers: readonly LayerMap[]): void {
		this.#step({kind: 'plan', layers});
	}

	/** Sends an order to the engine of a rank. */
	orderEngine(rank: number, action: EngineAction, name: string): void {
		this.#step({
			kind: 'engineOrder', rank, action, name,
		});
	}

	async #tick(): Promise<void> {
		const lease = await this.#options.leases.acquire(this.#options.groupId);
		if (this.#isStopped) {
			return;
		}

		if (lease) {
			this.#step({kind: 'lease', ...lease});
		}

		this.#step({kind: 'tick', nowMs: this.#options.clock.monotonicMs()});
	}

	#step(event: CoordinatorEvent): void {
		const nowMs = this.#options.clock.monotonicMs();
		const {state, effects} = stepCoordinator({...this.#state, nowMs}, event);
		this.#state = state;
		for (const effect of effects) {
			this.#applyEffect(effect);
		}
	}

	#applyEffect(effect: CoordinatorEffect): void {
		const {logger, groupId} = this.#options;
		if (effect.kind === 'send') {
			this.#send(effect.order);
		} else {
			logger.log('info', effect.kind, {group: groupId, version: effect.version, fencing: this.#state.fencing});
		}
	}

	#send(order: Order): void {
		const client = this.#clients.clientFor(this.#options.agentAddresses[order.rank]);
		client.giveOrder(orderToMessage(order), new Metadata(), {deadline: Date.now() + orderTimeoutMs}, (error, message) => {
			const reply = error ? undefined : replyFromMessage(message);
			if (reply && !this.#isStopped) {
				this.#step({kind: 'reply', reply});
			}
		});
	}
}
