/** Adapts the fleet state to the state machine that the replicated log drives. Commands and snapshots are JSON. */

import {fromJsonBytes, toJsonBytes} from '@rattanspring/control-client';
import {
	applyFleetCommand, deserializeFleetState, emptyFleetState, type FleetAnswer, type FleetCommand, type FleetState, serializeFleetState, type SerializedFleetState,
} from '@rattanspring/fleet-state';
import {StateMachine} from '@rattanspring/replicated-log';
import {FailureError} from '@rattanspring/types';

/** Holds a fleet state and applies committed commands to it. */
export class FleetStateMachine extends StateMachine<FleetAnswer> {
	#state = emptyFleetState();

	/** The state after all commands applied so far. */
	get state(): FleetState {
		return this.#state;
	}

	apply(command: Uint8Array): FleetAnswer {
		return applyFleetCommand(this.#state, parseLoggedJson<FleetCommand>(command));
	}

	restore(state: Uint8Array): void {
		this.#state = state.byteLength === 0 ? emptyFleetState() : deserializeFleetState(parseLoggedJson<SerializedFleetState>(state));
	}

	serialize(): Uint8Array {
		return toJsonBytes(serializeFleetState(this.#state));
	}
}

function parseLoggedJson<Data>(bytes: Uint8Array): Data {
	const data = fromJsonBytes<Data>(bytes);
	if (data === undefined) {
		throw new FailureError({type: 'malformedCommand', message: 'The log contains a command or a snapshot that is not valid JSON.'});
	}

	return data;
}
