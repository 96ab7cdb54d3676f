/**
Asks the log about once a second for a read confirmed by a quorum, and keeps what that says of the newest revision.
*/

import type {ControlFailure} from '@rattanspring/control-client';
import type {Confirmation, QuorumState} from '@rattanspring/fleet-state';
import type {Clock} from '@rattanspring/types';
import type {FleetLog} from '../../ports/fleet-log.js';
import type {QuorumView} from '../../spread/spread-server.js';

/** Time between two reads. */
const probeIntervalMs = 1000;

/** Options of the probe. */
export type QuorumProbeOptions = {readonly log: FleetLog; readonly clock: Clock};

/** Keeps the newest confirmation. */
export class QuorumProbe {
	readonly #options: QuorumProbeOptions;
	#confirmation: Confirmation | undefined;
	#quorum: QuorumState = 'unreachable';
	#isAsking = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: QuorumProbeOptions) {
		this.#options = options;
	}

	/** What is known. */
	get knowledge(): QuorumView {
		return {quorum: this.#quorum, ...(this.#confirmation && {confirmation: this.#confirmation})};
	}

	/** Asks now and from then on. */
	start(): void {
		void this.#ask();
		this.#timer = setInterval(() => {
			void this.#ask();
		}, probeIntervalMs);
	}

	/** Asks no more. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** A confirmation is dated to before the question: nothing newer had been accepted then. */
	async #ask(): Promise<void> {
		if (this.#isAsking) {
			return;
		}

		this.#isAsking = true;
		const confirmedAtMs = this.#options.clock.monotonicMs();
		const state = await this.#options.log.confirmedState();
		this.#isAsking = false;
		if (state.ok) {
			this.#confirmation = {revision: state.value.configuration.revision, confirmedAtMs};
		}

		this.#quorum = state.ok ? 'held' : quorumStateOf(state.failure);
	}
}

/** A voter that knows a leader cannot itself confirm, but knows that there is a quorum. */
function quorumStateOf(failure: ControlFailure): QuorumState {
	return failure.type === 'notLeader' && failure.leaderAddress ? 'held' : 'lost';
}
