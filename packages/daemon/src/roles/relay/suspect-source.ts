/**
Caches the fleet's suspect list, read from the control role at short intervals, for the entries of a relay.
*/

import {GrpcControlAccess, type ControlAccess} from '@rattanspring/control-client';
import type {SerializedSuspects} from '@rattanspring/fleet-state';
import {type directoryProtocol, type KeyMaterial} from '@rattanspring/protocol';
import type {Clock} from '@rattanspring/types';

/** Delay between two reads. */
const readIntervalMs = 200;

/** Age reported before the first successful read. */
const unknownAgeMs = 3_600_000;

export type SuspectSourceOptions = {
	readonly controlAddresses: readonly string[];
	readonly clock: Clock;
	readonly keys?: KeyMaterial;
};

/** Reads the suspect list and serves it to entries. */
export class SuspectSource {
	readonly #clock: Clock;
	readonly #control: ControlAccess;
	#cachedSuspects: SerializedSuspects | undefined;
	/** Start time of the read that last confirmed the cached list. */
	#confirmedAtMs = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: SuspectSourceOptions) {
		this.#clock = options.clock;
		this.#control = new GrpcControlAccess({addresses: options.controlAddresses, keys: options.keys});
	}

	/** Starts reading. */
	start(): void {
		void this.#read();
	}

	/** Stops reading. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		this.#control.close();
	}

	/** Answers an entry; the list is omitted if the entry already holds this version. */
	reply(knownVersion: number): directoryProtocol.SuspectsReply {
		if (!this.#cachedSuspects) {
			return {version: 0, ageMs: unknownAgeMs, suspects: []};
		}

		const {version, records} = this.#cachedSuspects;
		const suspects = knownVersion === version ? [] : records.map(({clientAccount, bodyDigest, state}) => ({clientAccount, bodyDigest, state}));
		return {version, ageMs: Math.ceil(this.#clock.monotonicMs() - this.#confirmedAtMs), suspects};
	}

	async #read(): Promise<void> {
		const startedAtMs = this.#clock.monotonicMs();
		const result = await this.#control.read<SerializedSuspects>('suspects');
		if (this.#isStopped) {
			return;
		}

		if (result.ok && result.value.version >= (this.#cachedSuspects?.version ?? 0)) {
			this.#cachedSuspects = result.value;
			this.#confirmedAtMs = startedAtMs;
		}

		this.#timer = setTimeout(() => {
			void this.#read();
		}, readIntervalMs);
	}
}
