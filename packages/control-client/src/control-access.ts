/**
Port through which entries and agents reach the control voters.
*/

import type {FleetAnswer, FleetCommand} from '@rattanspring/fleet-state';
import type {Result} from '@rattanspring/types';

/** Why a control call failed. `leaderAddress` is set if another voter is known to lead. */
export type ControlFailure = {
	readonly type: 'notLeader' | 'noQuorum' | 'forbidden' | 'malformedCommand' | 'membershipRefused' | 'unreachable';
	readonly message: string;
	readonly leaderAddress?: string;
};

/** Subjects that can be read from the control voters. */
export type ReadSubject = 'configuration' | 'history' | 'inForce' | 'leases' | 'targets' | 'groups' | 'requests' | 'voters' | 'suspects';

/** Submits commands to, and reads from, the voter that currently leads. */
export abstract class ControlAccess {
	/** Commits a command and returns its answer. */
	abstract submit(command: FleetCommand): Promise<Result<FleetAnswer, ControlFailure>>;
	/** Reads a subject after a quorum has confirmed that the answering voter's state is current. */
	abstract read<Answer>(subject: ReadSubject, parameters?: unknown): Promise<Result<Answer, ControlFailure>>;
	abstract close(): void;
}
