/**
Keeps an entry's cached list of suspects up to date by polling a relay.
*/

import type {GrpcClientPool} from '@rattanspring/control-client';
import {Metadata} from '@grpc/grpc-js';
import type {directoryProtocol} from '@rattanspring/protocol';
import type {SuspectListCache} from '@rattanspring/routing';
import type {Clock} from '@rattanspring/types';

/** Delay between the end of a poll and the next poll. */
const pollIntervalMs = 200;

/** Timeout of a poll, after which the next relay is polled. */
const pollTimeoutMs = 500;

/** Options of `SuspectListPoller`. */
export type SuspectListPollerOptions = {
	readonly suspectList: SuspectListCache;
	readonly relayAddresses: readonly string[];
	readonly clients: GrpcClientPool<directoryProtocol.DirectoryClient>;
	readonly clock: Clock;
};

/** Polls one relay until a poll fails, then the next one. */
export class SuspectListPoller {
	readonly #options: SuspectListPollerOptions;
	#relay = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: SuspectListPollerOptions) {
		this.#options = options;
	}

	/** Starts polling. */
	start(): void {
		const {suspectList, relayAddresses, clients, clock} = this.#options;
		const requestedAtMs = clock.monotonicMs();
		const address = relayAddresses[this.#relay % relayAddresses.length];
		clients.clientFor(address).suspects({knownVersion: suspectList.version}, new Metadata(), {deadline: Date.now() + pollTimeoutMs}, (error, reply) => {
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

	/** Stops polling. */
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
