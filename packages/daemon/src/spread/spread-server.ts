/**
The serving side of the configuration spread, the same on voters and relays: hands content and probe answers to
followers, and takes their reports.
*/

import type {ServerDuplexStream} from '@grpc/grpc-js';
import {toJsonBytes} from '@rattanspring/control-client';
import type {ConfigurationReplica, Confirmation, QuorumState} from '@rattanspring/fleet-state';
import {spreadProtocol} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';
import type {GrpcListener} from '../adapters/grpc-listener.js';

/** Time over which changes that follow one another are sent as one message. */
const flushDelayMs = 10;

/** One follower's stream. */
export type FollowerCall = ServerDuplexStream<spreadProtocol.SpreadUp, spreadProtocol.SpreadDown>;

/** One subscription; the same object for as long as its stream lasts. */
export type Follower = spreadProtocol.SpreadSubscribe;

/** What a serving process knows of the quorum. */
export type QuorumView = {readonly confirmation?: Confirmation; readonly quorum: QuorumState};

/** Options of the server. */
export type SpreadServerOptions = {
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	/** What this process tells a follower of the quorum. */
	readonly quorumViewFor: (follower: Follower) => QuorumView;
	/** Called with each message of a follower; without reports it is only a sign of life. */
	readonly onReports: (follower: Follower, reports: readonly spreadProtocol.InForceReport[]) => void;
	/** Called when a follower's stream has ended. */
	readonly onEnded: (follower: Follower) => void;
};

/** Serves any number of followers. */
export class SpreadServer {
	readonly #options: SpreadServerOptions;
	readonly #sessions = new Set<Session>();
	#flushTimer: NodeJS.Timeout | undefined;
	#snapshot: {readonly revision: number; readonly bytes: Uint8Array} | undefined;

	constructor(options: SpreadServerOptions) {
		this.#options = options;
	}

	/** Adds the service; call before the listener starts. */
	addTo(listener: GrpcListener): void {
		listener.addService(spreadProtocol.SpreadService, {follow: this.#follow.bind(this)});
	}

	/** Sends followers what they lack, after a short delay that gathers changes. */
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

	/** Followers at the same revision share one encoded message. */
	#sendContent(session: Session, encoded = new Map<number, spreadProtocol.SpreadDown>()): void {
		const {replica} = this.#options;
		const {sentRevision} = session;
		if (sentRevision === undefined || session.isBlocked || sentRevision >= replica.revision) {
			return;
		}

		const message = encoded.get(sentRevision) ?? this.#contentAfter(sentRevision);
		encoded.set(sentRevision, message);
		session.sentRevision = replica.revision;
		this.#write(session, message);
	}

	#contentAfter(revision: number): spreadProtocol.SpreadDown {
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

	/** A follower that reads slowly gets nothing more until it has caught up, then everything at once. */
	#write(session: Session, message: spreadProtocol.SpreadDown): void {
		if (!session.call.write(message)) {
			session.isBlocked = true;
		}
	}

	#follow(call: FollowerCall): void {
		const session: Session = {call, isBlocked: false};
		this.#sessions.add(session);
		call.on('data', (message: spreadProtocol.SpreadUp) => {
			this.#take(session, message);
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

	#take(session: Session, message: spreadProtocol.SpreadUp): void {
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

/** One follower. `sentRevision` is unknown until it has subscribed. */
type Session = {
	readonly call: FollowerCall;
	isBlocked: boolean;
	subscribe?: Follower;
	sentRevision?: number;
};
