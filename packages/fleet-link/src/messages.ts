/** Messages on the streams between control and the other daemons. All of them are soft state; any may be lost. */

import type {RankPlace, TargetLoad, TargetReport} from '@rattanspring/target-table';

/** What a daemon does. */
export type NodeRole = 'control' | 'entry' | 'agent';

/** Who a daemon is and how to reach it. */
export type NodeCard = {
	readonly nodeId: string;
	readonly role: NodeRole;
	readonly failureDomain: string;
	/** Where other daemons reach it, as `host:port`; entries have none. */
	readonly linkAddress?: string;
	/** Where callers reach it, as `host:port`; entries only. */
	readonly callerAddress?: string;
	/** The target on its VM, as `host:port`; agents only. */
	readonly targetAddress?: string;
	/** That target's place among the ranks of a group; agents only. */
	readonly rankPlace?: RankPlace;
	/** Whether it was asked to stop. */
	readonly isLeaving: boolean;
};

/** A request that was running when its target died. */
export type CrashReport = {
	/** Digest of path, client account and body. */
	readonly fingerprint: string;
	/** The start of the target that died. */
	readonly targetId: string;
	readonly bornMs: number;
};

/** Daemons that a daemon of a role has to know of. */
export const visibleRoles: Readonly<Record<NodeRole, readonly NodeRole[]>> = {
	control: ['control'],
	entry: ['control', 'entry'],
	agent: ['control', 'agent'],
};

/** From a daemon to control. */
export type UpMessage
	= | {readonly type: 'hello'; readonly card: NodeCard}
		| {readonly type: 'beat'}
		| {readonly type: 'load'; readonly load: TargetLoad}
		| {readonly type: 'crash'; readonly crash: CrashReport};

/** From control to a daemon. */
export type DownMessage
	= | {readonly type: 'beat'}
		/** All daemons that concern the receiver. */
		| {readonly type: 'nodes'; readonly cards: readonly NodeCard[]}
		/** Those that came or changed, and those that went. */
		| {readonly type: 'nodesChanged'; readonly cards: readonly NodeCard[]; readonly goneIds: readonly string[]}
		| {readonly type: 'targets'; readonly reports: readonly TargetReport[]}
		| {readonly type: 'loads'; readonly loads: readonly TargetLoad[]}
		| {readonly type: 'crashes'; readonly crashes: readonly CrashReport[]}
		/** The version of the document that control has accepted. */
		| {readonly type: 'version'; readonly version: number};
