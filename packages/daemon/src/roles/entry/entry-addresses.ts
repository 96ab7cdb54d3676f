/**
The entry addresses that callers are given. This entry announces its own address to the relays and receives those of the other
entries from them.
*/

import type {GrpcClientPool} from '@rattanspring/control-client';
import {
	applyToLeaseTable, chooseEntries, emptyLeaseTable, expireLeaseTable, type LeaseTable,
} from '@rattanspring/directory';
import {type directoryProtocol, entryFromMessage, entryToMessage} from '@rattanspring/protocol';
import type {Clock, EntryAnnouncement, TargetState} from '@rattanspring/types';

/** Time for which callers may cache the list of entries. */
export const entriesMaxAgeMs = 5000;

/** Interval between two announcements. */
const announceIntervalMs = 1000;

/** Duration of the lease that an announcement renews. */
const entryLeaseMs = 4000;

/** Options of `EntryAddresses`. */
export type EntryAddressesOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly url: string;
	readonly relayAddresses: readonly string[];
	readonly clients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly clock: Clock;
};

/** The list of entries as sent to a caller. */
export type EntriesResponse = {readonly entries: ReadonlyArray<{readonly url: string}>; readonly maxAgeMs: number};

/** The entries of the fleet, by their leases. */
export class EntryAddresses {
	readonly #options: EntryAddressesOptions;
	readonly #entries: LeaseTable<EntryAnnouncement> = emptyLeaseTable();
	readonly #incarnation: number;
	#state: TargetState = 'serving';
	#sequence = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: EntryAddressesOptions) {
		this.#options = options;
		this.#incarnation = options.clock.wallMs();
	}

	/** Starts announcing this entry. */
	start(): void {
		this.#announce();
		this.#timer = setInterval(() => {
			this.#announce();
		}, announceIntervalMs);
	}

	/** Announces that this entry is leaving. This entry removes itself from its list at once, the other entries as soon as they receive the announcement. */
	withdraw(): void {
		this.#state = 'leaving';
		this.#announce();
	}

	/** Stops announcing this entry. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Applies the entry announcements of a relay. */
	apply(messages: readonly directoryProtocol.EntryAddress[]): void {
		for (const message of messages) {
			const announcement = entryFromMessage(message);
			if (announcement) {
				this.#applyAnnouncement(announcement, message.ageMs);
			}
		}
	}

	/** Returns the addresses for a caller, those in the nearest failure domain first. */
	entriesFor(caller: string): EntriesResponse {
		const {failureDomain, clock} = this.#options;
		expireLeaseTable(this.#entries, clock.monotonicMs());
		const chosen = chooseEntries({entries: this.#entries, caller, failureDomain});
		return {entries: chosen.map(({url}) => ({url})), maxAgeMs: entriesMaxAgeMs};
	}

	#announce(): void {
		const {daemonId, failureDomain, url, relayAddresses, clients} = this.#options;
		this.#sequence++;
		const announcement: EntryAnnouncement = {
			daemonId, incarnation: this.#incarnation, sequence: this.#sequence, url, failureDomain, state: this.#state, leaseMs: entryLeaseMs,
		};
		this.#applyAnnouncement(announcement, 0);
		for (const address of relayAddresses) {
			clients.clientFor(address).announce({announcements: [], entries: [entryToMessage(announcement)]}, () => {
				// A failed call is ignored: the next announcement replaces it.
			});
		}
	}

	#applyAnnouncement(announcement: EntryAnnouncement, ageMs: number): void {
		applyToLeaseTable(this.#entries, {
			name: announcement.daemonId, announcement, ageMs, nowMs: this.#options.clock.monotonicMs(),
		});
	}
}
