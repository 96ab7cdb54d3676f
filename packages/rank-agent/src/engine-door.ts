/** Port to the engine on the agent's own VM. */

import type {RankPlace} from '@rattanspring/target-table';

/** A map version that a rank switches to as a pass begins. */
export type ArmedMap = {readonly version: number; readonly step: number};

/** The state of an engine, as of now. */
export type EngineState = {
	readonly bornMs: number;
	readonly active: number;
	readonly queued: number;
	readonly memoryShare: number;
	readonly pace: number;
	/** The last pass that was begun. */
	readonly step: number;
	readonly rankPlace?: RankPlace;
	/** Version of the expert map in use. */
	readonly mapVersion?: number;
	/** Version of the map that is copied and can be armed. */
	readonly preparedVersion?: number;
	readonly armed?: ArmedMap;
	/** The pass that is not begun until it is released. */
	readonly heldStep?: number;
	/** Highest fencing number that the agent of this rank has seen. */
	readonly fencing?: number;
};

/** How often requests of a rank chose each expert since the rank's start, by set. */
export type ExpertCounts = {
	readonly step: number;
	readonly epoch: number;
	readonly counts: readonly number[];
	/** Slowness of the rank, as its agent saw it last: 1 is the published speed. */
	readonly pace?: number;
};

/** Experts that a rank holds, by set, in the map in use. */
export type HeldExperts = {readonly version: number; readonly experts: ReadonlyArray<readonly number[]>};

/** An order for a rank, under a coordinator's fencing number and for one formation of the group. */
export type EngineOrder = {readonly fencing: number; readonly epoch: number} & (
	/** Shuts out coordinators with lower numbers. */
	| {readonly kind: 'fence'}
	| {readonly kind: 'prepare'; readonly version: number; readonly map: ReadonlyArray<ReadonlyArray<readonly number[]>>}
	| {readonly kind: 'arm'; readonly version: number; readonly step: number}
	| {readonly kind: 'disarm'; readonly version: number}
	| {readonly kind: 'hold'; readonly step: number}
	| {readonly kind: 'go'; readonly step: number}
);

/** What became of an order. After `unknown` it may have been taken, or may be later. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/** Asks and orders one engine. */
export abstract class EngineClient {
	/** The state; undefined if no readable answer came. */
	abstract state(): Promise<EngineState | undefined>;
	/** The counts; undefined if no readable answer came. */
	abstract counts(): Promise<ExpertCounts | undefined>;
	/** The experts this rank holds; undefined if no readable answer came. */
	abstract experts(): Promise<HeldExperts | undefined>;
	abstract order(order: EngineOrder): Promise<OrderOutcome>;
	abstract close(): void;
}
