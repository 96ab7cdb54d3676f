/**
Keeps an entry's copy of the fleet's suspects new by asking a relay at short intervals.
*/

import type {GrpcClients} from '@rattanspring/control-client';
import {Metadata} from '@grpc/grpc-js';
import type {directoryProtocol} from '@rattanspring/protocol';
import type {SuspectListCache} from '@rattanspring/routing';
import type {Clock} from '@rattanspring/types';

/** Pause between two questions. */
const pollIntervalMs = 200;

/** Time for one answer; then the next relay is asked. */
const pollTimeoutMs = 500;

/** Options of the follower. */
export type SuspectListPollerOptions = {
	readonly suspectList: SuspectListCache;
	readonly relayAddresses: readonly string[];
	readonly clients: GrpcClients<directoryProtocol.DirectoryClient>;
	readonly clock: Clock;
};

/** Asks relays in turn. */
export class SuspectListPoller {
	readonly #options: SuspectListPollerOptions;
	#relay = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: SuspectListPollerOptions) {
		this.#options = options;
	}

	/** Asks for the first time. */
	start(): void {
		const {suspectList, relayAddresses, clients, clock} = this.#options;
		const requestedAtMs = clock.monotonicMs();
		const address = relayAddresses[this.#relay % relayAddresses.length];
		clients.at(address).suspects({knownVersion: suspectList.version}, new Metadata(), {deadline: Date.now() + pollTimeoutMs}, (error, reply) => {
			if (error) {
				this.#relay++;
			} else {
				this.#apply(reply, requestedAtMs);
			}

			if (!this.#isStopped) {
				this.#timer = setTimeout(() => {
					this.start();
				}, pollIntervalMs);
			}
		});
	}

	/** Asks no more. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	#apply(reply: directoryProtocol.SuspectsReply, askedAtMs: number): void {
		const {suspectList} = this.#options;
		const {version, ageMs, suspects} = reply;
		const known = suspects.map(({clientAccount, bodyDigest, state}) => ({clientAccount, bodyDigest, state: state === 'refused' ? 'refused' as const : 'suspect' as const}));
		suspectList.apply({version, suspects: version === suspectList.version ? undefined : known, confirmedAtMs: askedAtMs - ageMs});
	}
}
