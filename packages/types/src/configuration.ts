/**
The fleet configuration: fleet-wide defaults, a short list of exceptions with a reason each, and the keys of callers and
operators.
*/

import type {
	ClientAccountId, DaemonId, FailureDomainId, Revision,
} from './identity.js';

/** A configured value. The catalogue in `fleet-state` defines the keys and their value types. */
export type ConfigurationValue = number | string | boolean | readonly string[];

/** Kinds of exception scopes, from the widest to the narrowest. */
export type ExceptionScopeKind = 'failureDomain' | 'clientAccount' | 'service' | 'group' | 'target';

/** The scope of an exception. */
export type ExceptionScope = {readonly kind: ExceptionScopeKind; readonly name: string};

/** One exception to a fleet-wide default. */
export type ConfigurationException = {
	readonly exceptionId: string;
	readonly scope: ExceptionScope;
	readonly key: string;
	readonly value: ConfigurationValue;
	readonly reason: string;
	readonly operator: string;
	/** Expiry time in milliseconds since the epoch, after which the exception no longer applies. */
	readonly endsAtMs?: number;
};

/** A caller key, stored as a digest. An account may have several valid keys at the same time. */
export type CallerKey = {
	readonly keyId: string;
	/** SHA-256 of the secret, in hexadecimal. */
	readonly secretDigest: string;
	readonly clientAccount: ClientAccountId;
	readonly endsAtMs?: number;
};

/** Access level of an operator key. */
export type OperatorAccess = 'readOnly' | 'readWrite';

/** An operator key, stored as a digest. */
export type OperatorKey = {
	readonly keyId: string;
	readonly secretDigest: string;
	readonly operator: string;
	readonly access: OperatorAccess;
	readonly endsAtMs?: number;
};

/** The whole configuration at one revision. */
export type FleetConfiguration = {
	readonly revision: Revision;
	/** Fleet-wide defaults that were set explicitly and override the catalogue's initial values. */
	readonly defaults: Readonly<Record<string, ConfigurationValue>>;
	readonly exceptions: readonly ConfigurationException[];
	readonly callerKeys: readonly CallerKey[];
	readonly operatorKeys: readonly OperatorKey[];
};

/** One edit within a change. */
export type ConfigurationEdit
	= | {readonly kind: 'setDefault'; readonly key: string; readonly value: ConfigurationValue}
		| {readonly kind: 'unsetDefault'; readonly key: string}
		| {readonly kind: 'addException'; readonly exception: ConfigurationException}
		| {readonly kind: 'removeException'; readonly exceptionId: string}
		| {readonly kind: 'addCallerKey'; readonly callerKey: CallerKey}
		| {readonly kind: 'removeCallerKey'; readonly keyId: string}
		| {readonly kind: 'addOperatorKey'; readonly operatorKey: OperatorKey}
		| {readonly kind: 'removeOperatorKey'; readonly keyId: string};

/** A change requested by an operator. A retry with the same `changeId` gets the first answer again. */
export type ConfigurationChange = {
	readonly changeId: string;
	/** The revision on which the operator based the change. */
	readonly baseRevision: Revision;
	readonly operator: string;
	readonly reason: string;
	readonly edits: readonly ConfigurationEdit[];
};

/** An accepted change with the revision it produced. */
export type AcceptedChange = {
	readonly revision: Revision;
	readonly change: ConfigurationChange;
	/** Wall-clock time at the leader, in milliseconds since the epoch; for display only. */
	readonly acceptedAtMs?: number;
};

/** The answer to a change. Only `accepted` means that the configuration changed. */
export type ChangeAnswer
	= | {readonly kind: 'accepted'; readonly revision: Revision}
		| {
			readonly kind: 'conflict';
			/** The revision when the change was decided. */
			readonly currentRevision: Revision;
			/** The changes accepted after the base revision and up to `currentRevision`, oldest first. */
			readonly changesSince: readonly ConfigurationChange[];
			/** How many of the oldest changes are missing from `changesSince`, because the history no longer holds them. */
			readonly omittedChanges: number;
		}
		| {readonly kind: 'rejected'; readonly type: ChangeRejectionType; readonly message: string};

/** Why a change was rejected. */
export type ChangeRejectionType
	= | 'unknownKey'
		| 'invalidValue'
		| 'scopeNotApplicable'
		| 'reasonMissing'
		| 'defaultNotSet'
		| 'duplicateException'
		| 'unknownException'
		| 'duplicateCallerKey'
		| 'unknownCallerKey'
		| 'duplicateOperatorKey'
		| 'unknownOperatorKey'
		| 'lastOperatorKey'
		| 'unknownRevision'
		| 'changeIdReused'
		| 'emptyChange';

/** A daemon on which the latest revision is not in force. */
export type LaggingDaemon = {
	readonly daemonId: DaemonId;
	readonly failureDomain: FailureDomainId;
	/** Last reported revision. */
	readonly revision: Revision;
	/**
	- `notYetApplied`: connected, but at an older revision.
	- `neverConfirmed`, `isolated`, `behind`, `quorumLost`: reported by the daemon itself as the reason why its configuration is not confirmed.
	- `silent`, `disconnected`: its relay receives no messages from it.
	- `relayDisconnected`: this voter receives no messages from its relay.
	*/
	readonly reason: string;
	/** Relay that last reported on it. */
	readonly relay: DaemonId;
	/** Duration of this condition in milliseconds. */
	readonly forMs: number;
};

/** The daemons on which the latest revision is in force, as reported by the reachable relays. */
export type InForceAnswer = {
	readonly revision: Revision;
	/** Number of daemons known to this voter. */
	readonly daemons: number;
	readonly inForce: number;
	/** Number of relays whose reports this voter receives. */
	readonly relays: number;
	readonly notInForce: readonly LaggingDaemon[];
};
