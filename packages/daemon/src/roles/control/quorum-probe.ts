/**
Requests a quorum-confirmed read from the log about once a second and keeps the resulting confirmation of the newest revision.
*/

import type {ControlFailure} from '@rattanspring/control-client';
import type {Confirmation, QuorumState} from '@rattanspring/fleet-state';
import type {Clock} from '@rattanspring/types';
import type {FleetLog} from '../../ports/fleet-log.js';
import type {QuorumView} from '../../spread/spread-server.js';

/** Interval between two reads. */
const probeIntervalMs = 1000;

export type QuorumProbeOptions = {readonly log: FleetLog; readonly clock: Clock};

/** Keeps the latest confirmation and the state of the quorum. */
export class QuorumProbe {
	readonly #options: QuorumProbeOptions;
	#confirmation: Confirmation | undefined;
	#quorum: QuorumState = 'unreachable';
	#isReading = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: QuorumProbeOptions) {
		this.#options = options;
	}

	/** The latest confirmation and quorum state, as sent to followers. */
	get knowledge(): QuorumView {
		return {quorum: this.#quorum, ...(this.#confirmation && {confirmation: this.#confirmation})};
	}

	/** Reads at once and then periodically. */
	start(): void {
		void this.#refreshConfirmation();
		this.#timer = setInterval(() => {
			void this.#refreshConfirmation();
		}, probeIntervalMs);
	}

	/** Stops the periodic reads. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** A confirmation is dated to the start of its read: at that time no newer revision had been accepted. */
	async #refreshConfirmation(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		const confirmedAtMs = this.#options.clock.monotonicMs();
		const state = await this.#options.log.confirmedState();
		this.#isReading = false;
		if (state.ok) {
			this.#confirmation = {revision: state.value.configuration.revision, confirmedAtMs};
		}

		this.#quorum = state.ok ? 'held' : quorumStateOf(state.failure);
	}
}

/** A follower cannot confirm a read itself, but if it knows the leader, there is a quorum. */
function quorumStateOf(failure: ControlFailure): QuorumState {
	return failure.type === 'notLeader' && failure.leaderAddress ? 'held' : 'lost';
}
