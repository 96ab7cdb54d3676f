/**
The context in which a command runs: access to the control voters, output, and time. Tests substitute a fake context.
*/

import process from 'node:process';
import type {ControlAccess, ControlFailure} from '@rattanspring/control-client';
import {connect, exitCodes, type ConnectionArguments} from './connection.js';

/** Dependencies of a command. */
export type CommandContext = {
	readonly control: ControlAccess;
	readonly json: boolean;
	/** Prints a line of the result to standard output. */
	readonly print: (line: string) => void;
	/** Prints progress or a failure to standard error, so that standard output holds only the result. */
	readonly printStatus: (line: string) => void;
	readonly sleep: (durationMs: number) => Promise<void>;
	readonly wallMs: () => number;
};

/** The body of a command; returns the exit code. */
export type CommandAction = (context: CommandContext) => Promise<number>;

/** Connects to the control voters, runs the action and sets the exit code. */
export async function runCommand(options: ConnectionArguments, action: CommandAction): Promise<void> {
	const control = connect(options);
	try {
		process.exitCode = await action({
			control,
			json: options.json,
			print(line) {
				process.stdout.write(`${line}\n`);
			},
			printStatus(line) {
				process.stderr.write(`${line}\n`);
			},
			async sleep(durationMs) {
				await new Promise(resolve => {
					setTimeout(resolve, durationMs);
				});
			},
			wallMs: () => Date.now(),
		});
	} finally {
		control.close();
	}
}

/** Prints a failure with advice on how to resolve it; returns the exit code. */
export function reportFailure(context: CommandContext, failure: ControlFailure): number {
	context.printStatus(`rattanspring: ${failure.type}: ${failure.message}${adviceFor(failure)}`);
	switch (failure.type) {
		case 'forbidden': {
			return exitCodes.forbidden;
		}

		case 'malformedCommand': {
			return exitCodes.usage;
		}

		case 'membershipRefused': {
			return exitCodes.rejected;
		}

		case 'notLeader':
		case 'noQuorum':
		case 'unreachable': {
			return exitCodes.unreachable;
		}
	}
}

function adviceFor(failure: ControlFailure): string {
	switch (failure.type) {
		case 'unreachable': {
			return ' Check --control and --key-folder.';
		}

		case 'noQuorum':
		case 'notLeader': {
			return ' No change can be made until a majority of voters is available; the configuration in force stays in effect.';
		}

		case 'forbidden':
		case 'membershipRefused':
		case 'malformedCommand': {
			return '';
		}
	}
}
