/**
Keeps an entry's copy of the fleet's suspects new by asking a relay at short intervals.
*/

import type {GrpcClientPool} from '@rattanspring/control-client';
import {Metadata} from '@grpc/grpc-js';
import type {directoryProtocol} from '@rattanspring/protocol';
import type {SuspectListCache} from '@rattanspring/routing';
import type {Clock} from '@rattanspring/types';

/** Pause between two questions. */
const askIntervalMs = 200;

/** Time for one answer; then the next relay is asked. */
const askTimeoutMs = 500;

/** Options of the follower. */
export type SuspectFollowerOptions = {
	readonly view: SuspectListCache;
	readonly relayAddresses: readonly string[];
	readonly clients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly clock: Clock;
};

/** Asks relays in turn. */
export class SuspectFollower {
	readonly #options: SuspectFollowerOptions;
	#relay = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: SuspectFollowerOptions) {
		this.#options = options;
	}

	/** Asks for the first time. */
	start(): void {
		const {view, relayAddresses, clients, clock} = this.#options;
		const askedAtMs = clock.monotonicMs();
		const address = relayAddresses[this.#relay % relayAddresses.length];
		clients.clientFor(address).suspects({knownVersion: view.version}, new Metadata(), {deadline: Date.now() + askTimeoutMs}, (error, reply) => {
			if (error) {
				this.#relay++;
			} else {
				this.#apply(reply, askedAtMs);
			}

			if (!this.#isStopped) {
				this.#timer = setTimeout(() => {
					this.start();
				}, askIntervalMs);
			}
		});
	}

	/** Asks no more. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	#apply(reply: directoryProtocol.SuspectsReply, askedAtMs: number): void {
		const {view} = this.#options;
		const {version, ageMs, suspects} = reply;
		const known = suspects.map(({clientAccount, bodyDigest, state}) => ({clientAccount, bodyDigest, state: state === 'refused' ? 'refused' as const : 'suspect' as const}));
		view.apply({version, suspects: version === view.version ? undefined : known, confirmedAtMs: askedAtMs - ageMs});
	}
}
