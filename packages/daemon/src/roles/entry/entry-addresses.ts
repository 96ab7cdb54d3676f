/**
The addresses that callers are told to use: this entry announces itself to the relays, and learns from them of the
others.
*/

import type {GrpcClientPool} from '@rattanspring/control-client';
import {
	applyToLeaseTable, chooseEntries, emptyLeaseTable, expireLeaseTable, type LeaseTable,
} from '@rattanspring/directory';
import {type directoryProtocol, entryFromMessage, entryToMessage} from '@rattanspring/protocol';
import type {Clock, EntryAnnouncement, TargetState} from '@rattanspring/types';

/** How long callers may keep an answer. */
export const entriesMaxAgeMs = 5000;

/** How often an entry announces itself. */
const announceIntervalMs = 1000;

/** How long an announcement counts. */
const entryLeaseMs = 4000;

/** Options of the addresses. */
export type EntryAddressesOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly url: string;
	readonly relayAddresses: readonly string[];
	readonly clients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly clock: Clock;
};

/** The answer to a caller. */
export type EntriesAnswer = {readonly entries: ReadonlyArray<{readonly url: string}>; readonly maxAgeMs: number};

/** Knows the entries of the fleet. */
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

	/** Starts to announce this entry. */
	start(): void {
		this.#announce();
		this.#timer = setInterval(() => {
			this.#announce();
		}, announceIntervalMs);
	}

	/** Withdraws this entry: answers of every entry leave it out from now on, or as soon as its announcement arrives. */
	withdraw(): void {
		this.#state = 'leaving';
		this.#announce();
	}

	/** Stops to announce. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Takes in what a relay tells of entries. */
	apply(messages: readonly directoryProtocol.EntryAddress[]): void {
		for (const message of messages) {
			const announcement = entryFromMessage(message);
			if (announcement) {
				this.#applyOne(announcement, message.ageMs);
			}
		}
	}

	/** Addresses for a caller: those of the nearest failure domain first. */
	answerFor(caller: string): EntriesAnswer {
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
		this.#applyOne(announcement, 0);
		for (const address of relayAddresses) {
			clients.clientFor(address).announce({announcements: [], entries: [entryToMessage(announcement)]}, () => {
				// An announcement that was lost is followed by the next.
			});
		}
	}

	#applyOne(announcement: EntryAnnouncement, ageMs: number): void {
		applyToLeaseTable(this.#entries, {
			name: announcement.daemonId, announcement, ageMs, nowMs: this.#options.clock.monotonicMs(),
		});
	}
}
