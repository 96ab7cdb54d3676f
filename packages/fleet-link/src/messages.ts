/** Messages on the streams between control processes and the other daemons. They carry soft state only; any of them may be lost. */

import type {AccountUse} from '@rattanspring/account-shares';
import type {ComponentEvidence} from '@rattanspring/crash-evidence';
import type {DomainRegister} from '@rattanspring/domain-drain';
import type {Accusation} from '@rattanspring/outlier-ejection';
import type {ColdWord, TargetLimit} from '@rattanspring/target-limits';
import type {
	RankPlace, TargetLifetime, TargetLoad, TargetReport, TargetHeartbeat,
} from '@rattanspring/target-table';

/** The role of a daemon. */
export type NodeRole = 'control' | 'entry' | 'agent';

/** Of two cards of a daemon, the one of the later lifetime is newer, then the one with the higher sequence. */
export type CardRevision = {
	/** Unix millisecond of the start of the process. */
	readonly bornMs: number;
	/** Increases with each change of the card. */
	readonly sequence: number;
};

/** Identity and addresses of a daemon. */
export type NodeCard = {
	readonly nodeId: string;
	readonly role: NodeRole;
	readonly failureDomain: string;
	/** `host:port` at which other daemons reach it; entries have none. */
	readonly linkAddress?: string;
	/** `host:port` at which callers reach it; entries only. */
	readonly callerAddress?: string;
	/** `host:port` of the target on its VM; agents only. */
	readonly targetAddress?: string;
	/** That target's position among the ranks of its group; agents only. */
	readonly rankPlace?: RankPlace;
	/** Slowdown of that target, as a multiple of the published time, if it is slow; agents only. */
	readonly pace?: number;
	/** Whether it may send orders to the ranks of its group, so that it is told about the other agents; agents only. */
	readonly isCoordinating?: boolean;
	/** Whether it is shutting down. */
	readonly isLeaving: boolean;
	/** Whether callers may use it; entries only. */
	readonly isReady?: boolean;
	/** Whether it serves the document from its own disk; control processes only. */
	readonly servesDocument?: boolean;
	/** Set by the daemon's `ControlLinks`. */
	readonly revision?: CardRevision;
};

/** Kinds of daemons by what they are told about. */
export type Audience = 'control' | 'entry' | 'agent' | 'coordinatingAgent';

export function audienceOf({role, isCoordinating = false}: Pick<NodeCard, 'role' | 'isCoordinating'>): Audience {
	return role === 'agent' && isCoordinating ? 'coordinatingAgent' : role;
}

/** The roles of the daemons that each kind is told about. Control processes tell each other about all their followers, and pass that on. */
export const visibleRoles: Readonly<Record<Audience, readonly NodeRole[]>> = {
	control: ['control', 'entry', 'agent'],
	entry: ['control', 'entry'],
	agent: ['control'],
	coordinatingAgent: ['control', 'agent'],
};

/** Evidence about components of requests that crash targets. */
export type EvidenceMessage = {readonly type: 'evidence'; readonly records: readonly ComponentEvidence[]};

/** Limits that targets have named, or name no more, and how much longer they are cold, in answers to some entry. */
export type LimitsMessage = {readonly type: 'limits'; readonly limits: readonly TargetLimit[]; readonly cold?: readonly ColdWord[]};

/** Targets at which requests of some entry fail, hang or are late. */
export type AccusationsMessage = {readonly type: 'accusations'; readonly accusations: readonly Accusation[]};

/** What client accounts used over the last seconds: at the entry that sends it, or at all entries that told the control process that sends it. */
export type UseMessage = {readonly type: 'use'; readonly nodeId: string; readonly uses: readonly AccountUse[]};

/** The whole register of drained failure domains. */
export type DomainsMessage = {readonly type: 'domains'; readonly register: DomainRegister};

/** Messages from a daemon to a control process. */
export type UpMessage
	/** `isPrimary` is whether the daemon takes load figures and heartbeats of the targets from this stream; it takes them from one of its streams. */
	= | {readonly type: 'hello'; readonly card: NodeCard; readonly isPrimary?: boolean}
		| {readonly type: 'beat'}
		| {readonly type: 'load'; readonly load: TargetLoad}
		/** A target said in an answer to the sender that it is leaving. */
		| {readonly type: 'leaving'; readonly target: TargetLifetime}
		| EvidenceMessage
		| LimitsMessage
		| AccusationsMessage
		| UseMessage;

/** Messages from a control process to a daemon. */
export type DownMessage
	= | {readonly type: 'beat'}
		/** The full list of daemons that are visible to the receiver's role. */
		| {readonly type: 'nodes'; readonly cards: readonly NodeCard[]}
		/** Daemons that were added or changed, and the IDs of those that were removed. */
		| {readonly type: 'nodesChanged'; readonly cards: readonly NodeCard[]; readonly goneIds: readonly string[]}
		| {readonly type: 'targets'; readonly reports: readonly TargetReport[]}
		/** Targets whose reports changed in nothing but their sequence. */
		| {readonly type: 'heartbeats'; readonly targets: readonly TargetHeartbeat[]}
		| {readonly type: 'loads'; readonly loads: readonly TargetLoad[]}
		/** Targets that said in an answer to some entry that they are leaving. */
		| {readonly type: 'leaving'; readonly targets: readonly TargetLifetime[]}
		| EvidenceMessage
		| LimitsMessage
		| AccusationsMessage
		| UseMessage
		/** What client accounts used at all entries. */
		| {readonly type: 'useTotals'; readonly uses: readonly AccountUse[]}
		/** Sent on each change, and to each daemon that connects before the version of the document. */
		| DomainsMessage
		/** The latest document version that the control group accepted. */
		| {readonly type: 'version'; readonly version: number};
