/**
An entry's copy of the fleet's suspects, with the time at which a quorum is known to have confirmed it.

A crash is committed before its caller learns of it, and the caller's answer is held until every copy that is still
trusted must be newer than that commit. So a resend, however fast and through whichever entry, meets a copy that
holds the crash, or one that is not trusted and is confirmed first.
*/

import type {ClientAccountId} from '@rattanspring/types';

/** For this long after its confirmation a copy is trusted; a crash's answer is held for as long. */
export const suspectListTtlMs = 1000;

/** Names a request whose target crashed. */
export type SuspectKey = {readonly clientAccount: ClientAccountId; readonly bodyDigest: string};

/** What an entry may do with a request. `unconfirmed`: the copy is too old to tell. */
export type SuspectStatus = 'free' | 'suspect' | 'refused' | 'unconfirmed';

/** One suspect in the copy. */
export type KnownSuspect = SuspectKey & {readonly state: 'suspect' | 'refused'};

/** A whole or unchanged list, as a relay answers. */
export type SuspectListUpdate = {
	readonly version: number;
	/** Left out where `version` is the one that the asker holds. */
	readonly suspects?: readonly KnownSuspect[];
	/** When the asker sent its question, less the age of the relay's copy then. */
	readonly confirmedAtMs: number;
};

/** The copy. */
export class SuspectListCache {
	#byName = new Map<string, KnownSuspect['state']>();
	#version = -1;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	/** Version of the copy; -1 before the first. */
	get version(): number {
		return this.#version;
	}

	/** Takes in news; older news changes nothing. */
	apply(news: SuspectListUpdate): void {
		if (news.version < this.#version) {
			return;
		}

		if (news.version > this.#version) {
			if (!news.suspects) {
				return;
			}

			this.#version = news.version;
			this.#byName = new Map(news.suspects.map(suspect => [textOf(suspect), suspect.state]));
		}

		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, news.confirmedAtMs);
	}

	/** What may be done with a request now. */
	statusOf(name: SuspectKey, nowMs: number): SuspectStatus {
		const state = this.#byName.get(textOf(name));
		if (state === 'refused') {
			return state;
		}

		return nowMs - this.#confirmedAtMs > suspectListTtlMs ? 'unconfirmed' : state ?? 'free';
	}
}

function textOf({clientAccount, bodyDigest}: SuspectKey): string {
	return JSON.stringify([clientAccount, bodyDigest]);
}
