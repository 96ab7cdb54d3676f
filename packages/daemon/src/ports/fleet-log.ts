/**
Port to the replicated log as the control role uses it: a command is answered after a quorum has committed it.
*/

import type {ControlFailure} from '@rattanspring/control-client';
import type {FleetAnswer, FleetCommand, FleetState} from '@rattanspring/fleet-state';
import type {AcceptedChange, FleetConfiguration, Result} from '@rattanspring/types';

/**
Called for each applied configuration, in order, with the change from the previous configuration. If the change is
not known, for instance after a snapshot, followers are sent the whole configuration.
*/
export type ConfigurationListener = (configuration: FleetConfiguration, accepted?: AcceptedChange) => void;

/** The replicated log together with the fleet state machine that it drives. */
export abstract class FleetLog {
	/** Starts the log. Resolves once commands can be submitted here or a leader is known. */
	abstract start(): Promise<void>;
	/** Commits a command and returns the answer of the state machine. */
	abstract submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>>;
	/** Returns the state after a quorum-confirmed read. The caller must not modify it. */
	abstract confirmedState(): Promise<Result<FleetState, ControlFailure>>;
	/** Calls the listener with the current configuration and each later one. */
	abstract onConfiguration(listener: ConfigurationListener): void;
	/** Transfers leadership, if held, and stops. */
	abstract stop(): Promise<void>;
}
