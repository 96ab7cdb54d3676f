/**
The target directory of the relay role: collects the announcements of its failure domain, exchanges them with peer
relays and streams them to entries.
*/

import type {sendUnaryData, ServerUnaryCall} from '@grpc/grpc-js';
import {GrpcClientPool} from '@rattanspring/control-client';
import {
	applyAnnouncement, applyToLeaseTable, emptyDirectory, emptyLeaseTable, expire, expireLeaseTable, type DirectoryEntry, type DirectoryState, type LeaseEntry, type LeaseTable,
} from '@rattanspring/directory';
import {
	announcementFromMessage, directoryProtocol, entryFromMessage, type KeyMaterial,
} from '@rattanspring/protocol';
import type {Clock, EntryAnnouncement, ServiceId} from '@rattanspring/types';
import type {GrpcListener} from '../../adapters/grpc-listener.js';
import {ReconnectingStream} from '../../adapters/reconnecting-stream.js';
import {DirectoryWatchers, type UpdateOrigin, type WatcherCall} from './directory-watchers.js';
import {SuspectSource} from './suspect-source.js';

/** Interval at which expired announcements are removed. */
const expireIntervalMs = 250;

/** Interval at which the service digests are sent to entries. */
const digestIntervalMs = 1000;

/** Options of the directory. */
export type TargetDirectoryOptions = {
	readonly daemonId: string;
	readonly failureDomain: string;
	readonly peerRelayAddresses: readonly string[];
	readonly controlAddresses: readonly string[];
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

type Announcements = Pick<directoryProtocol.AnnounceRequest, 'announcements' | 'entries'>;
type AnnounceCall = ServerUnaryCall<directoryProtocol.AnnounceRequest, directoryProtocol.AnnounceReply>;
type SuspectsCall = ServerUnaryCall<directoryProtocol.SuspectsRequest, directoryProtocol.SuspectsReply>;

/** Collects announcements and streams them to watchers. */
export class TargetDirectory {
	readonly #options: TargetDirectoryOptions;
	readonly #clients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly #targets: DirectoryState = emptyDirectory();
	readonly #entries: LeaseTable<EntryAnnouncement> = emptyLeaseTable();
	readonly #watchers: DirectoryWatchers;
	readonly #suspects: SuspectSource;
	readonly #peers: Array<ReconnectingStream<directoryProtocol.DirectoryUpdate>> = [];
	readonly #timers: NodeJS.Timeout[] = [];

	constructor(options: TargetDirectoryOptions) {
		this.#options = options;
		this.#clients = new GrpcClientPool({clientClass: directoryProtocol.DirectoryClient, keys: options.keys});
		this.#watchers = new DirectoryWatchers({targets: this.#targets, entries: this.#entries, failureDomain: options.failureDomain});
		this.#suspects = new SuspectSource(options);
	}

	/** Registers the service that agents, entries and peer relays call. */
	addTo(listener: GrpcListener): void {
		listener.addService(directoryProtocol.DirectoryService, {
			announce: (call: AnnounceCall, done: sendUnaryData<directoryProtocol.AnnounceReply>) => {
				this.#applyAnnouncements(call.request, 'announcer');
				done(null, {});
			},
			watch: (call: WatcherCall) => {
				this.#watchers.add(call, this.#options.clock.monotonicMs());
			},
			suspects: (call: SuspectsCall, done: sendUnaryData<directoryProtocol.SuspectsReply>) => {
				done(null, this.#suspects.reply(call.request.knownVersion));
			},
		});
	}

	/** Starts following the peer relays and reading the suspect list. */
	start(): void {
		for (const address of this.#options.peerRelayAddresses) {
			this.#followPeer(address);
		}

		this.#suspects.start();
		this.#timers.push(setInterval(() => {
			this.#expire();
		}, expireIntervalMs), setInterval(() => {
			this.#watchers.sendDigests();
		}, digestIntervalMs));
	}

	/** Ends all streams. */
	stop(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const peer of this.#peers) {
			peer.stop();
		}

		this.#suspects.stop();
		this.#watchers.end();
		this.#clients.close();
	}

	#followPeer(peer: string): void {
		const {daemonId, failureDomain} = this.#options;
		const follower = new ReconnectingStream<directoryProtocol.DirectoryUpdate>({
			addresses: [peer],
			open: address => this.#clients.clientFor(address).watch({
				daemonId, role: 'relay', failureDomain, entryUrl: '',
			}),
			onMessage: update => {
				this.#applyAnnouncements(update, 'peer');
			},
		});
		this.#peers.push(follower);
		follower.start();
	}

	/** Applies announcements and sends the new ones to the watchers. */
	#applyAnnouncements(messages: Announcements, origin: UpdateOrigin): void {
		const nowMs = this.#options.clock.monotonicMs();
		const targets = messages.announcements.flatMap(message => this.#applyTarget(message, nowMs));
		const entries = messages.entries.flatMap(message => this.#applyEntry(message, nowMs));
		if (targets.length + entries.length > 0) {
			this.#watchers.notify({targets, entries}, origin, nowMs);
		}
	}

	#applyTarget(message: directoryProtocol.TargetAnnouncement, nowMs: number): DirectoryEntry[] {
		const announcement = announcementFromMessage(message);
		if (!announcement) {
			return [];
		}

		const before = this.#targets.targets.get(announcement.targetId);
		if (!applyAnnouncement(this.#targets, announcement, nowMs, message.ageMs)) {
			return [];
		}

		if (before?.announcement.incarnation !== announcement.incarnation) {
			this.#watchers.invalidateSubsets([...announcement.services, ...before?.announcement.services ?? []]);
		}

		return [this.#targets.targets.get(announcement.targetId)!];
	}

	#applyEntry(message: directoryProtocol.EntryAddress, nowMs: number): Array<LeaseEntry<EntryAnnouncement>> {
		const announcement = entryFromMessage(message);
		const isFresh = announcement !== undefined && applyToLeaseTable(this.#entries, {
			name: announcement.daemonId, announcement, ageMs: message.ageMs, nowMs,
		});
		return isFresh ? [this.#entries.live.get(announcement.daemonId)!] : [];
	}

	#expire(): void {
		const nowMs = this.#options.clock.monotonicMs();
		expireLeaseTable(this.#entries, nowMs);
		const services = new Set<ServiceId>();
		for (const targetId of expire(this.#targets, nowMs)) {
			for (const service of this.#targets.table.tombstones.get(targetId)?.last.announcement.services ?? []) {
				services.add(service);
			}
		}

		this.#watchers.invalidateSubsets(services);
	}
}
