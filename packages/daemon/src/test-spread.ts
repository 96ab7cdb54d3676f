/** Test doubles for the configuration spread within one process, for tests and benchmarks. */

import {err, type Result} from '@rattanspring/types';
import type {ControlFailure} from '@rattanspring/control-client';
import type {FleetAnswer, FleetCommand, FleetState} from '@rattanspring/fleet-state';
import {SystemClock} from '@rattanspring/voter-group';
import {type MemoryFleetLog} from './adapters/memory-fleet-log.js';
import {FleetLog, type ConfigurationListener} from './ports/fleet-log.js';

/** The system clock with an offset, so that a test can advance time. */
export class OffsetClock extends SystemClock {
	offsetMs = 0;

	override monotonicMs(): number {
		return super.monotonicMs() + this.offsetMs;
	}
}

/**
State of a voter.
- `leads`: it commits and confirms.
- `follows`: it receives committed entries and knows the leader.
- `noQuorum`: it knows no leader.
*/
export type VoterState = 'leads' | 'follows' | 'noQuorum';

/** The view of one voter on a log that all voters of the test share. */
export class SharedFleetLog extends FleetLog {
	state: VoterState;
	readonly #shared: MemoryFleetLog;

	constructor(shared: MemoryFleetLog, state: VoterState) {
		super();
		this.#shared = shared;
		this.state = state;
	}

	async start(): Promise<void> {
		// The shared log needs no start.
	}

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		return this.#failure() ?? this.#shared.submit(command);
	}

	async confirmedState(): Promise<Result<FleetState, ControlFailure>> {
		return this.#failure() ?? this.#shared.confirmedState();
	}

	onConfiguration(listener: ConfigurationListener): void {
		this.#shared.onConfiguration(listener);
	}

	async stop(): Promise<void> {
		// The shared log keeps running for the other voters.
	}

	#failure(): Result<never, ControlFailure> | undefined {
		switch (this.state) {
			case 'leads': {
				return undefined;
			}

			case 'follows': {
				return err({type: 'notLeader', message: 'Another voter is the leader.', leaderAddress: '127.0.0.1:1'});
			}

			case 'noQuorum': {
				return err({type: 'noQuorum', message: 'No leader is known.'});
			}
		}
	}
}
