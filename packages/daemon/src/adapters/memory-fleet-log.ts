/**
An in-memory fleet log with a single voter, for tests.
*/

import {type ControlFailure} from '@rattanspring/control-client';
import {
	applyFleetCommand, emptyFleetState, type FleetAnswer, type FleetCommand, type FleetState,
} from '@rattanspring/fleet-state';
import {ok, type Result} from '@rattanspring/types';
import {FleetLog, type ConfigurationListener} from '../ports/fleet-log.js';

/** Applies each command immediately. */
export class MemoryFleetLog extends FleetLog {
	readonly #state: FleetState = emptyFleetState();
	readonly #listeners: ConfigurationListener[] = [];

	async start(): Promise<void> {
		// Nothing to recover.
	}

	async submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>> {
		const {revision} = this.#state.configuration;
		const answer = applyFleetCommand(this.#state, command);
		if (this.#state.configuration.revision !== revision) {
			this.#notifyListeners();
		}

		return ok(answer);
	}

	async confirmedState(): Promise<Result<FleetState, ControlFailure>> {
		return ok(this.#state);
	}

	onConfiguration(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
		listener(this.#state.configuration);
	}

	async stop(): Promise<void> {
		this.#listeners.length = 0;
	}

	#notifyListeners(): void {
		for (const listener of this.#listeners) {
			listener(this.#state.configuration, this.#state.changes.history.at(-1));
		}
	}
}
