/** Interface to the inference engine of one rank: its state, its expert counts, and the orders it accepts. */

import type {RankPlace} from '@rattanspring/target-table';

/** A map version that a rank switches to when the given step begins. */
export type ArmedMap = {readonly version: number; readonly step: number};

/** A snapshot of an engine's state. */
export type EngineState = {
	readonly bornMs: number;
	readonly active: number;
	readonly queued: number;
	readonly memoryShare: number;
	readonly pace: number;
	/** The last step that the engine began. */
	readonly step: number;
	readonly rankPlace?: RankPlace;
	/** Version of the expert map in use. */
	readonly mapVersion?: number;
	/** Version of the map whose weights are fully copied, so that it can be armed. */
	readonly preparedVersion?: number;
	readonly armed?: ArmedMap;
	/** The step that the engine does not begin until a `go` order releases it. */
	readonly heldStep?: number;
	/** Highest fencing number that the agent of this rank has seen. */
	readonly fencing?: number;
};

/** How often requests of a rank selected each expert since the rank started, by expert set. */
export type ExpertCounts = {
	readonly step: number;
	readonly epoch: number;
	readonly counts: readonly number[];
	/** Time per token relative to the published time, as last seen by the rank's agent: 1 is the published speed, 2 is half of it. */
	readonly pace?: number;
};

/** Experts that a rank holds in the map in use, by expert set. */
export type HeldExperts = {readonly version: number; readonly experts: ReadonlyArray<readonly number[]>};

/** An order for a rank. It carries the coordinator's fencing number and applies to one formation of the group only. */
export type EngineOrder = {readonly fencing: number; readonly epoch: number} & (
	/** Makes the rank refuse orders with lower fencing numbers. */
	| {readonly kind: 'fence'}
	| {readonly kind: 'prepare'; readonly version: number; readonly map: ReadonlyArray<ReadonlyArray<readonly number[]>>}
	| {readonly kind: 'arm'; readonly version: number; readonly step: number}
	| {readonly kind: 'disarm'; readonly version: number}
	| {readonly kind: 'hold'; readonly step: number}
	| {readonly kind: 'go'; readonly step: number}
);

/** The fields of each kind of order that have to be numbers. */
const numbersOfOrders: Readonly<Record<EngineOrder['kind'], readonly string[]>> = {
	fence: [], prepare: ['version'], arm: ['version', 'step'], disarm: ['version'], hold: ['step'], go: ['step'],
};

/** Whether a value from another process is an order: an incomplete one must not change the fencing number of a rank. */
export function isEngineOrder(value: unknown): value is EngineOrder {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const order = value as Record<string, unknown>;
	if (typeof order.kind !== 'string' || !Object.hasOwn(numbersOfOrders, order.kind)) {
		return false;
	}

	const numbers = ['fencing', 'epoch', ...numbersOfOrders[order.kind as EngineOrder['kind']]];
	return numbers.every(name => Number.isFinite(order[name])) && (order.kind !== 'prepare' || isMap(order.map));
}

function isMap(value: unknown): boolean {
	const isListOf = (list: unknown, isItem: (item: unknown) => boolean): boolean => Array.isArray(list) && list.every(item => isItem(item));
	return isListOf(value, ranks => isListOf(ranks, experts => isListOf(experts, expert => Number.isFinite(expert))));
}

/** Result of an order. After `unknown` the engine may have applied the order already, or may still apply it later. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/** Reads the state of one engine and sends it orders. */
export abstract class EngineClient {
	/** The state; undefined if no valid answer arrived. */
	abstract state(): Promise<EngineState | undefined>;
	/** The counts; undefined if no valid answer arrived. */
	abstract counts(): Promise<ExpertCounts | undefined>;
	/** The experts that this rank holds; undefined if no valid answer arrived. */
	abstract experts(): Promise<HeldExperts | undefined>;
	abstract order(order: EngineOrder): Promise<OrderOutcome>;
	abstract close(): void;
}
