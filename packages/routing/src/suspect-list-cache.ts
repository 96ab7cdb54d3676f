/**
An entry's cached list of suspects, with the time at which a quorum is known to have confirmed it. A suspect is a request whose
target crashed. Entries look up each request in the list before they send it.
*/

import type {ClientAccountId} from '@rattanspring/types';

/**
Time after its confirmation for which a list is valid.

A crash is committed before its caller learns of it, and the caller's answer is delayed by this time, so that every list that is still
valid is newer than that commit. So a retry, however fast and through whichever entry, meets a list that contains the crash, or an
expired list that has to be confirmed first.
*/
export const suspectListTtlMs = 1000;

/** Identifies a request whose target crashed. */
export type SuspectKey = {readonly clientAccount: ClientAccountId; readonly bodyDigest: string};

/** Status of a request. `unconfirmed`: the cached list is too old to tell. */
export type SuspectStatus = 'free' | 'suspect' | 'refused' | 'unconfirmed';

/** A suspect in the cached list. */
export type KnownSuspect = SuspectKey & {readonly state: 'suspect' | 'refused'};

/** Answer of a relay: the complete list, or only its version if the list has not changed. */
export type SuspectListUpdate = {
	readonly version: number;
	/** Left out if `version` is the one that the requester has. */
	readonly suspects?: readonly KnownSuspect[];
	/** Time at which the requester sent its request, minus the age of the relay's list at that time. */
	readonly confirmedAtMs: number;
};

/** The cached list of one entry. */
export class SuspectListCache {
	#stateByKey = new Map<string, KnownSuspect['state']>();
	#version = -1;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	/** Version of the cached list; -1 before the first. */
	get version(): number {
		return this.#version;
	}

	/** Applies an update; an older version is ignored. */
	apply(update: SuspectListUpdate): void {
		if (update.version < this.#version) {
			return;
		}

		if (update.version > this.#version) {
			if (!update.suspects) {
				return;
			}

			this.#version = update.version;
			this.#stateByKey = new Map(update.suspects.map(suspect => [keyTextOf(suspect), suspect.state]));
		}

		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, update.confirmedAtMs);
	}

	/** Returns the status of a request at the given time. */
	standing(name: SuspectKey, nowMs: number): SuspectStatus {
		const state = this.#stateByKey.get(keyTextOf(name));
		if (state === 'refused') {
			return state;
		}

		return nowMs - this.#confirmedAtMs > suspectListTtlMs ? 'unconfirmed' : state ?? 'free';
	}
}

function keyTextOf({clientAccount, bodyDigest}: SuspectKey): string {
	return JSON.stringify([clientAccount, bodyDigest]);
}
