/**
The serving side of the configuration spread, used by voters and relays alike: streams configuration content and probe
answers to followers, and receives their reports.
*/

import type {ServerDuplexStream} from '@grpc/grpc-js';
import {toJsonBytes} from '@rattanspring/control-client';
import type {ConfigurationReplica, Confirmation, QuorumState} from '@rattanspring/fleet-state';
import {spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {GrpcListener} from '../adapters/grpc-listener.js';

/** Time over which successive changes are batched into one message. */
const flushDelayMs = 10;

/** The stream of one follower. */
export type FollowerCall = ServerDuplexStream<spreadProtocol.SpreadUp, spreadProtocol.SpreadDown>;

/** The subscription of a follower. It stays the same object for the lifetime of its stream. */
export type Follower = spreadProtocol.SpreadSubscribe;

/** The quorum as a serving process sees it: its state and, if known, the last confirmed revision. */
export type QuorumView = {readonly confirmation?: Confirmation; readonly quorum: QuorumState};

/** Options of the server. */
export type SpreadServerOptions = {
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	/** The view of the quorum that this process reports to a follower. */
	readonly quorumViewFor: (follower: Follower) => QuorumView;
	/** Called for each message of a follower. A message without reports serves as a heartbeat only. */
	readonly onReports: (follower: Follower, reports: readonly spreadProtocol.InForceReport[]) => void;
	/** Called when a follower's stream has ended. */
	readonly onEnded: (follower: Follower) => void;
};

/** Streams the configuration to any number of followers. */
export class SpreadServer {
	readonly #options: SpreadServerOptions;
	readonly #sessions = new Set<Session>();
	#flushTimer: NodeJS.Timeout | undefined;
	#snapshot: {readonly revision: number; readonly bytes: Uint8Array} | undefined;

	constructor(options: SpreadServerOptions) {
		this.#options = options;
	}

	/** Registers the service. Must be called before the listener starts. */
	addTo(listener: GrpcListener): void {
		listener.addService(spreadProtocol.SpreadService, {follow: this.#follow.bind(this)});
	}

	/** Sends followers the changes they are missing, after a short delay that batches successive changes. */
	contentChanged(): void {
		this.#flushTimer ??= setTimeout(() => {
			this.#flushTimer = undefined;
			this.#flush();
		}, flushDelayMs);
	}

	/** Ends all streams. */
	stop(): void {
		clearTimeout(this.#flushTimer);
		for (const session of this.#sessions) {
			session.call.end();
		}
	}

	#flush(): void {
		const encoded = new Map<number, spreadProtocol.SpreadDown>();
		for (const session of this.#sessions) {
			this.#sendContent(session, encoded);
		}
	}

	/** Sends a follower the content after its revision. Followers at the same revision share one encoded message. */
	#sendContent(session: Session, encoded = new Map<number, spreadProtocol.SpreadDown>()): void {
		const {replica} = this.#options;
		const {sentRevision} = session;
		if (sentRevision === undefined || session.isBlocked || sentRevision >= replica.revision) {
			return;
		}

		const message = encoded.get(sentRevision) ?? this.#encodeContentAfter(sentRevision);
		encoded.set(sentRevision, message);
		session.sentRevision = replica.revision;
		this.#write(session, message);
	}

	#encodeContentAfter(revision: number): spreadProtocol.SpreadDown {
		const {replica} = this.#options;
		const changes = revision === 0 ? undefined : replica.changesAfter(revision);
		return {
			probeAnswer: undefined,
			revision: replica.revision,
			content: changes ? {$case: 'changes', value: toJsonBytes(changes)} : {$case: 'snapshot', value: this.#snapshotBytes()},
		};
	}

	#snapshotBytes(): Uint8Array {
		const {configuration, revision} = this.#options.replica;
		if (this.#snapshot?.revision !== revision) {
			this.#snapshot = {revision, bytes: toJsonBytes(configuration)};
		}

		return this.#snapshot.bytes;
	}

	/** Applies backpressure: a slow follower gets no further message until its stream drains, then all missing changes in one. */
	#write(session: Session, message: spreadProtocol.SpreadDown): void {
		if (!session.call.write(message)) {
			session.isBlocked = true;
		}
	}

	#follow(call: FollowerCall): void {
		const session: Session = {call, isBlocked: false};
		this.#sessions.add(session);
		call.on('data', (message: spreadProtocol.SpreadUp) => {
			this.#handleMessage(session, message);
		});
		call.on('drain', () => {
			session.isBlocked = false;
			this.#sendContent(session);
		});
		call.on('end', () => {
			call.end();
			this.#remove(session);
		});
		for (const event of ['error', 'cancelled']) {
			call.on(event, () => {
				this.#remove(session);
			});
		}
	}

	#remove(session: Session): void {
		if (this.#sessions.delete(session) && session.subscribe) {
			this.#options.onEnded(session.subscribe);
		}
	}

	#handleMessage(session: Session, message: spreadProtocol.SpreadUp): void {
		if (message.subscribe) {
			session.subscribe = message.subscribe;
			session.sentRevision = message.subscribe.revision;
			this.#sendContent(session);
		}

		if (session.subscribe) {
			this.#options.onReports(session.subscribe, message.reports);
		}

		if (message.probe > 0 && session.subscribe && !session.isBlocked) {
			this.#write(session, {probeAnswer: this.#answerProbe(session.subscribe, message.probe), revision: 0, content: undefined});
		}
	}

	#answerProbe(follower: Follower, probe: number): spreadProtocol.ProbeAnswer {
		const {confirmation, quorum} = this.#options.quorumViewFor(follower);
		const nowMs = this.#options.clock.monotonicMs();
		return {
			probe,
			quorum,
			confirmation: confirmation && {revision: confirmation.revision, ageMs: Math.ceil(nowMs - confirmation.confirmedAtMs)},
		};
	}
}

/** A connected follower. `sentRevision` is undefined until the follower has subscribed. */
type Session = {
	readonly call: FollowerCall;
	isBlocked: boolean;
	subscribe?: Follower;
	sentRevision?: number;
};
