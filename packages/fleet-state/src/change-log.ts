/**
Bounded history of accepted changes, and bounded cache of the answers by change id that makes resends idempotent.
*/

import {createHash} from 'node:crypto';
import type {
	AcceptedChange, ChangeAnswer, ConfigurationChange, Revision,
} from '@rattanspring/types';

/** Answered change ids cached by default: two days of changes at 11,000 a day. */
export const maxAnsweredChanges = 22_000;

/** Accepted changes retained by default: as many as answered ids, so that a cached conflict can still list the changes since its base revision. */
export const maxHistoryLength = 22_000;

/** A cached answer. The changes listed by a conflict are not stored with it but read from the history. */
export type StoredAnswer
	= | Exclude<ChangeAnswer, {kind: 'conflict'}>
		| {readonly kind: 'conflict'; readonly baseRevision: Revision; readonly currentRevision: Revision};

/** An answered change: its digest, which distinguishes a resend from a reused id, and its answer. */
export type AnsweredChange = {readonly digest: string; readonly answer: StoredAnswer};

/** Maximum number of answered ids and of accepted changes in a change log. */
export type ChangeLogLimits = {readonly answered: number; readonly history: number};

/** Answered ids, oldest first, and accepted changes with consecutive revisions, oldest first. */
export type ChangeLog = {
	readonly limits: ChangeLogLimits;
	readonly answered: Map<string, AnsweredChange>;
	readonly history: AcceptedChange[];
};

/** Creates a change log without entries. */
export function emptyChangeLog(limits: Partial<ChangeLogLimits> = {}): ChangeLog {
	return {
		limits: {answered: maxAnsweredChanges, history: maxHistoryLength, ...limits}, answered: new Map(), history: [],
	};
}

/**
Caches the answer to a change and evicts the oldest answers beyond the limit.

A resend of a cached change id gets the original answer. Once the entry has been evicted, the change is evaluated like a new one. It
cannot be accepted twice: accepting it advanced the revision past the base revision it names, and revisions only increase, so the
resend is answered with a conflict.
*/
export function storeAnswer(log: ChangeLog, change: ConfigurationChange, answer: StoredAnswer): void {
	log.answered.set(change.changeId, {digest: changeDigest(change), answer});
	for (const changeId of log.answered.keys()) {
		if (log.answered.size <= log.limits.answered) {
			return;
		}

		log.answered.delete(changeId);
	}
}

/** Appends an accepted change and drops the oldest one beyond the limit. */
export function appendAccepted(log: ChangeLog, accepted: AcceptedChange): void {
	log.history.push(accepted);
	if (log.history.length > log.limits.history) {
		log.history.shift();
	}
}

/** Returns the accepted changes after `base` up to and including `upTo`; fewer if the history no longer reaches back to `base`. */
export function acceptedBetween(log: ChangeLog, base: Revision, upTo: Revision): readonly AcceptedChange[] {
	if (log.history.length === 0) {
		return [];
	}

	const firstRevision = log.history[0].revision;
	return log.history.slice(Math.max(0, base + 1 - firstRevision), Math.max(0, upTo + 1 - firstRevision));
}

/** Expands a cached answer to a full answer, with the changes that a conflict lists. */
export function expandAnswer(log: ChangeLog, stored: StoredAnswer): ChangeAnswer {
	if (stored.kind !== 'conflict') {
		return stored;
	}

	const {baseRevision, currentRevision} = stored;
	const changesSince = acceptedBetween(log, baseRevision, currentRevision).map(accepted => accepted.change);
	return {
		kind: 'conflict', currentRevision, changesSince, omittedChanges: currentRevision - baseRevision - changesSince.length,
	};
}

/** SHA-256 of a change in canonical form: the order of its properties does not matter. */
export function changeDigest(change: ConfigurationChange): string {
	return createHash('sha256').update(JSON.stringify(change, sortFields)).digest('hex');
}

function sortFields(_name: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	const fields = Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1);
	return Object.fromEntries(fields);
}
