/** Orders from a group's coordinator to the agents of its ranks, and their replies. */

import type {FencingNumber, GroupId, Incarnation} from '@rattanspring/types';
import type {ExpertMap} from '../expert-map.js';

/** Identifies one formation of a group, that is, one incarnation whose ranks step together. 0 means none. */
export type FormationNumber = number;

/** Identifies a map. Never used for two maps, nor again after an abort. */
export type MapVersion = number;

/** Engine actions other than map changes. */
export type EngineAction = 'loadModel' | 'unloadModel' | 'loadAdapter' | 'loadVersion' | 'setRole';

/** Content of an order. */
export type OrderBody
	/** Requests the rank's status, including its maps. */
	= | {readonly kind: 'poll'}
		/** Starts a new formation of the group on one map. */
		| {readonly kind: 'form'; readonly formation: FormationNumber; readonly map: ExpertMap}
		/** Loads and verifies the weights of a map while the group continues to run. */
		| {readonly kind: 'prepare'; readonly formation: FormationNumber; readonly map: ExpertMap}
		/** Arms the rank: it does not begin the given step until the switch is activated or aborted. */
		| {readonly kind: 'arm'; readonly formation: FormationNumber; readonly version: MapVersion; readonly atStep: number}
		/** Commits the switch: the map is used from the given step on. */
		| {readonly kind: 'activate'; readonly formation: FormationNumber; readonly version: MapVersion; readonly atStep: number}
		/** Aborts the switch: the map is never used. */
		| {readonly kind: 'abort'; readonly formation: FormationNumber; readonly version: MapVersion}
		/** Makes the engine load something or change its role. Order numbers increase. */
		| {readonly kind: 'engine'; readonly orderNumber: number; readonly action: EngineAction; readonly name: string};

/** An order to one rank. */
export type Order = {
	readonly groupId: GroupId;
	readonly rank: number;
	readonly fencing: FencingNumber;
	/** Incarnation of the rank that the order is for; undefined for polls, which any incarnation answers. */
	readonly rankIncarnation: Incarnation | undefined;
	readonly body: OrderBody;
};

/** Progress of a rank with a map that is neither activated nor aborted. */
export type PendingMap = {
	readonly version: MapVersion;
	readonly phase: 'loading' | 'prepared' | 'failed' | 'armed';
	/** The step that an armed rank does not begin. */
	readonly atStep?: number;
};

/** Status that a rank reports. */
export type RankStatus = {
	readonly formation: FormationNumber;
	/** Whether the weights of the formation's first map are loaded. */
	readonly isReady: boolean;
	/** The newest map activated on this rank; 0 for none. */
	readonly version: MapVersion;
	/** The step from which that map is used. */
	readonly fromStep: number;
	readonly pending?: PendingMap;
	/** The last step that the rank began; -1 before the first. */
	readonly begunStep: number;
	/** Number of the newest engine order that was applied. */
	readonly engineOrderNumber: number;
};

/** An agent's reply to an order. */
export type RankReply = {
	readonly groupId: GroupId;
	readonly rank: number;
	readonly rankIncarnation: Incarnation;
	/** Counts the replies of the incarnation, so that replies can be ordered. */
	readonly sequence: number;
	/** The highest fencing number that the rank has seen. */
	readonly fencing: FencingNumber;
	readonly status: RankStatus;
	/** Maps that the rank knows; included only in replies to polls. */
	readonly maps: readonly ExpertMap[];
};
