/** Runs a daemon as a process: reports a failed start in one line, and shuts down gracefully on a signal. */

import process from 'node:process';
import type {DaemonSettings} from '@rattanspring/settings';
import {FailureError} from '@rattanspring/types';
import {Daemon} from './daemon.js';

/** Exit code for a failed start. */
const startFailedExitCode = 1;

/** Starts a daemon. If the start fails, prints the reason to stderr and exits the process. */
export async function startOrExit(settings: DaemonSettings): Promise<Daemon> {
	try {
		return await Daemon.start(settings);
	} catch (error) {
		const type = error instanceof FailureError ? (error as FailureError).failure.type : 'startFailed';
		const message = error instanceof Error ? error.message : String(error);
		process.stderr.write(`rattanspringd: ${type}: ${message}\n`);
		process.exit(startFailedExitCode);
	}
}

/** Calls `stop` on the first SIGTERM or SIGINT, then exits the process. Further SIGTERMs change nothing; a second SIGINT ends the process at once. */
export function stopAtSignal(stop: () => Promise<unknown>): void {
	let stopped: Promise<void> | undefined;
	const onSignal = (): void => {
		stopped ??= stop().then(() => {
			process.exit(0);
		});
	};

	process.on('SIGTERM', onSignal);
	process.once('SIGINT', onSignal);
}
