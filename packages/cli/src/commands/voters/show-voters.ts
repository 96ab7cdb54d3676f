/** Runs a voter command and prints the resulting voter list. */

import type {ControlFailure, VoterAccess, VoterListEntry} from '@rattanspring/control-client';
import type {Result} from '@rattanspring/types';
import {type CommandContext, reportFailure, runCommand} from '../../command-context.js';
import {connectVoters, type ConnectionArguments} from '../../connection.js';
import {renderTable} from '../../table.js';

/** A call to the voter group that returns the voter list. */
export type VoterCall = (access: VoterAccess) => Promise<Result<readonly VoterListEntry[], ControlFailure>>;

/** Connects to the voters, makes the call and sets the exit code. */
export async function runVoterCommand(options: ConnectionArguments, call: VoterCall): Promise<void> {
	const access = connectVoters(options);
	try {
		await runCommand(options, async context => showVoters(context, await call(access)));
	} finally {
		access.close();
	}
}

/** Prints the voters or the failure; returns the exit code. */
export function showVoters(context: CommandContext, result: Result<readonly VoterListEntry[], ControlFailure>): number {
	if (!result.ok) {
		return reportFailure(context, result.failure);
	}

	const rows = result.value.map(({voterId, address, standing}) => [voterId, address, standing]);
	context.print(context.json ? JSON.stringify(result.value) : renderTable(['voter', 'address', 'standing'], rows));
	return 0;
}
