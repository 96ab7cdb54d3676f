/**
The watchers of a relay's directory. A peer relay is told of the targets and entries that announced themselves to
this relay; an entry is told of its subset of targets, of entries, and of the sums over all targets.
*/

import type {ServerWritableStream} from '@grpc/grpc-js';
import {
	serviceDigests, selectSubset, type DirectoryEntry, type DirectoryState, type LeaseEntry, type LeaseTable,
} from '@rattanspring/directory';
import {announcementToMessage, directoryProtocol, entryToMessage} from '@rattanspring/protocol';
import type {EntryAnnouncement, ServiceId, TargetId} from '@rattanspring/types';

/** A watching stream. */
export type WatcherCall = ServerWritableStream<directoryProtocol.WatchRequest, directoryProtocol.DirectoryUpdate>;

/** Whether news came from an announcing daemon of this failure domain or from a peer relay. */
export type NewsOrigin = 'announcer' | 'peer';

/** News for watchers. */
export type DirectoryNews = {readonly targets: readonly DirectoryEntry[]; readonly entries: ReadonlyArray<LeaseEntry<EntryAnnouncement>>};

/** What the watchers are told of. */
export type WatchedDirectory = {
	readonly targets: DirectoryState;
	readonly entries: LeaseTable<EntryAnnouncement>;
	readonly failureDomain: string;
};

type Watcher = {readonly call: WatcherCall; readonly subsets: Map<ServiceId, ReadonlySet<TargetId>>};

/** Keeps the watchers and sends to each what it should know. */
export class DirectoryWatchers {
	readonly #directory: WatchedDirectory;
	readonly #watchers = new Set<Watcher>();

	constructor(directory: WatchedDirectory) {
		this.#directory = directory;
	}

	/** Adds a watcher and sends it all that it should know. */
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

	/** Sends news; what came from a peer relay goes to entries only. */
	notify(news: DirectoryNews, origin: NewsOrigin, nowMs: number): void {
		for (const watcher of this.#watchers) {
			if (origin === 'announcer' || isEntry(watcher.call)) {
				this.#send(watcher, news, nowMs, false);
			}
		}
	}

	/** Sends the sums over all targets to entries. */
	sendDigests(): void {
		const digests = serviceDigests(this.#directory.targets);
		for (const {call} of this.#watchers) {
			if (isEntry(call)) {
				call.write(directoryProtocol.DirectoryUpdate.create({digests}));
			}
		}
	}

	/** Forgets the subsets of services whose set of targets has changed. */
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

	#send(watcher: Watcher, news: DirectoryNews, nowMs: number, full: boolean): void {
		const targets = isEntry(watcher.call) ? news.targets.filter(entry => this.#isInSubset(watcher, entry)) : news.targets;
		if (full || targets.length + news.entries.length > 0) {
			watcher.call.write({
				full,
				announcements: targets.map(entry => announcementToMessage(entry.announcement, nowMs - entry.receivedAtMs)),
				entries: news.entries.map(entry => entryToMessage(entry.announcement, nowMs - entry.receivedAtMs)),
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
