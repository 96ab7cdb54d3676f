/**
Streams a relay's directory to its watchers. A peer relay receives the targets and entries that announced themselves to
this relay; an entry receives its subset of targets, all entries, and the digests of the services over all targets.
*/

import type {ServerWritableStream} from '@grpc/grpc-js';
import {
	serviceDigests, selectSubset, type DirectoryEntry, type DirectoryState, type LeaseEntry, type LeaseTable,
} from '@rattanspring/directory';
import {announcementToMessage, directoryProtocol, entryToMessage} from '@rattanspring/protocol';
import type {EntryAnnouncement, ServiceId, TargetId} from '@rattanspring/types';

/** The stream of a watcher. */
export type WatcherCall = ServerWritableStream<directoryProtocol.WatchRequest, directoryProtocol.DirectoryUpdate>;

/** Whether an update came from an announcing daemon of this failure domain or from a peer relay. */
export type UpdateOrigin = 'announcer' | 'peer';

/** Directory entries to send to watchers. */
export type UpdatedEntries = {readonly targets: readonly DirectoryEntry[]; readonly entries: ReadonlyArray<LeaseEntry<EntryAnnouncement>>};

/** The directory that is streamed to the watchers. */
export type WatchedDirectory = {
	readonly targets: DirectoryState;
	readonly entries: LeaseTable<EntryAnnouncement>;
	readonly failureDomain: string;
};

type Watcher = {readonly call: WatcherCall; readonly subsets: Map<ServiceId, ReadonlySet<TargetId>>};

/** Keeps the watchers and sends each one its part of the directory. */
export class DirectoryWatchers {
	readonly #directory: WatchedDirectory;
	readonly #watchers = new Set<Watcher>();

	constructor(directory: WatchedDirectory) {
		this.#directory = directory;
	}

	/** Adds a watcher and sends it its part of the directory in full. */
	add(call: WatcherCall, nowMs: number): void {
		const watcher: Watcher = {call, subsets: new Map()};
		this.#watchers.add(watcher);
		const remove = (): void => {
			this.#watchers.delete(watcher);
		};

		call.on('cancelled', remove);
		call.on('error', remove);
		this.#send(watcher, {targets: this.#knownTargets(call), entries: this.#knownEntries(call)}, nowMs, true);
	}

	/** Sends updated entries; those from a peer relay are sent to entries only. */
	notify(updated: UpdatedEntries, origin: UpdateOrigin, nowMs: number): void {
		for (const watcher of this.#watchers) {
			if (origin === 'announcer' || isEntry(watcher.call)) {
				this.#send(watcher, updated, nowMs, false);
			}
		}
	}

	/** Sends the service digests over all targets to entries. */
	sendDigests(): void {
		const digests = serviceDigests(this.#directory.targets);
		for (const {call} of this.#watchers) {
			if (isEntry(call)) {
				call.write(directoryProtocol.DirectoryUpdate.create({digests}));
			}
		}
	}

	/** Discards the cached subsets of services whose set of targets has changed. */
	invalidateSubsets(services: Iterable<ServiceId>): void {
		for (const service of services) {
			for (const watcher of this.#watchers) {
				watcher.subsets.delete(service);
			}
		}
	}

	/** Ends all streams. */
	end(): void {
		for (const {call} of this.#watchers) {
			call.end();
		}
	}

	#send(watcher: Watcher, updated: UpdatedEntries, nowMs: number, full: boolean): void {
		const targets = isEntry(watcher.call) ? updated.targets.filter(entry => this.#isInSubset(watcher, entry)) : updated.targets;
		if (full || targets.length + updated.entries.length > 0) {
			watcher.call.write({
				full,
				announcements: targets.map(entry => announcementToMessage(entry.announcement, nowMs - entry.receivedAtMs)),
				entries: updated.entries.map(entry => entryToMessage(entry.announcement, nowMs - entry.receivedAtMs)),
				digests: [],
			});
		}
	}

	#isInSubset(watcher: Watcher, {announcement}: DirectoryEntry): boolean {
		return announcement.services.some(service => {
			const subset = watcher.subsets.get(service) ?? selectSubset(this.#directory.targets, watcher.call.request.daemonId, service);
			watcher.subsets.set(service, subset);
			return subset.has(announcement.targetId);
		});
	}

	#knownTargets(call: WatcherCall): DirectoryEntry[] {
		const known = [...this.#directory.targets.targets.values()];
		return isEntry(call) ? known : known.filter(({announcement}) => announcement.failureDomain === this.#directory.failureDomain);
	}

	#knownEntries(call: WatcherCall): Array<LeaseEntry<EntryAnnouncement>> {
		const known = [...this.#directory.entries.live.values()];
		return isEntry(call) ? known : known.filter(({announcement}) => announcement.failureDomain === this.#directory.failureDomain);
	}
}

function isEntry(call: WatcherCall): boolean {
	return call.request.role === 'entry';
}
